package bramblespool.coordination.traffic;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;

/**
 * Whether this daemon keeps up: how late its own timers come tells how much work lies before each new piece. One that
 * does not keep up lets comparisons of news wait, its own and those it is asked for; votes, heartbeats, renewals and
 * decisions are never left out.
 */
public final class OverloadDetector {
    private final Clock clock;
    private final long checkIntervalMs;
    private final long thresholdMs;
    private final EventLog log;
    private long dueMs;
    private long latenessMs;
    private boolean isOverloaded;

    /** {@code mostMs}: lateness from which it counts as not keeping up; it does again below a quarter of that. */
    public OverloadDetector(Clock clock, long thresholdMs, EventLog log) {
        this.clock = clock;
        this.checkIntervalMs = Math.max(1, thresholdMs / 2);
        this.thresholdMs = thresholdMs;
        this.log = log;
    }

    public void start() {
        dueMs = clock.nowMs() + checkIntervalMs;
        clock.schedule(checkIntervalMs, this::measure);
    }

    private void measure() {
        // The worst of late fades, so that one quiet moment does not end it.
        latenessMs = Math.max(clock.nowMs() - dueMs, latenessMs * 3 / 4);
        if (!isOverloaded && latenessMs >= thresholdMs) {
            isOverloaded = true;
            log.log(Event.OVERLOADED, "lateMs", latenessMs);
        } else if (isOverloaded && latenessMs < thresholdMs / 4) {
            isOverloaded = false;
            log.log(Event.OVERLOAD_CLEARED);
        }
        start();
    }

    public boolean isOverloaded() {
        return isOverloaded;
    }

    /** By how many milliseconds its timers have lately come late. */
    public long latenessMs() {
        return latenessMs;
    }
}
