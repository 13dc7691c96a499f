package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;

/**
 * Client-side throttling (Beyer et al., "Site Reliability Engineering", chapter 21, "Handling Overload"): a client
 * whose calls mostly fail makes fewer of them, for what it sends costs the servers even if they cannot answer. Counts
 * decay exponentially. Confined to the event loop.
 */
final class AdaptiveThrottle {
    /** Calls are made freely while at least one in so many is answered. */
    private static final double CALLS_PER_ANSWER = 2;
    /** Calls are repeated freely while at least one in so many is answered. */
    private static final double CALLS_PER_ANSWER_TO_REPEAT = 1.25;
    /** So many calls without an answer say nothing yet. */
    private static final double UNANSWERED_ALLOWANCE = 4;

    private final Clock clock;
    private final double decayMs;
    private double calls;
    private double answers;
    private long updatedAtMs;

    /** @param decayMs time constant of the counts */
    AdaptiveThrottle(Clock clock, double decayMs) {
        this.clock = clock;
        this.decayMs = decayMs;
        this.updatedAtMs = clock.nowMs();
    }

    private void decay() {
        long nowMs = clock.nowMs();
        double remaining = Math.exp((updatedAtMs - nowMs) / decayMs);
        calls *= remaining;
        answers *= remaining;
        updatedAtMs = nowMs;
    }

    /** Whether a call may be made; counts it, whether or not it may. */
    boolean admitCall() {
        decay();
        double excess = calls - UNANSWERED_ALLOWANCE - CALLS_PER_ANSWER * answers;
        boolean isAdmitted = clock.random() >= excess / (calls + 1);
        calls++;
        return isAdmitted;
    }

    /** Whether a call that failed may be made again elsewhere. */
    boolean mayRepeat() {
        decay();
        return calls - UNANSWERED_ALLOWANCE <= CALLS_PER_ANSWER_TO_REPEAT * answers;
    }

    /** Notes that a call was answered in time by somebody who could decide. */
    void onAnswered() {
        decay();
        answers++;
    }
}
