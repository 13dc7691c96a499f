package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import java.util.LinkedHashMap;
import java.util.Map;

/** Gathers the status report from the parts of a controller; changes none of them. Confined to the event loop. */
final class StatusReporter {
    /** What the group of controllers agrees on, and how. */
    record GroupParts(RaftNode raft, ReplicatedState replicatedState, ShadowCommitCoordinator commitCoordinator) {}

    /** What tenants' limits and idempotency keys rest on. */
    record TenancyParts(RegisterProposer registerProposer, ShardLeases shardLeases, TenantRateLimiter rateLimiter) {}

    private final LocalController local;
    private final GroupParts group;
    private final TenancyParts tenancy;
    private final UsageReporter usageReporter;
    private final OverloadDetector overloadDetector;
    private final GossipStore gossip;
    private final SessionRegistry sessions;

    /** @param usageReporter null where the platform wants no usage reports */
    StatusReporter(
            LocalController local,
            GroupParts group,
            TenancyParts tenancy,
            UsageReporter usageReporter,
            OverloadDetector overloadDetector,
            GossipStore gossip,
            SessionRegistry sessions) {
        this.local = local;
        this.group = group;
        this.tenancy = tenancy;
        this.usageReporter = usageReporter;
        this.overloadDetector = overloadDetector;
        this.gossip = gossip;
        this.sessions = sessions;
    }

    /** The state of affairs now. */
    ControllerStatus report() {
        Settings settings = local.settings();
        return new ControllerStatus(
                new ControllerStatus.Identity(
                        settings.node(), settings.zone(), group.raft().localId()),
                consensus(group.raft()),
                agreed(group.replicatedState()),
                new ControllerStatus.Load(overloadDetector.latenessMs(), overloadDetector.isOverloaded()),
                tenancy(tenancy.registerProposer()),
                usageReporter == null ? null : usageReporter.status(),
                proxies());
    }

    private static ControllerStatus.Consensus consensus(RaftNode raft) {
        return new ControllerStatus.Consensus(
                raft.currentTerm(),
                raft.leaderId(),
                raft.isLeader(),
                raft.lastApplied(),
                raft.voters(),
                raft.memberProgress());
    }

    private ControllerStatus.Agreed agreed(ReplicatedState state) {
        Map<String, Boolean> evacuations = new LinkedHashMap<>();
        state.evacuations().forEach((zone, evacuation) -> evacuations.put(zone, evacuation.isEvacuated()));
        Map<String, String> roleOwners = new LinkedHashMap<>();
        state.singletonRoles().forEach((key, role) -> roleOwners.put(key, role.owner()));
        return new ControllerStatus.Agreed(
                state.current().epoch(),
                state.phase().name(),
                group.commitCoordinator().unconfirmed(),
                evacuations,
                roleOwners);
    }

    private ControllerStatus.Tenancy tenancy(RegisterProposer registers) {
        return new ControllerStatus.Tenancy(
                tenancy.shardLeases().ownedCount(),
                registers.registerCount(),
                registers.proposalRounds(),
                registers.unknownOutcomes(),
                registers.isSynced(),
                tenancy.rateLimiter().deniedCounts());
    }

    private Map<String, ControllerStatus.Proxy> proxies() {
        Map<String, ControllerStatus.Proxy> proxies = new LinkedHashMap<>();
        for (GossipStore.GossipEntry entry : gossip.entriesWithPrefix(GossipKeys.PROXY_KEY_PREFIX)) {
            String node = entry.key().substring(GossipKeys.PROXY_KEY_PREFIX.length());
            proxies.put(
                    node,
                    new ControllerStatus.Proxy(entry.body(), sessions.members().contains(node)));
        }
        return proxies;
    }
}
