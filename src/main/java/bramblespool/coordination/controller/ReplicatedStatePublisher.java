package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes in gossip what proxies need of the replicated state: the version in force with its phase, and evacuations.
 * Entries are ordered by epoch and phase, or by log index, so every controller may publish the same. Confined to the
 * event loop.
 */
final class ReplicatedStatePublisher {
    private final ReplicatedState replicatedState;
    private final GossipStore gossip;
    private final RaftNode raft;
    private final ShadowCommitCoordinator commitCoordinator;
    private final SessionRegistry sessions;
    /** The log index of each zone's evacuation as it was last published here. */
    private final Map<String, Long> publishedEvacuations = new HashMap<>();

    ReplicatedStatePublisher(
            ReplicatedState replicatedState,
            GossipStore gossip,
            RaftNode raft,
            ShadowCommitCoordinator commitCoordinator,
            SessionRegistry sessions) {
        this.replicatedState = replicatedState;
        this.gossip = gossip;
        this.raft = raft;
        this.commitCoordinator = commitCoordinator;
        this.sessions = sessions;
    }

    /** Publishes the state as it is now; what has been published already costs nothing. */
    void publish() {
        long epoch = replicatedState.current().epoch();
        if (epoch > 0) {
            gossip.publish(
                    GossipKeys.CONFIGURATION_KEY,
                    epoch,
                    replicatedState.phase().ordinal(),
                    GossipPayloadCodec.encodeConfiguration(replicatedState));
        }
        notifyUnconfirmed();
        replicatedState.evacuations().forEach((zone, evacuation) -> {
            if (publishedEvacuations.getOrDefault(zone, 0L) < evacuation.index()) {
                publishedEvacuations.put(zone, evacuation.index());
                gossip.publish(
                        GossipKeys.EVACUATION_KEY_PREFIX + zone,
                        evacuation.index(),
                        0,
                        GossipPayloadCodec.encodeEvacuation(evacuation.isEvacuated()));
            }
        });
    }

    /**
     * The controller of a proxy that has not confirmed the commit may be partitioned: the leader sends the
     * configuration's entry to such a proxy itself.
     */
    private void notifyUnconfirmed() {
        GossipStore.GossipEntry configuration = gossip.get(GossipKeys.CONFIGURATION_KEY);
        if (!raft.isLeader() || configuration == null) {
            return;
        }
        for (String node : commitCoordinator.unconfirmed()) {
            sessions.memberAddressOf(node).ifPresent(address -> gossip.send(address, List.of(configuration)));
        }
    }
}
