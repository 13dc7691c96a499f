package bramblespool.coordination.traffic;

import bramblespool.state.Settings;

/**
 * Parameters of a {@link ServerAdmission} from the settings.
 *
 * @param heartbeatIntervalMs 0 where servers send no heartbeats but are known from the registry
 * @param drainGraceMs how long requests are still admitted to a draining server, until callers have learned of it
 * @param drainTimeoutMs the rule's limit for requests to a draining server
 * @param slowStartExcessFactor factor on the slow-start rate that the rule allows
 * @param slowStartAllowance requests in a second that the rule allows besides
 */
public record AdmissionSettings(
        long heartbeatIntervalMs,
        long drainGraceMs,
        long drainTimeoutMs,
        double slowStartExcessFactor,
        double slowStartAllowance) {
    /** Fraction of the rule's slow-start limit that is used, so that a delayed arrival never exceeds the limit. */
    private static final double SLOW_START_LIMIT_SHARE = 0.92;
    /** Heartbeat intervals without one after which the server may be in slow start unnoticed. */
    private static final double UNCERTAIN_AFTER_HEARTBEATS = 1.5;
    /** Heartbeat intervals without one after which the server counts as unreachable. */
    private static final double UNREACHABLE_AFTER_HEARTBEATS = 2.4;

    /** For a server that sends heartbeats to its sidecar. */
    public static AdmissionSettings forHeartbeats(Settings settings) {
        Settings.Bounds bounds = settings.bounds();
        return new AdmissionSettings(
                settings.heartbeatIntervalMs(),
                bounds.drainMs() / 3,
                bounds.drainMs(),
                bounds.slowStartExcess(),
                bounds.slowStartAllowance());
    }

    /** For a server known from the registry, which shows changes late already: without a drain grace. */
    public static AdmissionSettings forRegistry(Settings settings) {
        Settings.Bounds bounds = settings.bounds();
        return new AdmissionSettings(0, 0, bounds.drainMs(), bounds.slowStartExcess(), bounds.slowStartAllowance());
    }

    boolean expectsHeartbeats() {
        return heartbeatIntervalMs > 0;
    }

    /** When a caller should try again while there is no server, in ms. */
    long recheckDelayMs() {
        return expectsHeartbeats() ? heartbeatIntervalMs / 3 : drainTimeoutMs / 12;
    }

    /** When a server that failed and sends no heartbeats is tried again, in ms. */
    long retryUnreachableMs() {
        return drainTimeoutMs / 4;
    }

    /** Whether a server that was silent for this long may be in slow start unnoticed. */
    boolean isUncertainAfter(long silenceMs) {
        return expectsHeartbeats() && silenceMs > heartbeatIntervalMs * UNCERTAIN_AFTER_HEARTBEATS;
    }

    /** Whether a server that was silent for this long counts as unreachable. */
    boolean isUnreachableAfter(long silenceMs) {
        return expectsHeartbeats() && silenceMs > heartbeatIntervalMs * UNREACHABLE_AFTER_HEARTBEATS;
    }

    /** Requests in a second that are sent to a server in slow start at this rate. */
    int slowStartLimit(double ratePerSecond) {
        return (int) Math.max(1, (ratePerSecond * slowStartExcessFactor + slowStartAllowance) * SLOW_START_LIMIT_SHARE);
    }
}
