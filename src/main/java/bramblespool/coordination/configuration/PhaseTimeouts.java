package bramblespool.coordination.configuration;

import bramblespool.state.RoutingConfiguration;

/**
 * The time limits of a commit's phases, in milliseconds.
 *
 * @param distributeMs phase 1, for a document without routes
 * @param phaseMs every other phase
 * @param latencyMs the latency bound of phase 2: after it no call that is marked with the bit is in transit (paper,
 *     section 6.2)
 */
public record PhaseTimeouts(long distributeMs, long phaseMs, long latencyMs) {
    /** A third of what the operator allows for each route: the document crosses narrow links, twice if need be. */
    private static final long MS_PER_ROUTE = 1;
    /** Phase 1 may take this percentage of the time within which an order must be acknowledged. */
    private static final int DISTRIBUTE_PERCENT = 6;
    /** Every other phase may take this percentage of the time within which a version must be in force. */
    private static final int PHASE_PERCENT = 8;

    private static final int LATENCY_PERCENT = 2;
    private static final int PERCENT = 100;

    /**
     * @param acknowledgementMs the rule {@code ack}
     * @param applyMs the rule {@code apply}
     */
    public static PhaseTimeouts of(long acknowledgementMs, long applyMs) {
        return new PhaseTimeouts(
                acknowledgementMs * DISTRIBUTE_PERCENT / PERCENT,
                applyMs * PHASE_PERCENT / PERCENT,
                applyMs * LATENCY_PERCENT / PERCENT);
    }

    /** The time limit of phase 1 for this candidate. */
    long distributeMs(RoutingConfiguration candidate) {
        return distributeMs + candidate.routeCount() * MS_PER_ROUTE;
    }
}
