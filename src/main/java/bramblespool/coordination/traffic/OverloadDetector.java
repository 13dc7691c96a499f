package bramblespool.coordination.traffic;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import java.util.function.Supplier;

/**
 * Detects overload of this process by the lateness of its own timers, which shows how much work is queued on the event
 * loop. An overloaded controller postpones gossip comparisons, its own and those it is asked for; votes, heartbeats,
 * renewals and configuration decisions are never postponed. Confined to the event loop.
 */
public final class OverloadDetector {
    private final Clock clock;
    private final long checkIntervalMs;
    private final long thresholdMs;
    private final EventLog log;
    private Supplier<String> loadDescription = () -> "";
    private long dueMs;
    private long latenessMs;
    private boolean isOverloaded;

    /**
     * {@code thresholdMs}: lateness from which the process counts as overloaded; it no longer does below a quarter of
     * that.
     */
    public OverloadDetector(Clock clock, long thresholdMs, EventLog log) {
        this.clock = clock;
        this.checkIntervalMs = Math.max(1, thresholdMs / 2);
        this.thresholdMs = thresholdMs;
        this.log = log;
    }

    /** Sets what is logged of the load at the beginning of an overload. */
    public void describeLoadBy(Supplier<String> description) {
        loadDescription = description;
    }

    /** Starts to measure, until the event loop ends. */
    public void start() {
        dueMs = clock.nowMs() + checkIntervalMs;
        clock.schedule(checkIntervalMs, this::measure);
    }

    private void measure() {
        // The recent maximum decays, so that one quiet moment does not end an overload.
        latenessMs = Math.max(clock.nowMs() - dueMs, latenessMs * 3 / 4);
        if (!isOverloaded && latenessMs >= thresholdMs) {
            isOverloaded = true;
            log.log(Event.OVERLOADED, "lateMs", latenessMs, "messages", loadDescription.get());
        } else if (isOverloaded && latenessMs < thresholdMs / 4) {
            isOverloaded = false;
            log.log(Event.OVERLOAD_CLEARED);
        }
        start();
    }

    /** Whether the process is overloaded. */
    public boolean isOverloaded() {
        return isOverloaded;
    }

    /** The decaying maximum of the timers' lateness, in milliseconds. */
    public long latenessMs() {
        return latenessMs;
    }
}
