package bramblespool.coordination.singleton;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.time.ClusterClock;

/** Up to which window usage has been reported, as the owners publish it by gossip. Confined to the event loop. */
final class ReportedWindows {
    private static final long UNKNOWN = -1;

    private final GossipStore gossip;
    private final UsageWindows windows;
    private final ClusterClock clusterClock;
    private final UsageRole role;
    private long lastReported = UNKNOWN;

    ReportedWindows(GossipStore gossip, UsageWindows windows, ClusterClock clusterClock, UsageRole role) {
        this.gossip = gossip;
        this.windows = windows;
        this.clusterClock = clusterClock;
        this.role = role;
    }

    /** The first window that is not known to be reported. */
    long oldestUnreported() {
        GossipStore.GossipEntry entry = gossip.get(GossipKeys.REPORTED_USAGE_KEY);
        if (entry != null) {
            lastReported = Math.max(lastReported, UsageCodec.decodeReportedWindow(entry.body()));
        }
        long currentWindow = windows.windowAt(clusterClock.now());
        if (lastReported < 0) {
            // The first owner of all begins with the window it is in; another one with all that can still be in time.
            lastReported = currentWindow - (role.isFirstOwnerEver() ? 0 : windows.retained() - 1);
        }
        // What is so late that nobody has its sums any more is not made up.
        lastReported = Math.max(lastReported, currentWindow - windows.retained() - 1);
        return lastReported + 1;
    }

    /** The platform has taken a window's report; later owners learn of it by gossip. */
    void onReported(long window, long fencingToken) {
        lastReported = Math.max(lastReported, window);
        gossip.publish(GossipKeys.REPORTED_USAGE_KEY, fencingToken, window, UsageCodec.encodeReportedWindow(window));
    }
}
