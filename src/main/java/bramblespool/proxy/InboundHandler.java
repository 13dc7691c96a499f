package bramblespool.proxy;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.ExecutionOutcome;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.Route;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * Requests from other proxies: the version mark selects the routing configuration, the server's admission decides, and
 * the {@link ServerForwarder} sends the request. Confined to the event loop.
 */
public final class InboundHandler implements HttpHandler {
    private final Clock clock;
    private final ShadowCommitParticipant shadowCommit;
    private final ServerAdmissions serverAdmissions;
    private final ServerForwarder forwarder;
    private final ByteBufferPool bufferPool;
    /** The service of this machine's server, or null in a gateway, where callers name the service. */
    private final String localService;

    private final BiConsumer<String, String> onVersionMark;
    private final BooleanSupplier hasLeft;
    private final Metrics metrics;

    /**
     * @param localService the service of this machine's server; null in a gateway
     * @param onVersionMark gets the caller's node and its version mark, each possibly null, for each request
     * @param hasLeft whether this proxy has announced that it leaves
     */
    public InboundHandler(
            Clock clock,
            ShadowCommitParticipant shadowCommit,
            ServerAdmissions serverAdmissions,
            ServerForwarder forwarder,
            ByteBufferPool bufferPool,
            String localService,
            BiConsumer<String, String> onVersionMark,
            BooleanSupplier hasLeft,
            Metrics metrics) {
        this.hasLeft = hasLeft;
        this.metrics = metrics;
        this.clock = clock;
        this.shadowCommit = shadowCommit;
        this.serverAdmissions = serverAdmissions;
        this.forwarder = forwarder;
        this.bufferPool = bufferPool;
        this.localService = localService;
        this.onVersionMark = onVersionMark;
    }

    /**
     * The route by which a request may be forwarded to a server of the service, and the server's admission.
     *
     * @param rejectionReason why it may not; null where it may
     */
    record RouteResolution(Route route, int rank, ServerAdmission serverAdmission, String rejectionReason) {
        private static RouteResolution rejected(String reason) {
            return new RouteResolution(null, 0, null, reason);
        }

        static RouteResolution resolve(
                ShadowCommitParticipant shadowCommit,
                ServerAdmissions serverAdmissions,
                String versionMark,
                HeaderMap headers,
                String path,
                String service) {
            if (service == null) {
                return rejected("none");
            }
            ShadowCommitParticipant.ResolvedVersion choice = shadowCommit.resolve(versionMark);
            if (!choice.isKnown()) {
                return rejected("mark");
            }
            if (choice.isShadow()) {
                return rejected("test");
            }
            Route route = choice.configuration().route(headers.getFirst(Headers.HOST), path);
            if (route == null || !route.routesTo(service)) {
                return rejected("route");
            }
            ServerAdmission serverAdmission = serverAdmissions.leastLoaded(service);
            int rank = choice.configuration().priority(route, headers.getFirst(HeaderNames.TENANT));
            return serverAdmission == null ? rejected("none") : new RouteResolution(route, rank, serverAdmission, null);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange));
    }

    private void accept(HttpServerExchange exchange) {
        long remainingMs = Replies.positiveNumber(exchange, HeaderNames.DEADLINE);
        String framingFault = Replies.framingFault(exchange);
        if (framingFault != null || remainingMs <= 0) {
            Replies.sendTextAndClose(
                    exchange, 400, framingFault == null ? "bad " + HeaderNames.DEADLINE : framingFault);
            return;
        }
        long deadlineMs = clock.nowMs() + remainingMs;
        String versionMark = exchange.getRequestHeaders().getFirst(HeaderNames.VERSION_MARK);
        onVersionMark.accept(exchange.getRequestHeaders().getFirst(HeaderNames.SENDER_NODE), versionMark);
        String requestedService = exchange.getRequestHeaders().getFirst(HeaderNames.TARGET_SERVICE);
        String service = requestedService == null ? localService : requestedService;
        if (localService != null && !localService.equals(service)) {
            // This address belonged to another service before, and the caller is not up to date.
            reject(exchange, localService, "none", 0, false);
            return;
        }
        RouteResolution resolution = RouteResolution.resolve(
                shadowCommit,
                serverAdmissions,
                versionMark,
                exchange.getRequestHeaders(),
                Replies.requestPath(exchange),
                service);
        if (resolution.serverAdmission == null) {
            reject(exchange, service, resolution.rejectionReason, 0, false);
            return;
        }
        if (hasLeft.getAsBoolean()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            reject(exchange, service, "leaving", 0, false);
            return;
        }
        BodyStream.read(
                exchange.getRequestChannel(),
                bufferPool,
                ServerForwarder.MAX_BUFFERED_BYTES,
                body -> {
                    countExchange(exchange);
                    ServerForwarder.ForwardedRequest request = new ServerForwarder.ForwardedRequest(
                            exchange.getRequestMethod(),
                            Replies.requestTarget(exchange),
                            exchange.getRequestHeaders(),
                            body,
                            attemptId(exchange),
                            callerService(exchange),
                            deadlineMs);
                    forwarder.forward(
                            resolution.serverAdmission,
                            request,
                            resolution.route,
                            resolution.rank,
                            (result, relayCompletion) -> reply(exchange, service, result, relayCompletion));
                },
                e -> exchange.endExchange());
    }

    private void countExchange(HttpServerExchange exchange) {
        metrics.increment(Metric.FORWARDED_READ);
        exchange.addExchangeCompleteListener((done, next) -> {
            metrics.increment(done.isResponseComplete() ? Metric.FORWARDED_ANSWERED : Metric.FORWARDED_CLIENT_CLOSED);
            next.proceed();
        });
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
            ServerForwarder.Result result,
            ServerForwarder.RelayCompletion relayCompletion) {
        if (result.outcome() == ExecutionOutcome.ANSWERED) {
            exchange.getResponseHeaders()
                    .put(HeaderNames.EXECUTION_OUTCOME, result.outcome().code)
                    .put(HeaderNames.SERVER_LOAD, serverAdmissions.load(service));
            Replies.relay(exchange, result.response(), bufferPool, relayCompletion);
        } else if (result.outcome() == ExecutionOutcome.NOT_EXECUTED) {
            reject(exchange, service, result.reason(), result.retryAfterMs(), result.hasReachedServer());
        } else {
            exchange.getResponseHeaders()
                    .put(HeaderNames.ATTEMPT_ID, attemptId(exchange))
                    .put(HeaderNames.EXECUTION_OUTCOME, result.outcome().code)
                    .put(HeaderNames.SERVER_LOAD, serverAdmissions.load(service))
                    .put(HeaderNames.REASON, result.reason().replaceAll("[^ -~]", "?"));
            Replies.sendText(exchange, 502, "");
        }
    }

    private void reject(
            HttpServerExchange exchange, String service, String reason, long retryAfterMs, boolean hasReachedServer) {
        exchange.getResponseHeaders()
                .put(HeaderNames.ATTEMPT_ID, attemptId(exchange))
                .put(HeaderNames.EXECUTION_OUTCOME, ExecutionOutcome.NOT_EXECUTED.code)
                .put(HeaderNames.SERVER_LOAD, serverAdmissions.load(service))
                .put(HeaderNames.REASON, hasReachedServer ? reason + "!" : reason);
        Replies.sendUnavailable(exchange, retryAfterMs, "");
    }
}
