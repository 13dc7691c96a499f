package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;
import java.util.Arrays;
import java.util.Collection;

/**
 * The time of day as most say it is: the steady clock and an offset. Helms take the median of what all of them say, so a
 * minority whose clocks jump changes nothing; sides take what their helm says. Until anybody has said anything it is the
 * machine's own.
 */
public final class ClusterClock {
    private final Clock clock;
    private long offsetMs;

    public ClusterClock(Clock clock) {
        this.clock = clock;
        this.offsetMs = ownOffset();
    }

    /** The offset of this machine's own time of day. */
    public long ownOffset() {
        return clock.wallTimeMs() - clock.nowMs();
    }

    public long now() {
        return clock.nowMs() + offsetMs;
    }

    /** What another process says its time was, as heard after a question that took so long. */
    public long offsetOf(long reportedMs, long roundTripMs) {
        return reportedMs + roundTripMs / 2 - clock.nowMs();
    }

    public void setOffset(long newOffsetMs) {
        offsetMs = newOffsetMs;
    }

    /** The median of the own machine's time and those of others. */
    public void adoptMedian(Collection<Long> otherOffsets) {
        long[] offsets = new long[otherOffsets.size() + 1];
        int size = 0;
        for (long other : otherOffsets) {
            offsets[size++] = other;
        }
        offsets[size] = ownOffset();
        Arrays.sort(offsets);
        offsetMs = offsets.length % 2 == 1
                ? offsets[offsets.length / 2]
                : (offsets[offsets.length / 2 - 1] + offsets[offsets.length / 2]) / 2;
    }
}
