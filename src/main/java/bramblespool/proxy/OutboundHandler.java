package bramblespool.proxy;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.state.EventLog;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/**
 * Takes the requests of clients and of this machine's server: refuses what cannot be forwarded and hands the rest to a
 * {@link ProxiedExchange} each. Source: PROTOCOL-bramblespool.md, "Requests" and "Answers". Confined to the event loop.
 */
public final class OutboundHandler implements HttpHandler {
    private final DataPlaneNode dataPlaneNode;
    private final RequestResolver requestResolver;
    private final ProxiedExchange.Services services;
    private final ExchangeMonitor monitor;
    private final Clock clock;
    private final Metrics metrics;
    private boolean isStopping;
    private long acceptAllUntilMs;
    private long answerUntilMs;
    private int inFlightRequests;

    /** {@code overdueMs}: how long after its deadline a request may be open. */
    public OutboundHandler(
            Clock clock,
            DataPlaneNode dataPlaneNode,
            ServerForwarder serverForwarder,
            PeerForwarder peerForwarder,
            long overdueMs,
            Metrics metrics,
            EventLog log) {
        this.clock = clock;
        this.metrics = metrics;
        this.dataPlaneNode = dataPlaneNode;
        this.monitor = new ExchangeMonitor(clock, ExchangeMonitor.Counters.OF_CLIENTS, overdueMs, metrics, log);
        this.requestResolver = new RequestResolver(clock, peerForwarder.connectionOptions.connectTimeoutMs(), log);
        this.services =
                new ProxiedExchange.Services(clock, dataPlaneNode, serverForwarder, peerForwarder, metrics, log);
    }

    /**
     * From now on connections are closed after the response. Every request is still accepted until {@code
     * acceptAllUntilMs}; after that, only one whose deadline is not behind {@code answerUntilMs}, at which those left
     * are ended.
     */
    public void beginShutdown(long acceptAllUntilMs, long answerUntilMs) {
        isStopping = true;
        this.acceptAllUntilMs = acceptAllUntilMs;
        this.answerUntilMs = answerUntilMs;
    }

    /** Answers every request that is still in progress: the process ends. */
    public void endForShutdown() {
        monitor.endForShutdown();
    }

    /** Requests that are not yet answered. */
    public int inFlightRequests() {
        return inFlightRequests;
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

    private void accept(HttpServerExchange exchange) {
        if (isStopping) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        RequestResolver.Resolution resolution =
                requestResolver.resolve(exchange, dataPlaneNode.shadowCommit.realConfiguration());
        if (resolution instanceof RequestResolver.Refusal refusal) {
            refusal.send(exchange);
            return;
        }
        RequestResolver.ResolvedRequest resolved = (RequestResolver.ResolvedRequest) resolution;
        if (isTooLateToStart(resolved)) {
            metrics.increment(Metric.REQUESTS_REFUSED_AT_SHUTDOWN);
            Replies.sendUnavailable(exchange, RequestResolver.DEFAULT_RETRY_AFTER_MS, "shutting down");
            return;
        }
        dataPlaneNode.retryBudget.onRequest(resolved.service());
        String versionMark = dataPlaneNode.shadowCommit.currentMark();
        BodyStream.read(
                exchange.getRequestChannel(),
                exchange.getConnection().getByteBufferPool(),
                ServerForwarder.MAX_BUFFERED_BYTES,
                body -> forward(exchange, resolved, versionMark, body),
                e -> exchange.endExchange());
    }

    /** Whether this process may end before the request does. */
    private boolean isTooLateToStart(RequestResolver.ResolvedRequest resolved) {
        return isStopping && clock.nowMs() >= acceptAllUntilMs && resolved.deadlineMs() > answerUntilMs;
    }

    private void forward(
            HttpServerExchange exchange,
            RequestResolver.ResolvedRequest resolved,
            String versionMark,
            BodyStream.Body body) {
        ProxiedExchange proxiedExchange = new ProxiedExchange(services, exchange, resolved, versionMark, body);
        monitor.begin(exchange, proxiedExchange.request(), proxiedExchange);
        proxiedExchange.start();
    }
}
