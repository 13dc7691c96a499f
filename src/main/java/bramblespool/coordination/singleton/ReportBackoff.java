package bramblespool.coordination.singleton;

import bramblespool.transport.Clock;

/** The pauses between attempts to report usage: exponential after failures, within the platform's call rate. */
final class ReportBackoff {
    /** Each further failure in a row makes the pause so many times as long. */
    private static final int GROWTH = 2;

    private static final double MS_PER_SECOND = 1000;
    /** A lower call rate than this (calls a second) counts as this one. */
    private static final double MIN_CALLS_PER_SECOND = 0.1;

    private final Clock clock;
    private final long minPauseMs;
    private final long maxPauseMs;
    private final long callIntervalMs;
    private long pauseMs;
    private long pausedUntilMs;

    /** @param callsPerSecond how often the platform may be called */
    ReportBackoff(Clock clock, long minPauseMs, long maxPauseMs, double callsPerSecond) {
        this.clock = clock;
        this.minPauseMs = minPauseMs;
        this.maxPauseMs = maxPauseMs;
        this.callIntervalMs = (long) (MS_PER_SECOND / Math.max(MIN_CALLS_PER_SECOND, callsPerSecond));
    }

    boolean isPaused() {
        return clock.nowMs() < pausedUntilMs;
    }

    /** An attempt failed: the next one waits longer than the last. */
    void onFailure() {
        pauseMs = Math.max(minPauseMs, Math.min(pauseMs * GROWTH, maxPauseMs));
        pausedUntilMs = clock.nowMs() + Math.max(pauseMs, callIntervalMs);
    }

    /** An attempt succeeded: after the next failure the pause is the shortest again. */
    void onSuccess() {
        pauseMs = 0;
    }

    /** Pauses for a given time, whatever failed before. */
    void pauseFor(long durationMs) {
        pausedUntilMs = clock.nowMs() + durationMs;
    }
}
