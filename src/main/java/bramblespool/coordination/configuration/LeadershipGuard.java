package bramblespool.coordination.configuration;

import java.util.function.BooleanSupplier;

/**
 * Distinguishes callbacks registered under an earlier leadership from those of the present one. Confined to the
 * event loop.
 */
final class LeadershipGuard {
    private long generation;

    /** Ends the present leadership; all checks given out before fail from now on. */
    void onLeadershipChanged() {
        generation++;
    }

    /** A check that holds until leadership changes. */
    BooleanSupplier currentLeadership() {
        long expected = generation;
        return () -> generation == expected;
    }
}
