package bramblespool.proxy;

import bramblespool.protocol.ExecutionOutcome;
import bramblespool.transport.UpstreamClient;

/**
 * The result of one attempt.
 *
 * @param response only with {@link ExecutionOutcome#ANSWERED}
 * @param reason why there is no response; null with {@link ExecutionOutcome#ANSWERED}
 * @param retryAfterMs when to try again; 0 where nothing is known
 * @param hasReachedServer whether the server received the request, executed or not
 */
record AttemptResult(
        ExecutionOutcome outcome,
        UpstreamClient.Response response,
        String reason,
        long retryAfterMs,
        boolean hasReachedServer) {

    /** Gets the result of an attempt, once. */
    interface Listener {
        /**
         * {@code relayCompletion} is null unless the response is streamed; then it has to be called when that has
         * ended.
         */
        void onResult(AttemptResult result, RelayCompletion relayCompletion);
    }

    /** Ends an attempt whose response was streamed. */
    interface RelayCompletion {
        /** {@code isComplete}: whether the response was forwarded to its end. */
        void onRelayed(boolean isComplete);
    }

    static AttemptResult answered(UpstreamClient.Response response) {
        return new AttemptResult(ExecutionOutcome.ANSWERED, response, null, 0, true);
    }

    static AttemptResult notExecuted(String reason, long retryAfterMs, boolean hasReachedServer) {
        return new AttemptResult(ExecutionOutcome.NOT_EXECUTED, null, reason, retryAfterMs, hasReachedServer);
    }

    static AttemptResult possiblyExecuted(String reason) {
        return new AttemptResult(ExecutionOutcome.POSSIBLY_EXECUTED, null, reason, 0, true);
    }

    boolean isAnswered() {
        return outcome == ExecutionOutcome.ANSWERED;
    }
}
