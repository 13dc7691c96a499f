package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import java.util.LinkedHashMap;
import java.util.Map;

/** Gathers the status report from the parts of a controller; changes none of them. Confined to the event loop. */
final class StatusReporter {
    /**
     * The parts that are reported on.
     *
     * @param usageReporter null where the platform wants no usage reports
     */
    record Sources(
            GroupMember member,
            ShadowCommitCoordinator commitCoordinator,
            TenantRateLimiter rateLimiter,
            UsageReporter usageReporter,
            OverloadDetector overloadDetector,
            GossipStore gossip,
            SessionRegistry sessions) {}

    private final LocalController local;
    private final Sources sources;

    StatusReporter(LocalController local, Sources sources) {
        this.local = local;
        this.sources = sources;
    }

    /** The state of affairs now. */
    ControllerStatus report() {
        Settings settings = local.settings();
        return new ControllerStatus(
                new ControllerStatus.Identity(
                        settings.node(),
                        settings.zone(),
                        sources.member().raft().localId()),
                consensus(sources.member().raft()),
                agreed(sources.member().replicatedState()),
                new ControllerStatus.Load(
                        sources.overloadDetector().latenessMs(),
                        sources.overloadDetector().isOverloaded()),
                tenancy(sources.member()),
                sources.usageReporter() == null ? null : sources.usageReporter().status(),
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
                sources.commitCoordinator().unconfirmed(),
                evacuations,
                roleOwners);
    }

    private ControllerStatus.Tenancy tenancy(GroupMember member) {
        return new ControllerStatus.Tenancy(
                member.shardLeases().ownedCount(),
                member.registers().registerCount(),
                member.registers().proposer().proposalRounds(),
                member.registers().proposer().unknownOutcomes(),
                member.registers().isSynced(),
                sources.rateLimiter().deniedCounts());
    }

    private Map<String, ControllerStatus.Proxy> proxies() {
        Map<String, ControllerStatus.Proxy> proxies = new LinkedHashMap<>();
        for (GossipStore.GossipEntry entry : sources.gossip().entriesWithPrefix(GossipKeys.PROXY_KEY_PREFIX)) {
            String node = entry.key().substring(GossipKeys.PROXY_KEY_PREFIX.length());
            proxies.put(
                    node,
                    new ControllerStatus.Proxy(
                            entry.body(), sources.sessions().members().contains(node)));
        }
        return proxies;
    }
}
