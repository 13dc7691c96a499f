package bramblespool.coordination.singleton;

import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.Settings;

/**
 * Arithmetic of the windows for which usage is reported. Window number n begins at n times the window's length
 * after the epoch, by the {@link ClusterClock}.
 *
 * @param windowMs a window's length
 * @param lateMs the rule {@code usageLate}: how long after its end a window may be reported
 */
public record UsageWindows(long windowMs, long lateMs) {
    /** After its end a window is left alone for this part of {@link #lateMs}, so that its last counts arrive. */
    private static final double SETTLE_FRACTION = 0.15;
    /** Counts that are lacking are waited for until this part of {@link #lateMs} after the window's end. */
    private static final double INCOMPLETE_FRACTION = 0.5;
    /** The window that runs, and the one that has just ended. */
    private static final int OPEN_WINDOWS = 2;

    /** The windows of the platform's rules. */
    public static UsageWindows of(Settings.UsageReporting settings) {
        return new UsageWindows(settings.reportWindowMs(), settings.usageLateMs());
    }

    /** The number of the window that runs at that time. */
    long windowAt(long timeMs) {
        return Math.floorDiv(timeMs, windowMs);
    }

    /** How long after the window's end that time is; negative before. */
    long elapsedSinceEnd(long window, long timeMs) {
        return timeMs - (window + 1) * windowMs;
    }

    /** How many windows may still be asked for. */
    int retained() {
        return (int) (lateMs / windowMs) + OPEN_WINDOWS;
    }

    /** Whether a window that ended so long ago may be reported if nothing is lacking. */
    boolean isSettled(long elapsedMs) {
        return elapsedMs >= lateMs * SETTLE_FRACTION;
    }

    /** Whether a window that ended so long ago is reported even if some counts are lacking. */
    boolean mayReportIncomplete(long elapsedMs) {
        return elapsedMs >= lateMs * INCOMPLETE_FRACTION;
    }
}
