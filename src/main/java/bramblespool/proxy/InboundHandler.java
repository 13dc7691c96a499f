package bramblespool.proxy;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.EventLog;
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
    private final ExchangeMonitor monitor;
    private int inFlightRequests;

    /**
     * @param localService the service of this machine's server; null in a gateway
     * @param overdueMs how long after its deadline a request may be open
     */
    public InboundHandler(
            Clock clock,
            DataPlaneNode dataPlaneNode,
            ServerForwarder forwarder,
            String localService,
            long overdueMs,
            Metrics metrics,
            EventLog log) {
        this.clock = clock;
        this.dataPlaneNode = dataPlaneNode;
        this.forwarder = forwarder;
        this.localService = localService;
        this.metrics = metrics;
        this.monitor = new ExchangeMonitor(clock, ExchangeMonitor.Counters.OF_PROXIES, overdueMs, metrics, log);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        inFlightRequests++;
        exchange.addExchangeCompleteListener((done, next) -> {
            inFlightRequests--;
            next.proceed();
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange));
    }

    /** Requests that are not yet answered to the end. */
    public int inFlightRequests() {
        return inFlightRequests;
    }

    /** Answers every request that is still in progress: the process ends. */
    public void endForShutdown() {
        monitor.endForShutdown();
    }

    private void accept(HttpServerExchange exchange) {
        long remainingMs = Replies.positiveNumber(exchange, HeaderNames.DEADLINE);
        String framingFault = Replies.framingFault(exchange);
        if (framingFault != null || remainingMs <= 0) {
            Replies.sendTextAndClose(
                    exchange, 400, framingFault == null ? "bad " + HeaderNames.DEADLINE : framingFault);
            return;
        }
        route(exchange, clock.nowMs() + remainingMs);
    }

    private void route(HttpServerExchange exchange, long deadlineMs) {
        HeaderMap headers = exchange.getRequestHeaders();
        String versionMark = headers.getFirst(HeaderNames.VERSION_MARK);
        dataPlaneNode.onVersionMark(headers.getFirst(HeaderNames.SENDER_NODE), versionMark);
        String requestedService = headers.getFirst(HeaderNames.TARGET_SERVICE);
        String service = requestedService == null ? localService : requestedService;
        if (localService != null && !localService.equals(service)) {
            // This address belonged to another service before, and the caller is not up to date.
            reject(exchange, localService, RouteResolution.NO_SERVER);
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
            reject(exchange, service, resolution.rejectionReason());
            return;
        }
        if (dataPlaneNode.hasLeft()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
            reject(exchange, service, "leaving");
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
        String caller = exchange.getRequestHeaders().getFirst(HeaderNames.CALLER_SERVICE);
        ForwardedRequest request = new ForwardedRequest(
                exchange.getRequestMethod(),
                Replies.requestTarget(exchange),
                exchange.getRequestHeaders(),
                body,
                caller == null ? "" : caller,
                deadlineMs,
                new RequestCancellation(ClientClosePolicy.of(resolution.route()), metrics));
        InboundExchange inboundExchange = new InboundExchange(exchange, dataPlaneNode.admissions, service, request);
        monitor.begin(exchange, request, inboundExchange);
        inboundExchange.start(forwarder, resolution);
    }

    private void reject(HttpServerExchange exchange, String service, String reason) {
        InboundExchange.reject(
                exchange, dataPlaneNode.admissions, service, AttemptResult.notExecuted(reason, 0, false));
    }
}
