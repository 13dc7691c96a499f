package bramblespool.coordination.time;

import bramblespool.transport.Clock;
import java.util.Arrays;
import java.util.Collection;

/**
 * The time of day that the cluster agrees on: the steady clock and an offset. A controller takes the median of what the
 * voters say, so that a minority whose clocks jump changes nothing; a proxy takes its controller's. Until anybody has
 * said anything it is the machine's own time of day. Confined to the event loop.
 */
public final class ClusterClock {
    /** Clocks that differ from the median by no more than this agree with it. */
    private static final long AGREEMENT_TOLERANCE_MS = 1000;

    private final Clock clock;
    private long offsetMs;
    private boolean isAgreed;
    private Runnable agreementListener = () -> {};

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

    /** Whether a majority of the voters has agreed on this time since the process started. */
    public boolean isAgreed() {
        return isAgreed;
    }

    /** Sets what runs once, when {@link #isAgreed} begins to hold. */
    public void onAgreed(Runnable listener) {
        agreementListener = listener;
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

    /**
     * Takes the median of this machine's own offset and those of others.
     *
     * @param requiredClocks how many clocks, this one included, have to be close to the median for the time to count as
     *     agreed
     */
    public void adoptMedian(Collection<Long> otherOffsets, int requiredClocks) {
        long[] offsets = new long[otherOffsets.size() + 1];
        int size = 0;
        for (long other : otherOffsets) {
            offsets[size++] = other;
        }
        offsets[size] = ownOffset();
        Arrays.sort(offsets);
        int middle = offsets.length / 2;
        offsetMs = offsets.length % 2 == 1 ? offsets[middle] : (offsets[middle - 1] + offsets[middle]) / 2;
        long agreeing = Arrays.stream(offsets)
                .filter(offset -> Math.abs(offset - offsetMs) <= AGREEMENT_TOLERANCE_MS)
                .count();
        if (!isAgreed && agreeing >= requiredClocks) {
            isAgreed = true;
            agreementListener.run();
        }
    }
}
