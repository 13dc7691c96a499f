package bramblespool.coordination.traffic;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * How a server's pace compares with its own usual one, route by route, so that neither a slow kind of request nor a
 * slow machine counts as trouble, but a server that turns slow does. Without new requests it is forgotten by half in
 * each span, so that the server is tried again.
 */
final class LatencyBaseline {
    /** How much one request weighs in what is usual, and in how it stands now. */
    private static final double BASELINE_EWMA_WEIGHT = 0.05;

    private static final double CURRENT_EWMA_WEIGHT = 0.25;
    /** While it is slow, what is usual is hardly changed by it. */
    private static final double BASELINE_EWMA_WEIGHT_WHEN_SLOW = 0.005;
    /** So many times its usual work make each step; it is left again below this part of that. */
    private static final double[] SLOWNESS_THRESHOLDS = {2, 3.5};

    private static final double HYSTERESIS_FACTOR = 0.7;

    /** For this part of that span nothing is forgotten. */
    private static final double NO_DECAY_SPANS = 0.25;

    private final long halfLifeMs;
    private final Object2DoubleOpenHashMap<String> baselineByRoute = new Object2DoubleOpenHashMap<>();
    private double latencyRatio = 1;
    private long updatedAtMs;

    LatencyBaseline(long halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    void reset() {
        baselineByRoute.clear();
        latencyRatio = 1;
    }

    /** A request of the route worked so long. */
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

    /** The step it is on, given the one that was last told. */
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
