package bramblespool.coordination.tenancy;

/**
 * The times that a proxy's calls for admission go by.
 *
 * @param controllerTimeoutMs how long a controller's answer is awaited
 * @param holderTimeoutMs how long the answer of a proxy that holds a bucket is awaited; the owner is asked after that
 * @param retryDelayMs the pause between two attempts
 * @param clientRetryMs when a client is to try again whose request could not be decided on
 * @param throttleDecayMs time constant of what is remembered of the calls' success
 */
record AdmissionTimings(
        long controllerTimeoutMs, long holderTimeoutMs, long retryDelayMs, long clientRetryMs, long throttleDecayMs) {
    /** Ratios to the quiet period, the time after which a member counts as silent. */
    private static final int CONTROLLER_TIMEOUT_DIVISOR = 16;

    private static final int HOLDER_TIMEOUT_DIVISOR = 40;
    private static final int RETRY_DIVISOR = 60;
    private static final int CLIENT_RETRY_DIVISOR = 30;
    private static final int THROTTLE_DECAY_DIVISOR = 4;

    static AdmissionTimings of(long quietPeriodMs) {
        return new AdmissionTimings(
                quietPeriodMs / CONTROLLER_TIMEOUT_DIVISOR,
                quietPeriodMs / HOLDER_TIMEOUT_DIVISOR,
                quietPeriodMs / RETRY_DIVISOR,
                quietPeriodMs / CLIENT_RETRY_DIVISOR,
                quietPeriodMs / THROTTLE_DECAY_DIVISOR);
    }
}
