package bramblespool.state;

/**
 * The counters of a process. They start at 0 with the process and never fall. Confined to the event loop.
 *
 * <p>Every {@link Metric#isViolation} counter belongs to an invariant that the code checks as it runs; an increment is
 * logged, because it shows a fault of the program.
 */
public final class Metrics {
    private final long[] counts = new long[Metric.values().length];
    private final EventLog log;

    /** Creates the counters; {@code log} gets the violations. */
    public Metrics(EventLog log) {
        this.log = log;
    }

    /** Adds 1. */
    public void increment(Metric metric) {
        counts[metric.ordinal()]++;
    }

    /** Counts and logs a violation of an invariant; {@code detail} says where. */
    public void recordViolation(Metric violation, String detail) {
        increment(violation);
        log.log(EventLog.Event.INVARIANT_VIOLATED, "invariant", violation, "detail", detail);
    }

    /** The present count. */
    public long count(Metric metric) {
        return counts[metric.ordinal()];
    }

    /** The sum of all violations. */
    public long violations() {
        long total = 0;
        for (Metric metric : Metric.values()) {
            total += metric.isViolation() ? count(metric) : 0;
        }
        return total;
    }

    /** All counters in the text exposition format of Prometheus. */
    public String expose() {
        StringBuilder text = new StringBuilder();
        for (Metric metric : Metric.values()) {
            text.append("# HELP ").append(metric.exposedName()).append(' ').append(metric.help());
            text.append("\n# TYPE ").append(metric.exposedName()).append(" counter\n");
            text.append(metric.exposedName()).append(' ').append(count(metric)).append('\n');
        }
        return text.toString();
    }
}
