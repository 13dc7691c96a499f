package bramblespool.process;

import bramblespool.coordination.controller.ConfigurationReadResult;
import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.controller.EvacuationOutcome;
import bramblespool.protocol.Heartbeat;
import bramblespool.protocol.OperatorRequest;
import bramblespool.proxy.Replies;
import bramblespool.state.CompressedDocument;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.state.SqliteDurableStore;
import bramblespool.transport.BodyStream;
import bramblespool.transport.EventLoop;
import bramblespool.transport.HttpPeerTransport;
import bramblespool.transport.HttpPlatformClient;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
import com.google.gson.JsonObject;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Locale;

/**
 * A controller's process: storage, listeners, and the operator's requests (PROTOCOL-bramblespool.md, "The operator").
 * Confined to the event loop.
 */
public final class ControllerProcess implements ManagedProcess {
    private static final String CONFIGURATION_PATH = "/bramblespool/config/";
    private static final String EVACUATION_PATH = "/bramblespool/evacuation/";
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private final EventLoop eventLoop;
    private final ControllerNode controllerNode;
    private final Listeners listeners;
    private final Metrics metrics;
    private final SqliteDurableStore durableStore;
    private final long retryAfterMs;
    private final java.util.Set<String> zones;
    private int inFlightRequests;

    /**
     * Opens the store and the listeners and starts.
     *
     * @throws IOException where an address cannot be bound or the store cannot be opened
     */
    public ControllerProcess(Settings settings, EventLoop eventLoop, EventLog log) throws IOException {
        this.eventLoop = eventLoop;
        this.retryAfterMs = settings.bounds().quietPeriodMs() / 15;
        this.zones = settings.zones().keySet();
        metrics = new Metrics(log);
        listeners = new Listeners(eventLoop, log);
        UpstreamClient upstream = new UpstreamClient(eventLoop, listeners.bufferPool());
        HttpPeerTransport transport =
                new HttpPeerTransport(eventLoop, upstream, listeners.bufferPool(), IDLE_TIMEOUT_MS / 2, log);
        durableStore = new SqliteDurableStore(
                settings.dataDirectory(), eventLoop::post, eventLoop::nowMs, log, ControllerProcess::exitAfterDamage);
        HttpPlatformClient platformClient =
                settings.discovery() == Settings.Discovery.PLATFORM || settings.usageReporting() != null
                        ? new HttpPlatformClient(
                                eventLoop,
                                upstream,
                                settings.platformAddress(),
                                settings.bounds().drainMs() / 8)
                        : null;
        controllerNode = new ControllerNode(
                settings,
                durableStore,
                Long.toHexString(new SecureRandom().nextLong()),
                eventLoop,
                transport,
                platformClient,
                log);
        transport.setRequestHandler(controllerNode);
        var listenerOptions = Listeners.listenerOptions(
                64 << 10, HttpPeerTransport.MAX_MESSAGE_BYTES, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
        listeners.listen(settings.peerAddress(), transport, listenerOptions);
        listeners.listen(settings.controlAddress(), this::handleOperatorRequest, listenerOptions);
        controllerNode.start();
        log.log(Event.READY, "member", controllerNode.raft().localId());
    }

    /** With a damaged store this controller has to be restarted, as a new member. */
    private static void exitAfterDamage() {
        // In a thread of its own, because the shutdown hook waits for the event loop.
        new Thread(null, () -> System.exit(1), "end", 256 << 10).start();
    }

    private void handleOperatorRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        boolean isGet = exchange.getRequestMethod().equals(Methods.GET);
        boolean isPost = exchange.getRequestMethod().equals(Methods.POST);
        boolean isReplace = path.equals(CONFIGURATION_PATH + "replace");
        boolean isAmend = path.equals(CONFIGURATION_PATH + "amend");
        boolean isRead = path.equals(CONFIGURATION_PATH + "read");
        boolean isEvacuation =
                path.startsWith(EVACUATION_PATH) && (path.endsWith("/begin") || path.endsWith("/finish"));
        if (Heartbeat.heartbeatServerId(path) != null || Heartbeat.deregisteredServerId(path) != null) {
            // Only the server's own sidecar takes its heartbeats.
            sendUnavailable(exchange, "to be sent to the sidecar on the server's machine");
        } else if (!isReplace && !isAmend && !isRead && !isEvacuation) {
            Replies.sendJson(exchange, 404, errorJson("no such call"));
        } else if (isRead ? !isGet : !isPost) {
            Replies.sendJson(exchange, 405, errorJson("wrong method"));
        } else if (!controllerNode.raft().isLeader()) {
            String leader = controllerNode.raft().leaderControlAddress();
            if (leader == null) {
                sendUnavailable(exchange, "no leader is known");
            } else {
                exchange.getResponseHeaders().put(Headers.LOCATION, "http://" + leader + path);
                Replies.sendJson(exchange, 307, "{}");
            }
        } else {
            inFlightRequests++;
            exchange.addExchangeCompleteListener((done, next) -> {
                inFlightRequests--;
                if (done.isResponseComplete()) {
                    metrics.increment(Metric.OPERATOR_REQUESTS_ANSWERED);
                }
                next.proceed();
            });
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> BodyStream.read(
                            exchange.getRequestChannel(),
                            listeners.bufferPool(),
                            HttpPeerTransport.MAX_MESSAGE_BYTES / 4,
                            body -> handleBody(exchange, path, body),
                            e -> ProxyProcess.endUnreadable(exchange, e)));
        }
    }

    private void handleBody(HttpServerExchange exchange, String path, BodyStream.Body body) {
        metrics.increment(Metric.OPERATOR_REQUESTS_READ);
        if (!body.isComplete()) {
            exchange.setPersistent(false);
            Replies.sendJson(exchange, 413, errorJson("too large"));
        } else if (path.equals(CONFIGURATION_PATH + "read")) {
            controllerNode.readConfiguration(result -> {
                if (result instanceof ConfigurationReadResult.Current current) {
                    sendConfiguration(exchange, current.version());
                } else if (result instanceof ConfigurationReadResult.None) {
                    Replies.sendJson(exchange, 404, errorJson("there is no configuration yet"));
                } else {
                    sendUnavailable(exchange, "no quorum");
                }
            });
        } else if (path.startsWith(EVACUATION_PATH)) {
            String zoneAndAction = path.substring(EVACUATION_PATH.length());
            String zone = zoneAndAction.substring(0, Math.max(0, zoneAndAction.lastIndexOf('/')));
            if (!zones.contains(zone)) {
                Replies.sendJson(exchange, 404, errorJson("no such zone: " + zone));
                return;
            }
            controllerNode.evacuate(zone, zoneAndAction.endsWith("/begin"), outcome -> {
                if (outcome == EvacuationOutcome.COMMITTED) {
                    Replies.sendJson(exchange, 200, "{}");
                } else {
                    sendUnavailable(exchange, "leadership was lost");
                }
            });
        } else {
            changeConfiguration(exchange, path.endsWith("amend"), body.prefix());
        }
    }

    private void sendConfiguration(HttpServerExchange exchange, ReplicatedState.Version version) {
        try {
            Replies.sendJson(exchange, 200, CompressedDocument.decompress(version.compressedDocument()));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void changeConfiguration(HttpServerExchange exchange, boolean isAmendment, byte[] body) {
        OperatorRequest.ConfigurationChange change;
        try {
            change = OperatorRequest.parseChange(isAmendment, body);
        } catch (InvalidConfigurationException e) {
            Replies.sendJson(exchange, 400, errorJson(e.getMessage()));
            return;
        }
        controllerNode.submitChange(change, result -> {
            if (result.status() == 503) {
                sendUnavailable(exchange, result.message());
            } else if (result.status() == 200) {
                JsonObject json = new JsonObject();
                json.addProperty("epoch", result.epoch());
                Replies.sendJson(exchange, 200, json.toString());
            } else {
                Replies.sendJson(exchange, result.status(), errorJson(result.message()));
            }
        });
    }

    private void sendUnavailable(HttpServerExchange exchange, String reason) {
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000.0));
        Replies.sendJson(exchange, 503, errorJson(reason));
    }

    private static String errorJson(String message) {
        JsonObject json = new JsonObject();
        json.addProperty("error", message);
        return json.toString();
    }

    @Override
    public void exposeMetrics(String address) {
        MetricsEndpoint.open(listeners, address, metrics);
    }

    @Override
    public void updateSettings(Settings newSettings) {
        controllerNode.updateSettings(newSettings);
    }

    @Override
    public void stop(long graceMs, Runnable onStopped) {
        controllerNode.leave();
        long deadlineMs = eventLoop.nowMs() + graceMs / 2;
        eventLoop.schedule(graceMs / 50, () -> awaitInFlightRequests(deadlineMs, onStopped));
    }

    private void awaitInFlightRequests(long deadlineMs, Runnable onStopped) {
        if (inFlightRequests == 0 && controllerNode.hasLeft() || eventLoop.nowMs() >= deadlineMs) {
            controllerNode.stop();
            listeners.close();
            durableStore.close();
            onStopped.run();
        } else {
            eventLoop.schedule(10, () -> awaitInFlightRequests(deadlineMs, onStopped));
        }
    }
}
