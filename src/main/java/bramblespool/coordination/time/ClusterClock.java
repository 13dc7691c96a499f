package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;
import java.util.Arrays;
import java.util.Collection;

/**
 * The time of day that the cluster agrees on: the steady clock and an offset. A controller takes the median of what
 * all controllers say, so that a minority whose clocks jump changes nothing; a proxy takes its controller's. Until
 * anybody has said anything it is the machine's own time of day. Confined to the event loop.
 */
public final class ClusterClock {
    private final Clock clock;
    private long offsetMs;

    /** Creates a clock that goes by this machine's own time of day. */
    public ClusterClock(Clock clock) {
        this.clock = clock;
        this.offsetMs = ownOffset();
    }

    /** How far this machine's own time of day is ahead of its steady clock, in milliseconds. */
    private long ownOffset() {
        return clock.wallTimeMs() - clock.nowMs();
    }

    /** The cluster's time of day in milliseconds since the epoch. */
    public long now() {
        return clock.nowMs() + offsetMs;
    }

    /**
     * The offset that makes this process's clock another one's.
     *
     * @param reportedMs the time of day that the other process named
     * @param roundTripMs how long the question and its answer took; the answer is taken to have been half of that ago
     */
    public long offsetOf(long reportedMs, long roundTripMs) {
        return reportedMs + roundTripMs / 2 - clock.nowMs();
    }

    /** Takes over another process's clock, see {@link #offsetOf}. */
    public void setOffset(long newOffsetMs) {
        offsetMs = newOffsetMs;
    }

    /** Takes the median of this machine's own offset and those of others. */
    public void adoptMedian(Collection<Long> otherOffsets) {
        long[] offsets = new long[otherOffsets.size() + 1];
        int size = 0;
        for (long other : otherOffsets) {
            offsets[size++] = other;
        }
        offsets[size] = ownOffset();
        Arrays.sort(offsets);
        int middle = offsets.length / 2;
        offsetMs = offsets.length % 2 == 1 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
    }
}
