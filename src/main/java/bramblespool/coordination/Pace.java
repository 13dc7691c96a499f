package bramblespool.coordination;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * How a server's pace compares with its own usual one, route by route, so that neither a slow kind of request nor a
 * slow machine counts as trouble, but a server that turns slow does. Without new requests it is forgotten by half in
 * each span, so that the server is tried again.
 */
final class Pace {
    /** How much one request weighs in what is usual, and in how it stands now. */
    private static final double USUAL = 0.05;

    private static final double NOW = 0.25;
    /** While it is slow, what is usual is hardly changed by it. */
    private static final double USUAL_WHEN_SLOW = 0.005;
    /** So many times its usual work make each step; it is left again below this part of that. */
    private static final double[] STEPS = {2, 3.5};

    private static final double LEAVES = 0.7;

    /** For this part of that span nothing is forgotten. */
    private static final double FRESH = 0.25;

    private final long halfMs;
    private final Object2DoubleOpenHashMap<String> usual = new Object2DoubleOpenHashMap<>();
    private double ratio = 1;
    private long at;

    Pace(long halfMs) {
        this.halfMs = halfMs;
    }

    void forget() {
        usual.clear();
        ratio = 1;
    }

    /** A request of the route worked so long. */
    void took(String route, long ms, long now) {
        double u = usual.getOrDefault(route, -1);
        if (u < 0) {
            usual.put(route, Math.max(1, ms));
            return;
        }
        ratio = ratio(now) + NOW * (ms / u - ratio(now));
        at = now;
        usual.put(route, u + (ratio > STEPS[0] ? USUAL_WHEN_SLOW : USUAL) * (Math.max(1, ms) - u));
    }

    private double ratio(long now) {
        return 1 + (ratio - 1) * Math.pow(0.5, Math.max(0, (double) (now - at) / halfMs - FRESH));
    }

    /** The step it is on, given the one that was last told. */
    int step(long now, int told) {
        double r = ratio(now);
        int step = 0;
        while (step < STEPS.length && r >= STEPS[step] * (step < told ? LEAVES : 1)) {
            step++;
        }
        return step;
    }
}
