package bramblespool.process;

import bramblespool.protocol.HeaderNames;
import bramblespool.protocol.Heartbeat;
import bramblespool.proxy.Replies;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Service;
import bramblespool.state.Settings;
import bramblespool.transport.BodyStream;
import bramblespool.transport.EventLoop;
import bramblespool.transport.UpstreamClient;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;

/**
 * The proxy beside a server: admits all requests to it and forwards those of the server and of local clients. Also
 * takes the server's heartbeats (PROTOCOL-bramblespool.md, "Servers"). Confined to the event loop.
 */
public final class SidecarProcess extends ProxyProcess {
    private static final int MAX_HEARTBEAT_BYTES = 4096;
    /** Assumed capacity of a server as long as none is known for its service. */
    private static final int INITIAL_CAPACITY = 2;

    private boolean hasCheckedHealth;

    /**
     * Opens the listeners and starts.
     *
     * @throws IOException where an address cannot be bound
     */
    public SidecarProcess(Settings settings, EventLoop eventLoop, EventLog log) throws IOException {
        super(settings, settings.serviceName(), eventLoop, log);
        listeners.listen(settings.controlAddress(), this::handleServerRequest, peerListenerOptions());
        startServing();
    }

    @Override
    void onConfiguration(RoutingConfiguration configuration) {
        if (!hasCheckedHealth) {
            hasCheckedHealth = true;
            if (dataPlaneNode.serverAdmission.serverId() == null && !settings.isBootstrap()) {
                checkHealth(configuration);
            }
        }
    }

    /**
     * After a restart of this process the server may be running, and its next heartbeat may take a while: checks it
     * once.
     */
    private void checkHealth(RoutingConfiguration configuration) {
        Service service = configuration.service(settings.serviceName());
        if (service == null) {
            return;
        }
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, settings.applicationAddress());
        long timeoutMs = settings.bounds().quietPeriodMs() / 6;
        UpstreamClient.Call[] call = new UpstreamClient.Call[1];
        var timer = eventLoop.schedule(timeoutMs, () -> call[0].cancel());
        call[0] = upstream.send(
                settings.applicationAddress(),
                new UpstreamClient.ConnectionOptions(timeoutMs, timeoutMs, MAX_HEARTBEAT_BYTES),
                new UpstreamClient.Request(Methods.GET, service.probePath(), headers, BodyStream.Body.EMPTY),
                new UpstreamClient.ResponseListener() {
                    @Override
                    public void onResponse(UpstreamClient.Response response) {
                        timer.cancel();
                        String id = response.headers().getFirst(HeaderNames.INSTANCE_ID);
                        if (response.statusCode() == 200 && id != null) {
                            dataPlaneNode.serverAdmission.onHealthCheck(
                                    id,
                                    dataPlaneNode.endpointDirectory.smallestCapacity(
                                            settings.serviceName(), INITIAL_CAPACITY),
                                    Math.max(
                                            0,
                                            Replies.positiveNumber(
                                                    response.headers().getFirst(HeaderNames.WARMUP))));
                        }
                    }

                    @Override
                    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
                        timer.cancel();
                    }
                });
    }

    private void handleServerRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        String heartbeatServerId = Heartbeat.heartbeatServerId(path);
        String deregisteredServerId = Heartbeat.deregisteredServerId(path);
        if (heartbeatServerId == null && deregisteredServerId == null) {
            exchange.setStatusCode(404);
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.setStatusCode(405);
        } else if (deregisteredServerId != null) {
            dataPlaneNode.serverAdmission.onServerLeft(deregisteredServerId);
            Replies.sendJson(exchange, 200, "{}");
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> BodyStream.read(
                            exchange.getRequestChannel(),
                            listeners.bufferPool(),
                            MAX_HEARTBEAT_BYTES,
                            body -> handleHeartbeat(exchange, heartbeatServerId, body),
                            e -> ProxyProcess.endUnreadable(exchange, e)));
        }
    }

    private void handleHeartbeat(HttpServerExchange exchange, String serverId, BodyStream.Body body) {
        if (!body.isComplete()) {
            Replies.sendTextAndClose(exchange, 413, "a heartbeat has at most " + MAX_HEARTBEAT_BYTES + " bytes");
            return;
        }
        String rejection;
        try {
            rejection = dataPlaneNode.onHeartbeat(Heartbeat.parse(serverId, body.prefix()));
        } catch (InvalidConfigurationException e) {
            rejection = e.getMessage();
        }
        if (rejection != null) {
            log.logOnChange(Event.HEARTBEAT_REJECTED, rejection, "server", serverId, "cause", rejection);
        }
        Replies.sendJson(
                exchange, rejection == null ? 200 : 400, rejection == null ? "{}" : Replies.errorJson(rejection));
    }
}
