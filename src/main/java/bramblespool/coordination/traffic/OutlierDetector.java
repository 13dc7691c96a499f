package bramblespool.coordination.traffic;

import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.transport.Clock;

/**
 * Detects a server that fails or is slow, from its requests only, because health checks may be wrong. What is announced
 * changes in steps. Confined to the event loop.
 */
final class OutlierDetector {
    /** Weight of one outcome in the failure rate. */
    private static final double OUTCOME_EWMA_WEIGHT = 0.15;
    /** Steps in which the failure rate is announced: one failure among many successes stays below the first. */
    private static final int FAILURE_RATE_STEPS = 5;

    private final Clock clock;
    private final long halfLifeMs;
    private final LatencyBaseline latencyBaseline;
    private double failureRate;
    private long failureRateAtMs;
    private int reportedFailureStep;
    private int reportedSlownessLevel;

    /** {@code halfLifeMs}: in which the failure rate and slowness decay without requests. */
    OutlierDetector(Clock clock, long halfLifeMs) {
        this.clock = clock;
        this.halfLifeMs = halfLifeMs;
        this.latencyBaseline = new LatencyBaseline(halfLifeMs);
    }

    /** Forgets everything, for another server. */
    void reset() {
        failureRate = 0;
        latencyBaseline.reset();
    }

    void recordOutcome(boolean isSuccess) {
        failureRate = decayedFailureRate() * (1 - OUTCOME_EWMA_WEIGHT) + (isSuccess ? 0 : OUTCOME_EWMA_WEIGHT);
        failureRateAtMs = clock.nowMs();
    }

    void recordLatency(String route, long latencyMs) {
        latencyBaseline.recordLatency(route, latencyMs, clock.nowMs());
    }

    private double decayedFailureRate() {
        return failureRate * Math.pow(0.5, (double) (clock.nowMs() - failureRateAtMs) / halfLifeMs);
    }

    /** Works out what is to be announced; returns whether it has changed. */
    boolean refresh() {
        int failureStep = (int) (decayedFailureRate() * FAILURE_RATE_STEPS);
        int slownessLevel = latencyBaseline.slownessLevel(clock.nowMs(), reportedSlownessLevel);
        boolean hasChanged = failureStep != reportedFailureStep || slownessLevel != reportedSlownessLevel;
        reportedFailureStep = failureStep;
        reportedSlownessLevel = slownessLevel;
        return hasChanged;
    }

    /** The announced failure rate, 0 to 1, in steps. */
    double reportedFailureRate() {
        return (double) reportedFailureStep / FAILURE_RATE_STEPS;
    }

    /** The announced slowness level: 0 to 2, see {@link LatencyBaseline}. */
    int slownessLevel() {
        return reportedSlownessLevel;
    }

    /** The cost of failures and slowness as utilization, the same as for callers that choose an endpoint. */
    double cost() {
        return reportedFailureRate() * EndpointDirectory.FAILURE_COST
                + reportedSlownessLevel * EndpointDirectory.SLOWNESS_COST;
    }
}
