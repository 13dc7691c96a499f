package bramblespool.coordination.controller;

import bramblespool.coordination.discovery.RegistryReader;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.singleton.ControllerPeers;
import bramblespool.coordination.singleton.FencingTokenRenewal;
import bramblespool.coordination.singleton.SingletonRoleKeys;
import bramblespool.coordination.singleton.SingletonRoles;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.PlatformClient;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which singleton roles there are, and what this controller does for those it owns. Roles are: reading the registry of
 * a zone, leasing out the retry budget of a service, reporting usage. The leader assigns each to a live controller.
 * Confined to the event loop.
 */
final class SingletonRoleScheduler {
    /** Roles that are kept in mind between the first request and their assignment. */
    private static final int MAX_REQUESTED_ROLES = 1000;
    /** Ratio to other calls' time-out of that of a call between controllers for a role. */
    private static final int CALL_TIMEOUT_DIVISOR = 2;

    private final LocalController local;
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final ZoneGossip zoneGossip;
    private final RegistryReaders registryReaders;
    private final SingletonRoles singletonRoles;
    private final FencingTokenRenewal tokenRenewal;
    /** Null where the platform wants no usage reports. */
    private final UsageReporter usageReporter;
    /** Keys of roles that somebody has asked for; a service's retry budget needs no owner before. */
    private final Set<String> requestedRoles = new HashSet<>();

    /**
     * @param platform the platform's client, or null where there is none
     * @param hasFreshStore whether this process founded its store
     */
    SingletonRoleScheduler(
            ControllerContext context,
            GroupMember member,
            ZoneGossip zoneGossip,
            SessionRegistry sessions,
            PlatformClient platform,
            boolean hasFreshStore) {
        this.local = context.local();
        this.raft = member.raft();
        this.replicatedState = member.replicatedState();
        this.zoneGossip = zoneGossip;
        this.registryReaders = new RegistryReaders(context, platform, zoneGossip.store(), sessions);
        this.singletonRoles =
                new SingletonRoles(raft, replicatedState, this::roleKeys, SingletonRoleKeys.USAGE::equals);
        long callTimeoutMs = context.callTimeoutMs() / CALL_TIMEOUT_DIVISOR;
        this.tokenRenewal =
                new FencingTokenRenewal(raft, singletonRoles, context.transport(), callTimeoutMs, context.log());
        Settings settings = local.settings();
        this.usageReporter = platform == null || settings.usageReporting() == null
                ? null
                : new UsageReporter(
                        settings,
                        hasFreshStore,
                        new UsageReporter.Environment(context.clock(), member.clusterClock(), platform, context.log()),
                        new UsageReporter.Replication(
                                raft,
                                replicatedState,
                                tokenRenewal,
                                member.registers().proposer(),
                                zoneGossip.store()),
                        new ControllerPeers(context.transport(), zoneGossip::otherControllers, callTimeoutMs),
                        sessions::members);
    }

    /** Starts what runs on timers of its own; {@link #check} is called by the controller's. */
    void start() {
        if (usageReporter != null) {
            usageReporter.start();
        }
    }

    /** Serves requests for higher fencing tokens. */
    FencingTokenRenewal tokenRenewal() {
        return tokenRenewal;
    }

    /** Collects usage, and reports it while this controller has the role; null where the platform wants no reports. */
    UsageReporter usageReporter() {
        return usageReporter;
    }

    private static String registryRole(String zone) {
        return SingletonRoleKeys.REGISTRY_PREFIX + zone;
    }

    /** Takes note that a role needs an owner, unless very many do. */
    void requestRole(String key) {
        if (requestedRoles.size() < MAX_REQUESTED_ROLES) {
            requestedRoles.add(key);
        }
    }

    /** The roles there are: those in the log, those that follow from the settings, and those requested since. */
    private Set<String> roleKeys() {
        Set<String> keys = new TreeSet<>(replicatedState.singletonRoles().keySet());
        registryReaders.byZone().keySet().forEach(zone -> keys.add(registryRole(zone)));
        keys.addAll(requestedRoles);
        if (usageReporter != null) {
            keys.add(SingletonRoleKeys.USAGE);
        }
        return keys;
    }

    /** One round: assigns roles, as the leader, and has the registry readers know which zones are this controller's. */
    void check() {
        singletonRoles.assignRoles();
        boolean hasLeader = raft.hasLeaderContact();
        registryReaders.byZone().forEach((zone, reader) -> check(zone, reader, hasLeader));
    }

    private void check(String zone, RegistryReader reader, boolean hasLeader) {
        String key = registryRole(zone);
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(key);
        boolean isOwner = role != null && role.owner().equals(local.peerAddress());
        reader.setOwnership(hasLeader && !local.isLeaving() && isOwner, role == null ? 0 : role.fencingToken());
        reader.setLeaderless(!hasLeader && !local.isLeaving() && isSuccessionCandidate(key));
        reader.check();
    }

    /** Whether this controller is among the first in line for a role, of whom one outlives the tolerable losses. */
    private boolean isSuccessionCandidate(String key) {
        long ownWeight = RendezvousHash.weight(key, local.peerAddress());
        return zoneGossip.otherControllers().stream()
                        .filter(controller -> RendezvousHash.weight(key, controller) > ownWeight)
                        .count()
                <= local.settings().tolerableMachineLosses();
    }
}
