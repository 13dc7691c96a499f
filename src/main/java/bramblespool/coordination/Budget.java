package bramblespool.coordination;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * What this weft may spend on further tries, per service. Each request earns a share of one; what is saved up is
 * capped by this weft's part of the slack, so that the sum over all wefts keeps the rule in every window without
 * a word between them.
 */
public final class Budget {
    /** The rest of the ratio and of the slack is left for the calls that repeated runs make in their turn. */
    private static final double RATIO_SHARE = 0.5;
    private static final double SLACK_SHARE = 0.3;

    private final double ratio;
    private final double slack;
    private int wefts = 1;
    private final Object2DoubleOpenHashMap<String> saved = new Object2DoubleOpenHashMap<>();

    public Budget(double ratio, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        saved.defaultReturnValue(-1);
    }

    /** How many wefts share the slack. */
    public void sharers(int n) {
        wefts = Math.max(wefts, n);
    }

    private double cap() {
        return slack * SLACK_SHARE / wefts;
    }

    private double held(String service) {
        double s = saved.getDouble(service);
        return s < 0 ? Math.min(1, cap()) : Math.min(s, cap());
    }

    public void request(String service) {
        saved.put(service, Math.min(Math.max(1, cap()), held(service) + ratio * RATIO_SHARE));
    }

    /** Whether there is a further try to take. */
    public boolean holds(String service) {
        return held(service) >= 1;
    }

    /** Takes one further try if there is one. */
    public boolean draw(String service) {
        if (!holds(service)) {
            return false;
        }
        saved.put(service, held(service) - 1);
        return true;
    }
}
