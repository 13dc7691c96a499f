package bramblespool.proxy;

import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.Route;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * Forwards a request through a server's admission to the server, in one attempt, and reports the outcome. Source:
 * PROTOCOL-bramblespool.md, "Servers". Confined to the event loop.
 */
public final class ServerForwarder {
    /**
     * The result of an attempt.
     *
     * @param response only with {@link ExecutionOutcome#ANSWERED}
     * @param reason why there is no response; null with {@link ExecutionOutcome#ANSWERED}
     * @param retryAfterMs when to try again; 0 where nothing is known
     * @param hasReachedServer whether the server received the request, executed or not
     */
    record Result(
            ExecutionOutcome outcome,
            UpstreamClient.Response response,
            String reason,
            long retryAfterMs,
            boolean hasReachedServer) {
        static Result notExecuted(String reason, long retryAfterMs, boolean hasReachedServer) {
            return new Result(ExecutionOutcome.NOT_EXECUTED, null, reason, retryAfterMs, hasReachedServer);
        }

        static Result possiblyExecuted(String reason) {
            return new Result(ExecutionOutcome.POSSIBLY_EXECUTED, null, reason, 0, true);
        }
    }

    /** Gets the result of an attempt, once. */
    interface ResultListener {
        /**
         * {@code relayCompletion} is null unless the response is streamed; then it has to be called when that has
         * ended.
         */
        void onResult(Result result, RelayCompletion relayCompletion);
    }

    /** Ends an attempt whose response was streamed. */
    interface RelayCompletion {
        /** {@code isComplete}: whether the response was forwarded to its end. */
        void onRelayed(boolean isComplete);
    }

    /**
     * A request to be forwarded.
     *
     * @param headers as received; those that must not be forwarded are left out later
     * @param callerService the service it comes from; empty where it is unknown
     * @param deadlineMs on the event loop's clock
     */
    record ForwardedRequest(
            HttpString method,
            String requestTarget,
            HeaderMap headers,
            BodyStream.Body body,
            String attemptId,
            String callerService,
            long deadlineMs) {}

    /** Bodies up to this size are buffered, so that a response that breaks off can still be followed by a retry. */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;
    /** How long after the deadline the server's own 504 may arrive before the connection is closed. */
    private static final long DEADLINE_GRACE_MS = 40;
    /** Fraction of the server's keep-alive time within which an idle connection is reused. */
    private static final double IDLE_REUSE_FRACTION = 0.5;

    private final Clock clock;
    private final UpstreamClient upstream;
    private final UsageCounter usageCounter;
    private final Metrics metrics;
    private final long connectTimeoutMs;
    /** How long an idle connection to a server is reused, from the last Keep-Alive header received. */
    private long idleReuseMs;

    /**
     * @param usageCounter counts the executed requests of each tenant; null without usage reporting
     * @param idleReuseMs how long an idle connection to a server is reused as long as no server has announced a time
     */
    public ServerForwarder(
            Clock clock,
            UpstreamClient upstream,
            UsageCounter usageCounter,
            Metrics metrics,
            long connectTimeoutMs,
            long idleReuseMs) {
        this.metrics = metrics;
        this.clock = clock;
        this.upstream = upstream;
        this.usageCounter = usageCounter;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleReuseMs = idleReuseMs;
    }

    /** The request with these headers and the framing that fits its body. */
    static UpstreamClient.Request toUpstreamRequest(ForwardedRequest request, HeaderMap headers) {
        if (request.body.isComplete()) {
            if (request.body.prefix().length > 0 || request.headers.contains(Headers.CONTENT_LENGTH)) {
                headers.put(Headers.CONTENT_LENGTH, request.body.prefix().length);
            }
        } else if (request.headers.contains(Headers.CONTENT_LENGTH)) {
            headers.put(Headers.CONTENT_LENGTH, request.headers.getFirst(Headers.CONTENT_LENGTH));
        } else {
            headers.put(Headers.TRANSFER_ENCODING, "chunked");
        }
        return new UpstreamClient.Request(request.method, request.requestTarget, headers, request.body);
    }

    /** Forwards a request; the listener is called once, possibly before this returns. */
    void forward(
            ServerAdmission serverAdmission, ForwardedRequest request, Route route, int rank, ResultListener listener) {
        ForwardingAttempt attempt = new ForwardingAttempt(serverAdmission, request, listener);
        attempt.ticket = serverAdmission.admit(
                route.name(),
                rank,
                route.latencyTargetMs(),
                request.deadlineMs,
                attempt::onAdmitted,
                rejection -> listener.onResult(
                        Result.notExecuted(rejection.reason(), rejection.retryAfterMs(), false), null));
        if (attempt.isAdmittedImmediately) {
            attempt.send();
        }
    }

