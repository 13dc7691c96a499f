package bramblespool.proxy;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/**
 * Requests from other proxies: the version mark selects the routing configuration, the server's admission decides, and
 * the {@link ServerForwarder} sends the request. Confined to the event loop.
 */
public final class InboundHandler implements HttpHandler {
    private final Clock clock;
    private final DataPlaneNode dataPlaneNode;
    private final ServerForwarder forwarder;
    /** The service of this machine's server, or null in a gateway, where callers name the service. */
    private final String localService;

    private final Metrics metrics;

    /** {@code localService}: the service of this machine's server; null in a gateway. */
    public InboundHandler(
            Clock clock, DataPlaneNode dataPlaneNode, ServerForwarder forwarder, String localService, Metrics metrics) {
        this.clock = clock;
        this.dataPlaneNode = dataPlaneNode;
        this.forwarder = forwarder;
        this.localService = localService;
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange));
    }

    private void accept(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        long remainingMs = Replies.positiveNumber(exchange, HeaderNames.DEADLINE);
        String framingFault = Replies.framingFault(exchange);
        if (framingFault != null || remainingMs <= 0) {
            Replies.sendTextAndClose(
                    exchange, 400, framingFault == null ? "bad " + HeaderNames.DEADLINE : framingFault);
            return;
        }
        long deadlineMs = clock.nowMs() + remainingMs;
        String versionMark = headers.getFirst(HeaderNames.VERSION_MARK);
        dataPlaneNode.onVersionMark(headers.getFirst(HeaderNames.SENDER_NODE), versionMark);
        String requestedService = headers.getFirst(HeaderNames.TARGET_SERVICE);
        String service = requestedService == null ? localService : requestedService;
        if (localService != null && !localService.equals(service)) {
            // This address belonged to another service before, and the caller is not up to date.
            reject(exchange, localService, AttemptResult.notExecuted(RouteResolution.NO_SERVER, 0, false));
            return;
        }
        RouteResolution resolution = RouteResolution.resolve(
                dataPlaneNode.shadowCommit,
                dataPlaneNode.admissions,
                versionMark,
                headers,
                Replies.requestPath(exchange),
                service);
        if (resolution.isRejected()) {
            reject(exchange, service, AttemptResult.notExecuted(resolution.rejectionReason(), 0, false));
            return;
        }
        if (dataPlaneNode.hasLeft()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            reject(exchange, service, AttemptResult.notExecuted("leaving", 0, false));
            return;
        }
        BodyStream.read(
                exchange.getRequestChannel(),
                exchange.getConnection().getByteBufferPool(),
                ServerForwarder.MAX_BUFFERED_BYTES,
                body -> forward(exchange, resolution, service, body, deadlineMs),
                e -> exchange.endExchange());
    }

    private void forward(
            HttpServerExchange exchange,
            RouteResolution resolution,
            String service,
            BodyStream.Body body,
            long deadlineMs) {
        metrics.increment(Metric.FORWARDED_READ);
        exchange.addExchangeCompleteListener((done, next) -> {
            metrics.increment(done.isResponseComplete() ? Metric.FORWARDED_ANSWERED : Metric.FORWARDED_CLIENT_CLOSED);
            next.proceed();
        });
        ForwardedRequest request = new ForwardedRequest(
                exchange.getRequestMethod(),
                Replies.requestTarget(exchange),
                exchange.getRequestHeaders(),
                body,
                attemptId(exchange),
                callerService(exchange),
                deadlineMs);
        forwarder.forward(
                resolution, request, (result, relayCompletion) -> reply(exchange, service, result, relayCompletion));
    }

    /** Every response names the attempt it answers, so that it cannot be mistaken for an answer to another one. */
    private static String attemptId(HttpServerExchange exchange) {
        return exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT_ID);
    }

    private static String callerService(HttpServerExchange exchange) {
        String caller = exchange.getRequestHeaders().getFirst(HeaderNames.CALLER_SERVICE);
        return caller == null ? "" : caller;
    }

    private void reply(
            HttpServerExchange exchange,
            String service,
            AttemptResult result,
            AttemptResult.RelayCompletion relayCompletion) {
        if (result.isAnswered()) {
            exchange.getResponseHeaders()
                    .put(HeaderNames.EXECUTION_OUTCOME, result.outcome().code)
                    .put(HeaderNames.SERVER_LOAD, dataPlaneNode.admissions.load(service));
            Replies.relay(exchange, result.response(), relayCompletion);
        } else if (result.outcome() == ExecutionOutcome.NOT_EXECUTED) {
            reject(exchange, service, result);
        } else {
            putOutcome(exchange, service, result.outcome(), result.reason().replaceAll("[^ -~]", "?"));
            Replies.sendText(exchange, 502, "");
        }
    }

    private void reject(HttpServerExchange exchange, String service, AttemptResult result) {
        putOutcome(
                exchange,
                service,
                result.outcome(),
                result.hasReachedServer() ? result.reason() + PeerAttempt.REACHED_SERVER_SUFFIX : result.reason());
        Replies.sendUnavailable(exchange, result.retryAfterMs(), "");
    }

    private void putOutcome(HttpServerExchange exchange, String service, ExecutionOutcome outcome, String reason) {
        exchange.getResponseHeaders()
                .put(HeaderNames.ATTEMPT_ID, attemptId(exchange))
                .put(HeaderNames.EXECUTION_OUTCOME, outcome.code)
                .put(HeaderNames.SERVER_LOAD, dataPlaneNode.admissions.load(service))
                .put(HeaderNames.REASON, reason);
    }
}
