package bramblespool.process;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.proxy.IdleConnections;
import bramblespool.proxy.InboundHandler;
import bramblespool.proxy.OutboundHandler;
import bramblespool.proxy.PeerForwarder;
import bramblespool.proxy.ServerForwarder;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Metrics;
import bramblespool.state.RequestLimits;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.EventLoop;
import bramblespool.transport.HttpPeerTransport;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import org.xnio.OptionMap;

/** What sidecar and gateway have in common: listeners, wiring, readiness and shutdown. Confined to the event loop. */
abstract class ProxyProcess implements ManagedProcess {
    private static final String READINESS_PATH = "/bramblespool/readiness";
    /** Idle connections between processes are kept long enough to be reused in most cases. */
    private static final int PEER_IDLE_TIMEOUT_MS = 60_000;

    private static final long STOP_POLL_INTERVAL_MS = 10;
    private static final long MAX_CLIENT_HEADER_BYTES = 1 << 20;
    /** A connection without any request is closed after this multiple of the idle time-out. */
    private static final int SILENT_CONNECTION_FACTOR = 8;

    final EventLoop eventLoop;
    final EventLog log;
    final Settings settings;
    final DataPlaneNode dataPlaneNode;
    final Listeners listeners;
    private final Metrics metrics;
    final UpstreamClient upstream;
    private final OutboundHandler outboundHandler;
    private final InboundHandler inboundHandler;
    private final HttpOpenListener clientListener;
    private final IdleConnections<ServerConnection> idleConnections;
    private RequestLimits limits = RequestLimits.DEFAULT;
    private boolean isReadyLogged;

    /** {@code localService}: the service of this machine's server; null in a gateway. */
    ProxyProcess(Settings settings, String localService, EventLoop eventLoop, EventLog log) throws IOException {
        this.eventLoop = eventLoop;
        this.log = log;
        this.settings = settings;
        Settings.Bounds bounds = settings.bounds();
        long connectTimeoutMs = bounds.quietPeriodMs() / 12;
        metrics = new Metrics(log);
        listeners = new Listeners(eventLoop, log);
        upstream = new UpstreamClient(eventLoop, listeners.bufferPool());
        HttpPeerTransport transport =
                new HttpPeerTransport(eventLoop, upstream, listeners.bufferPool(), PEER_IDLE_TIMEOUT_MS / 2, log);
        dataPlaneNode = new DataPlaneNode(settings, eventLoop, transport, log);
        transport.setRequestHandler(dataPlaneNode);
        ServerForwarder forwarder = new ServerForwarder(
                eventLoop, upstream, dataPlaneNode.usageCounter, metrics, connectTimeoutMs, bounds.quietPeriodMs());
        long overdueMs = bounds.quietPeriodMs() / 3;
        PeerForwarder peerForwarder = new PeerForwarder(
                eventLoop,
                dataPlaneNode.endpointDirectory,
                upstream,
                new UpstreamClient.ConnectionOptions(
                        connectTimeoutMs, PEER_IDLE_TIMEOUT_MS / 2, ServerForwarder.MAX_BUFFERED_BYTES),
                new PeerForwarder.Sender(settings.node(), localService == null ? "" : localService),
                proxyObserver(dataPlaneNode),
                metrics);
        outboundHandler =
                new OutboundHandler(eventLoop, dataPlaneNode, forwarder, peerForwarder, overdueMs, metrics, log);
        inboundHandler = new InboundHandler(eventLoop, dataPlaneNode, forwarder, localService, overdueMs, metrics, log);
        listeners.listen(settings.peerAddress(), transport, peerListenerOptions());
        listeners.listen(
                settings.inboundAddress(),
                inboundHandler,
                Listeners.listenerOptions(MAX_CLIENT_HEADER_BYTES, -1, PEER_IDLE_TIMEOUT_MS, PEER_IDLE_TIMEOUT_MS));
        listeners.listen(settings.readinessAddress(), this::handleReadiness, peerListenerOptions());
        idleConnections = new IdleConnections<>(eventLoop, limits.idleTimeoutMs());
        clientListener =
                listeners.listen(settings.outboundAddress(), this::handleClientRequest, clientListenerOptions());
    }

    private static PeerForwarder.ProxyObserver proxyObserver(DataPlaneNode dataPlaneNode) {
        return new PeerForwarder.ProxyObserver() {
            @Override
            public void onProxySilent(EndpointDirectory.Proxy proxy) {
                dataPlaneNode.ping(proxy);
            }

            @Override
            public void onVersionMismatch() {
                dataPlaneNode.onVersionMismatch();
            }
        };
    }

    /** Starts the node; to be called once all listeners are open. */
    final void startServing() {
        dataPlaneNode.start();
        eventLoop.scheduleRepeatedly(settings.bounds().quietPeriodMs() / 30, this::refreshConfiguration);
        eventLoop.scheduleRepeatedly(settings.bounds().quietPeriodMs() / 10, idleConnections::closeExpired);
    }

    static OptionMap peerListenerOptions() {
        return Listeners.listenerOptions(
                MAX_CLIENT_HEADER_BYTES,
                HttpPeerTransport.MAX_MESSAGE_BYTES,
                PEER_IDLE_TIMEOUT_MS,
                PEER_IDLE_TIMEOUT_MS);
    }

