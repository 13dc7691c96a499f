package bramblespool.coordination.traffic;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** Moving averages of a server's latency, for each route and for all. Confined to the event loop. */
final class LatencyEstimator {
    private static final double EWMA_WEIGHT = 0.1;
    private static final double INITIAL_MS = 100;
    /** Mean deviations above the mean that make up the expected latency. */
    private static final double DEVIATIONS = 1.5;

    private static final double UNKNOWN = -1;

    private final Object2DoubleOpenHashMap<String> meanByRoute = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> deviationByRoute = new Object2DoubleOpenHashMap<>();
    private double overallMeanMs = INITIAL_MS;

    LatencyEstimator() {
        meanByRoute.defaultReturnValue(UNKNOWN);
    }

    void record(String route, long latencyMs) {
        double meanMs = meanByRoute.getDouble(route);
        boolean isFirst = meanMs == UNKNOWN;
        meanByRoute.put(route, isFirst ? latencyMs : meanMs + EWMA_WEIGHT * (latencyMs - meanMs));
        double deviationMs = Math.max(0, deviationByRoute.getDouble(route));
        double sampleDeviationMs = isFirst ? 0 : Math.abs(latencyMs - meanMs);
        deviationByRoute.put(route, deviationMs + EWMA_WEIGHT * (sampleDeviationMs - deviationMs));
        overallMeanMs += EWMA_WEIGHT * (latencyMs - overallMeanMs);
    }

    /** The latency that most requests of a route do not exceed once they are admitted, in ms. */
    double expectedMs(String route) {
        double meanMs = meanByRoute.getDouble(route);
        return meanMs == UNKNOWN ? INITIAL_MS : meanMs + DEVIATIONS * Math.max(0, deviationByRoute.getDouble(route));
    }

    /** Whether a request of the route that has taken this long is slower than usual; false while nothing is known. */
    boolean exceedsMean(String route, long elapsedMs) {
        double meanMs = meanByRoute.getDouble(route);
        return meanMs != UNKNOWN && elapsedMs > meanMs;
    }

    /** The mean over all routes, in ms. */
    double overallMeanMs() {
        return overallMeanMs;
    }
}
