package bramblespool.proxy;

import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.traffic.RetryBudget;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.state.Route;
import java.util.HashSet;
import java.util.Set;

/**
 * The attempts made for a request so far, and whether another one may follow: by the route's class and its limit of
 * attempts, the time left, and the service's retry budget. Confined to the event loop.
 */
final class AttemptHistory {
    /** Endpoints that one request is sent to at most; a rejection by an admission does not count as an arrival. */
    private static final int MAX_ENDPOINTS_TRIED = 4;
    /** Time before the deadline that a retry needs. */
    private static final long MIN_RETRY_TIME_MS = 15;

    private final Route route;
    private final String service;
    private final RetryBudget retryBudget;
    private final boolean isRepeatableBody;
    private final Set<EndpointDirectory.Endpoint> triedEndpoints = new HashSet<>();
    private int serverArrivals;
    private long shortestRetryAfterMs;
    private boolean mayHaveExecuted;

    /** {@code isRepeatableBody}: whether the request's body is buffered, so that it can be sent again. */
    AttemptHistory(Route route, String service, RetryBudget retryBudget, boolean isRepeatableBody) {
        this.route = route;
        this.service = service;
        this.retryBudget = retryBudget;
        this.isRepeatableBody = isRepeatableBody;
    }

    /** The endpoint for the next attempt, which is recorded; null where there is none. */
    EndpointDirectory.Endpoint chooseEndpoint(EndpointDirectory endpointDirectory) {
        EndpointDirectory.Endpoint endpoint = triedEndpoints.size() < MAX_ENDPOINTS_TRIED
                ? endpointDirectory.chooseEndpoint(service, triedEndpoints)
                : null;
        if (endpoint != null) {
            triedEndpoints.add(endpoint);
        }
        return endpoint;
    }

    /** Records the end of an attempt. */
    void record(AttemptResult result) {
        if (result.hasReachedServer()) {
            serverArrivals++;
        }
        if (result.outcome() == ExecutionOutcome.POSSIBLY_EXECUTED) {
            mayHaveExecuted = true;
        }
        if (result.retryAfterMs() > 0) {
            shortestRetryAfterMs = shortestRetryAfterMs == 0
                    ? result.retryAfterMs()
                    : Math.min(shortestRetryAfterMs, result.retryAfterMs());
        }
    }

    /** An attempt was broken off with this outcome. */
    void recordAborted(ExecutionOutcome outcome) {
        mayHaveExecuted |= outcome == ExecutionOutcome.POSSIBLY_EXECUTED;
    }

    /** Whether any attempt that has ended may have been executed. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** The shortest time to retry that an attempt was given, or the default. */
    long retryAfterMs(long defaultMs) {
        return shortestRetryAfterMs > 0 ? shortestRetryAfterMs : defaultMs;
    }

    /** Whether the request may be sent again; takes a retry from the budget where a server was reached. */
    boolean mayRetry(AttemptResult lastResult, long remainingMs, long nowMs) {
        if (!isRepeatableBody || remainingMs <= MIN_RETRY_TIME_MS) {
            return false;
        }
        if (lastResult.outcome() != ExecutionOutcome.NOT_EXECUTED && !route.isIdempotent()) {
            return false;
        }
        return !lastResult.hasReachedServer()
                || serverArrivals < route.maxAttempts() && retryBudget.tryAcquire(service, nowMs);
    }

    /** Whether a request that may be executing at a silent proxy may be sent to another one as well. */
    boolean mayHedge(long remainingMs, long nowMs) {
        return route.isIdempotent()
                && isRepeatableBody
                && serverArrivals + 1 < route.maxAttempts()
                && triedEndpoints.size() < MAX_ENDPOINTS_TRIED
                && retryBudget.hasRetry(service, nowMs)
                && remainingMs > MIN_RETRY_TIME_MS;
    }
}