    private OptionMap clientListenerOptions() {
        return Listeners.listenerOptions(
                limits.headerBytes(), limits.bodyBytes(), (int) limits.headerReadTimeoutMs(), (int)
                        Math.min(Integer.MAX_VALUE, limits.idleTimeoutMs() * SILENT_CONNECTION_FACTOR));
    }

    /**
     * Handles a client's request. The limits of its body, where its length is declared, and of the idle period after it
     * are those in force now, whenever the connection was opened.
     */
    private void handleClientRequest(HttpServerExchange exchange) throws Exception {
        RoutingConfiguration configuration = dataPlaneNode.shadowCommit.realConfiguration();
        if (configuration != null) {
            exchange.setMaxEntitySize(configuration.limits().bodyBytes());
            idleConnections.setIdleLimit(configuration.limits().idleTimeoutMs());
        }
        // The status if its body breaks off; every other end sets its own.
        exchange.setStatusCode(StatusCodes.BAD_REQUEST);
        ServerConnection connection = exchange.getConnection();
        idleConnections.onRequestStarted(connection);
        exchange.addExchangeCompleteListener((done, next) -> {
            idleConnections.onRequestEnded(connection);
            next.proceed();
        });
        outboundHandler.handleRequest(exchange);
    }

    /** Ends an exchange whose body broke off or exceeded the connection's limit; nothing was executed. */
    static void endUnreadable(HttpServerExchange exchange, IOException failure) {
        exchange.setStatusCode(
                failure instanceof RequestTooBigException
                        ? StatusCodes.REQUEST_ENTITY_TOO_LARGE
                        : StatusCodes.BAD_REQUEST);
        exchange.endExchange();
    }

    /**
     * Takes the limits of the configuration in force; those of heads and of bodies without a length apply to
     * connections that are opened from now on.
     */
    private void refreshConfiguration() {
        RoutingConfiguration configuration = dataPlaneNode.shadowCommit.realConfiguration();
        if (configuration != null && !configuration.limits().equals(limits)) {
            limits = configuration.limits();
            clientListener.setUndertowOptions(clientListenerOptions());
            idleConnections.setIdleLimit(limits.idleTimeoutMs());
        }
        if (configuration != null) {
            onConfiguration(configuration);
        }
        if (dataPlaneNode.isReady() && !isReadyLogged) {
            isReadyLogged = true;
            log.log(Event.READY, "epoch", configuration.epoch());
        }
    }

    /** Called periodically with the version in force. */
    void onConfiguration(RoutingConfiguration configuration) {}

    private void handleReadiness(HttpServerExchange exchange) {
        if (!exchange.getRequestURI().equals(READINESS_PATH)) {
            exchange.setStatusCode(404);
        } else if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.setStatusCode(405);
        } else {
            exchange.setStatusCode(dataPlaneNode.isReady() ? 200 : 503);
        }
    }

    @Override
    public void exposeMetrics(String address) {
        MetricsEndpoint.open(listeners, address, metrics);
    }

    @Override
    public void updateSettings(Settings newSettings) {
        dataPlaneNode.updateSettings(newSettings);
    }

    /**
     * Not ready at once, but still serving for a part of the time. Then the listeners are closed, and the process ends
     * as soon as everything that it has read is answered, at the latest when the time is over.
     */
    @Override
    public void stop(long graceMs, Runnable onStopped) {
        ShutdownSchedule schedule = ShutdownSchedule.from(eventLoop.nowMs(), graceMs);
        outboundHandler.beginShutdown(schedule.serveUntilMs(), schedule.answerUntilMs());
        long serveMs = schedule.serveUntilMs() - eventLoop.nowMs();
        dataPlaneNode.shutDownGracefully(serveMs);
        eventLoop.schedule(serveMs, () -> {
            listeners.close();
            awaitInFlightRequests(schedule, onStopped);
        });
    }

    private void awaitInFlightRequests(ShutdownSchedule schedule, Runnable onStopped) {
        if (!hasWork()) {
            end(onStopped);
        } else if (eventLoop.nowMs() >= schedule.answerUntilMs()) {
            outboundHandler.endForShutdown();
            inboundHandler.endForShutdown();
            awaitLastResponses(schedule, onStopped);
        } else {
            eventLoop.schedule(STOP_POLL_INTERVAL_MS, () -> awaitInFlightRequests(schedule, onStopped));
        }
    }

    private boolean hasWork() {
        return outboundHandler.inFlightRequests() > 0
                || inboundHandler.inFlightRequests() > 0
                || dataPlaneNode.admissions.load() > 0
                || dataPlaneNode.hasUncopiedAnswers();
    }

    private void awaitLastResponses(ShutdownSchedule schedule, Runnable onStopped) {
        boolean isOver = eventLoop.nowMs() >= schedule.endMs() - STOP_POLL_INTERVAL_MS;
        if (isOver || outboundHandler.inFlightRequests() == 0 && inboundHandler.inFlightRequests() == 0) {
            end(onStopped);
        } else {
            eventLoop.schedule(STOP_POLL_INTERVAL_MS, () -> awaitLastResponses(schedule, onStopped));
        }
    }

    private void end(Runnable onStopped) {
        // Closed so that no further request is read and left without a response.
        idleConnections.closeIdle();
        onStopped.run();
    }
}
