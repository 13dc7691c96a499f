package bramblespool.coordination.traffic;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * Compares a server's latency with its own usual latency, route by route, so that neither a slow kind of request nor a
 * slow machine counts as an anomaly, but a server that becomes slow does. Without new requests the deviation decays
 * with a half-life, so that the server is tried again. Confined to the event loop.
 */
final class LatencyBaseline {
    /** Weight of one request in the moving average of the usual latency of its route. */
    private static final double BASELINE_EWMA_WEIGHT = 0.05;
    /** Weight of one request in the moving average of the present ratio. */
    private static final double CURRENT_EWMA_WEIGHT = 0.25;
    /** Weight in the usual latency while the server is slow, so that slowness does not become the baseline. */
    private static final double BASELINE_EWMA_WEIGHT_WHEN_SLOW = 0.005;
    /** Ratios of present to usual latency from which the slowness levels 1 and 2 hold. */
    private static final double[] SLOWNESS_THRESHOLDS = {2, 3.5};
    /** A level is left below this fraction of its threshold. */
    private static final double HYSTERESIS_FACTOR = 0.7;

    /** Fraction of the half-life after a request in which nothing decays. */
    private static final double NO_DECAY_SPANS = 0.25;

    private final long halfLifeMs;
    private final Object2DoubleOpenHashMap<String> baselineByRoute = new Object2DoubleOpenHashMap<>();
    private double latencyRatio = 1;
    private long updatedAtMs;

    LatencyBaseline(long halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    /** Forgets everything, for another server. */
    void reset() {
        baselineByRoute.clear();
        latencyRatio = 1;
    }

    /** Records how long a request of the route took. */
    void recordLatency(String route, long latencyMs, long nowMs) {
        double baselineMs = baselineByRoute.getOrDefault(route, -1);
        if (baselineMs < 0) {
            baselineByRoute.put(route, Math.max(1, latencyMs));
            return;
        }
        latencyRatio = decayedRatio(nowMs) + CURRENT_EWMA_WEIGHT * (latencyMs / baselineMs - decayedRatio(nowMs));
        updatedAtMs = nowMs;
        baselineByRoute.put(
                route,
                baselineMs
                        + (latencyRatio > SLOWNESS_THRESHOLDS[0]
                                        ? BASELINE_EWMA_WEIGHT_WHEN_SLOW
                                        : BASELINE_EWMA_WEIGHT)
                                * (Math.max(1, latencyMs) - baselineMs));
    }

    private double decayedRatio(long nowMs) {
        return 1
                + (latencyRatio - 1)
                        * Math.pow(0.5, Math.max(0, (double) (nowMs - updatedAtMs) / halfLifeMs - NO_DECAY_SPANS));
    }

    /** The slowness level, 0 to 2; the previously reported one decides on the hysteresis. */
    int slownessLevel(long nowMs, int previousLevel) {
        double currentRatio = decayedRatio(nowMs);
        int level = 0;
        while (level < SLOWNESS_THRESHOLDS.length
                && currentRatio >= SLOWNESS_THRESHOLDS[level] * (level < previousLevel ? HYSTERESIS_FACTOR : 1)) {
            level++;
        }
        return level;
    }
}