    private final class ForwardingAttempt implements UpstreamClient.ResponseListener {
        private final ServerAdmission serverAdmission;
        private final ForwardedRequest request;
        private final ResultListener listener;
        private ServerAdmission.AdmissionTicket ticket;
        private boolean isAdmittedImmediately;
        private UpstreamClient.Call upstreamCall;
        private Clock.Timer deadlineTimer;
        private String serverId;
        private boolean isFinished;
        private String tenant;
        private long usageWindow;

        ForwardingAttempt(ServerAdmission serverAdmission, ForwardedRequest request, ResultListener listener) {
            this.serverAdmission = serverAdmission;
            this.request = request;
            this.listener = listener;
        }

        void onAdmitted() {
            if (ticket == null) {
                isAdmittedImmediately = true;
            } else {
                send();
            }
        }

        private void send() {
            serverId = ticket.serverId();
            long remainingMs = request.deadlineMs - clock.nowMs();
            if (remainingMs <= 0) {
                ticket.release(false);
                listener.onResult(Result.notExecuted("late", 0, false), null);
                return;
            }
            HeaderMap headers = new HeaderMap();
            HeaderNames.copyEndToEnd(request.headers, headers);
            headers.put(HeaderNames.DEADLINE, remainingMs);
            headers.put(HeaderNames.TARGET_INSTANCE, serverId);
            if (!request.callerService.isEmpty()) {
                headers.put(HeaderNames.CALLER_SERVICE, request.callerService);
            }
            deadlineTimer = clock.schedule(remainingMs + DEADLINE_GRACE_MS, () -> {
                boolean wasSent = upstreamCall.isRequestSent();
                metrics.increment(Metric.SERVER_REQUESTS_CANCELLED);
                upstreamCall.cancel();
                finish(
                        wasSent ? Result.possiblyExecuted("deadline") : Result.notExecuted("late", 0, false),
                        false,
                        null);
            });
            tenant = usageCounter == null ? null : request.headers.getFirst(HeaderNames.TENANT);
            if (tenant != null) {
                usageWindow = usageCounter.recordRun(tenant);
            }
            metrics.increment(Metric.SERVER_REQUESTS);
            upstreamCall = upstream.send(
                    serverAdmission.address(),
                    new UpstreamClient.ConnectionOptions(connectTimeoutMs, idleReuseMs, MAX_BUFFERED_BYTES),
                    toUpstreamRequest(request, headers),
                    this);
        }

        private void finish(Result result, boolean hasSucceeded, RelayCompletion relayCompletion) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            deadlineTimer.cancel();
            if (tenant != null && result.outcome() == ExecutionOutcome.NOT_EXECUTED) {
                usageCounter.undoRun(tenant, usageWindow);
            }
            if (result.outcome() == ExecutionOutcome.POSSIBLY_EXECUTED) {
                ticket.recordOutcome(false);
            } else if (result.outcome() == ExecutionOutcome.ANSWERED
                    && result.response().statusCode() != 504) {
                ticket.recordOutcome(result.response().statusCode() < 500);
            }
            if (relayCompletion == null) {
                ticket.release(hasSucceeded);
            }
            listener.onResult(result, relayCompletion);
        }

        @Override
        public void onResponse(UpstreamClient.Response response) {
            int keepAliveSeconds = HeaderNames.keepAliveSeconds(response.headers());
            if (keepAliveSeconds > 0) {
                idleReuseMs = (long) (keepAliveSeconds * 1000 * IDLE_REUSE_FRACTION);
            }
            if (!Replies.namesAttempt(request.attemptId, response.headers())) {
                // It answers another request, whether it is a rejection or a success.
                upstreamCall.discardConnection();
                upstream.closeIdleConnections(serverAdmission.address());
                finish(Result.possiblyExecuted("response to another request"), false, null);
            } else if (response.statusCode() == 421) {
                upstreamCall.discardConnection();
                serverAdmission.markUnreachable(serverId);
                finish(Result.notExecuted("none", 0, false), false, null);
            } else if (response.headers().contains(HeaderNames.NOT_EXECUTED)) {
                if (!response.body().isComplete()) {
                    upstreamCall.finish(false);
                }
                finish(Result.notExecuted("rejected by the server", 0, true), false, null);
            } else if (response.body().isComplete()) {
                finish(
                        new Result(ExecutionOutcome.ANSWERED, response, null, 0, true),
                        response.statusCode() < 500,
                        null);
            } else {
                finish(new Result(ExecutionOutcome.ANSWERED, response, null, 0, true), true, isComplete -> {
                    upstreamCall.finish(isComplete);
                    ticket.release(false);
                });
            }
        }

        @Override
        public void onFailure(UpstreamClient.SendProgress progress, String cause) {
            if (progress == UpstreamClient.SendProgress.NOT_SENT) {
                serverAdmission.markUnreachable(serverId);
                finish(Result.notExecuted("none", 0, false), false, null);
            } else {
                finish(Result.possiblyExecuted(cause), false, null);
            }
        }
    }
}
