package bramblespool.coordination.controller;

import bramblespool.coordination.discovery.RegistryReader;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.singleton.SingletonRoles;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Which singleton roles there are, and what this controller does for those it owns. Roles are: reading the registry of
 * a zone, leasing out the retry budget of a service, reporting usage. The leader assigns each to a live controller.
 * Confined to the event loop.
 */
final class SingletonRoleScheduler {
    /** Begins the key of the role of reading a zone's registry; in the log since 0.4.0. */
    private static final String REGISTRY_ROLE_PREFIX = "list/";
    /** Begins the key of the role of leasing out a service's retry budget; in the log since 0.4.0. */
    private static final String RETRY_BUDGET_ROLE_PREFIX = "slack/";
    /** Roles that are kept in mind between the first request and their assignment. */
    private static final int MAX_REQUESTED_ROLES = 1000;

    private final LocalController local;
    private final EventLog log;
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final RegistryReaders registryReaders;
    private final Supplier<? extends Collection<String>> otherControllers;
    private final boolean reportsUsage;
    private final SingletonRoles singletonRoles;
    /** Keys of roles that somebody has asked for; a service's retry budget needs no owner before. */
    private final Set<String> requestedRoles = new HashSet<>();

    /**
     * @param otherControllers peer addresses of the other controllers
     * @param reportsUsage whether the platform wants usage reports
     */
    SingletonRoleScheduler(
            ControllerContext context,
            RaftNode raft,
            ReplicatedState replicatedState,
            RegistryReaders registryReaders,
            Supplier<? extends Collection<String>> otherControllers,
            boolean reportsUsage) {
        this.local = context.local();
        this.log = context.log();
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.registryReaders = registryReaders;
        this.otherControllers = otherControllers;
        this.reportsUsage = reportsUsage;
        this.singletonRoles = new SingletonRoles(raft, replicatedState, this::roleKeys, UsageReporter.ROLE_KEY::equals);
    }

    /** The key of the role of leasing out a service's retry budget. */
    static String retryBudgetRole(String service) {
        return RETRY_BUDGET_ROLE_PREFIX + service;
    }

    private static String registryRole(String zone) {
        return REGISTRY_ROLE_PREFIX + zone;
    }

    SingletonRoles singletonRoles() {
        return singletonRoles;
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
        if (reportsUsage) {
            keys.add(UsageReporter.ROLE_KEY);
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

    /** Whether this controller is among the first in line for a role: so many that one outlives the tolerable losses. */
    private boolean isSuccessionCandidate(String key) {
        long ownWeight = RendezvousHash.weight(key, local.peerAddress());
        return otherControllers.get().stream()
                        .filter(controller -> RendezvousHash.weight(key, controller) > ownWeight)
                        .count()
                <= local.settings().tolerableMachineLosses();
    }

    /**
     * Raises the fencing token of a role, where this controller leads in the term that the owner names.
     *
     * @return this controller's term
     */
    long raiseFencingToken(RaiseFencingTokenRequest request) {
        raft.observeTerm(request.term());
        if (request.term() == raft.currentTerm()) {
            singletonRoles.raiseFencingToken(request.roleKey(), request.fencingToken());
        } else {
            log.log(
                    Event.STALE_TERM_REJECTED,
                    "kind",
                    PeerMessageKinds.RAISE_FENCING_TOKEN,
                    "term",
                    request.term(),
                    "knownTerm",
                    raft.currentTerm());
        }
        return raft.currentTerm();
    }
}
