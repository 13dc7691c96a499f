package bramblespool.process;

/**
 * When a proxy that is to end does what, on the event loop's clock. The requirement: whatever it has read is answered,
 * and a server that is at work for a request is waited for until the last sixth of {@code grace}.
 *
 * @param serveUntilMs until then it accepts every request, because clients learn only now that it leaves
 * @param answerUntilMs until then requests may be in progress; then it answers what is left
 * @param endMs the process ends
 */
record ShutdownSchedule(long serveUntilMs, long answerUntilMs, long endMs) {
    private static final double SERVE_SHARE = 0.4;
    /** With nine tenths of {@code grace} for the whole, this lies behind the beginning of its last sixth. */
    private static final double ANSWER_SHARE = 0.95;

    /** {@code availableMs}: the time from now until the process has to have ended. */
    static ShutdownSchedule from(long nowMs, long availableMs) {
        return new ShutdownSchedule(
                nowMs + (long) (availableMs * SERVE_SHARE),
                nowMs + (long) (availableMs * ANSWER_SHARE),
                nowMs + availableMs);
    }
}
