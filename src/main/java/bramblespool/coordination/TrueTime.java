package bramblespool.coordination;

import bramblespool.transport.Clock;
import java.util.Arrays;
import java.util.Collection;

/**
 * The time of day as most say it is: the steady clock and an offset. Helms take the median of what all of them say, so a
 * minority whose clocks jump changes nothing; sides take what their helm says. Until anybody has said anything it is the
 * machine's own.
 */
public final class TrueTime {
    private final Clock clock;
    private long offset;

    public TrueTime(Clock clock) {
        this.clock = clock;
        this.offset = own();
    }

    /** The offset of this machine's own time of day. */
    public long own() {
        return clock.wall() - clock.now();
    }

    public long now() {
        return clock.now() + offset;
    }

    /** What another process says its time was, as heard after a question that took so long. */
    public long offsetOf(long said, long tookMs) {
        return said + tookMs / 2 - clock.now();
    }

    public void take(long newOffset) {
        offset = newOffset;
    }

    /** The median of the own machine's time and those of others. */
    public void median(Collection<Long> others) {
        long[] all = new long[others.size() + 1];
        int n = 0;
        for (long o : others) {
            all[n++] = o;
        }
        all[n] = own();
        Arrays.sort(all);
        offset = all.length % 2 == 1 ? all[all.length / 2] : (all[all.length / 2 - 1] + all[all.length / 2]) / 2;
    }
}
