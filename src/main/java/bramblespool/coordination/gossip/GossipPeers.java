package bramblespool.coordination.gossip;

import java.util.Collection;
import java.util.List;

/** Selects the peers to which updates are pushed and those for anti-entropy. Called on the event loop. */
public interface GossipPeers {
    /** The peer addresses to which an update from this source is pushed; this process itself is not among them. */
    Collection<String> pushTargets(GossipStore.Source source);

    /** The peer addresses from which the next partner for anti-entropy is drawn; may be empty. */
    List<String> reconciliationPeers();

    /** Whether this is a controller in recent contact with the leader, so that its entries are up to date. */
    default boolean hasRecentLeaderContact() {
        return false;
    }
}
