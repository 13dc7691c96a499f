package bramblespool.coordination.traffic;

import it.unimi.dsi.fastutil.longs.LongArrayFIFOQueue;

/**
 * A server's slow start: whether it is warming up, as far as that is known, and the limit on requests that are sent to
 * it meanwhile, in every sliding second. Confined to the event loop.
 */
final class SlowStart {
    private static final long SECOND_MS = 1000;
    /** Starts are counted for a little more than a second, because arrivals are delayed unevenly. */
    private static final long WINDOW_MS = SECOND_MS * 11 / 10;
    /** A server at most this much older than this process was not running at the time of its predecessor. */
    private static final long START_TIME_TOLERANCE_MS = 200;

    private static final long MIN_UNKNOWN_DELAY_MS = 10;
    private static final long MIN_DELAY_MS = 5;

    private final AdmissionSettings settings;
    private final long createdMs;
    private final LongArrayFIFOQueue startTimesMs = new LongArrayFIFOQueue();
    private boolean isStateUncertain = true;
    private long warmingUpUntilMs;
    private double ratePerSecond;
    private long warmupMs;

    SlowStart(AdmissionSettings settings, long createdMs) {
        this.settings = settings;
        this.createdMs = createdMs;
    }

    /** Sets the service's slow start: requests a second, 0 for no limit, and its duration. */
    void configure(double newRatePerSecond, long durationMs) {
        ratePerSecond = newRatePerSecond;
        warmupMs = durationMs;
    }

    /** The server has said how much longer it is warming up; 0: it is not. */
    void onWarmupLeft(long warmupLeftMs, long nowMs) {
        isStateUncertain = false;
        warmingUpUntilMs = warmupLeftMs > 0 ? nowMs + warmupLeftMs : 0;
    }

    /** It may have gone into slow start unnoticed. */
    void markUncertain() {
        isStateUncertain = true;
    }

    /** Nothing will tell; it counts as it did before. */
    void clearUncertain() {
        isStateUncertain = false;
    }

    /** Forgets the requests sent, which went to another server. */
    void forgetStarts() {
        startTimesMs.clear();
    }

    /** Remaining time of slow start; a heartbeat interval where its state is uncertain. */
    long warmupLeftMs(long nowMs) {
        return isStateUncertain && settings.expectsHeartbeats()
                ? settings.heartbeatIntervalMs()
                : Math.max(0, warmingUpUntilMs - nowMs);
    }

    /** {@code silenceMs}: since the last heartbeat. */
    boolean isWarmingUp(long nowMs, long silenceMs) {
        return warmingUpUntilMs > nowMs
                || settings.expectsHeartbeats() && isStateUncertain
                || settings.isUncertainAfter(silenceMs);
    }

    /** Whether the limit of the last second leaves room. */
    boolean hasCapacity(long nowMs) {
        expireStarts(nowMs);
        if (!isLimited()) {
            return true;
        }
        return !mayHaveEarlierStarts(nowMs) && startTimesMs.size() < settings.slowStartLimit(ratePerSecond);
    }

    boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** Time between requests at the rate of slow start. */
    double msPerStart() {
        return SECOND_MS / ratePerSecond;
    }

    /**
     * Whether this process's predecessor may have sent requests to this server in slow start within the last second: it
     * may where the server is older than this process, and the number is not known.
     */
    private boolean mayHaveEarlierStarts(long nowMs) {
        long serverAgeMs = isStateUncertain ? Long.MAX_VALUE : warmupMs - (warmingUpUntilMs - nowMs);
        return nowMs - createdMs < SECOND_MS && serverAgeMs > nowMs - createdMs + START_TIME_TOLERANCE_MS;
    }

    void recordStart(long nowMs) {
        expireStarts(nowMs);
        startTimesMs.enqueue(nowMs);
    }

    private void expireStarts(long nowMs) {
        while (!startTimesMs.isEmpty() && nowMs - startTimesMs.firstLong() > WINDOW_MS) {
            startTimesMs.dequeueLong();
        }
    }

    /** When to look again whether there is room, in ms. */
    long recheckDelayMs(long nowMs) {
        if (!startTimesMs.isEmpty()) {
            return Math.max(MIN_DELAY_MS, startTimesMs.firstLong() + WINDOW_MS - nowMs);
        }
        return Math.max(MIN_UNKNOWN_DELAY_MS, mayHaveEarlierStarts(nowMs) ? createdMs + SECOND_MS - nowMs : 0);
    }
}
