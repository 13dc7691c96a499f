package bramblespool.coordination;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;

/**
 * Whether this daemon keeps up: how late its own timers come tells how much work lies before each new piece. One that
 * does not keep up lets comparisons of news wait, its own and those it is asked for; votes, heartbeats, renewals and
 * decisions are never left out.
 */
public final class Strain {
    private final Clock clock;
    private final long periodMs;
    private final long mostMs;
    private final EventLog log;
    private long due;
    private long late;
    private boolean strained;

    /** {@code mostMs}: lateness from which it counts as not keeping up; it does again below a quarter of that. */
    public Strain(Clock clock, long mostMs, EventLog log) {
        this.clock = clock;
        this.periodMs = Math.max(1, mostMs / 2);
        this.mostMs = mostMs;
        this.log = log;
    }

    public void start() {
        due = clock.now() + periodMs;
        clock.after(periodMs, this::feel);
    }

    private void feel() {
        // The worst of late fades, so that one quiet moment does not end it.
        late = Math.max(clock.now() - due, late * 3 / 4);
        if (!strained && late >= mostMs) {
            strained = true;
            log.log(Event.OVERLOADED, "lateMs", late);
        } else if (strained && late < mostMs / 4) {
            strained = false;
            log.log(Event.OVERLOAD_CLEARED);
        }
        start();
    }

    public boolean strained() {
        return strained;
    }

    /** By how many milliseconds its timers have lately come late. */
    public long late() {
        return late;
    }
}
