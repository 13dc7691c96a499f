package bramblespool.process;

import bramblespool.coordination.controller.ConfigurationReadResult;
import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.controller.EvacuationOutcome;
import bramblespool.protocol.Heartbeat;
import bramblespool.protocol.OperatorRequest;
import bramblespool.proxy.Replies;
import bramblespool.state.CompressedDocument;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.BodyStream;
import bramblespool.transport.Clock;
import bramblespool.transport.HttpPeerTransport;
import com.google.gson.JsonObject;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The operator's calls (PROTOCOL-bramblespool.md, "The operator"). Every call that was read gets one response: from the
 * leader when it is decided, and 503 where that takes longer than {@code ack} or the process ends before. Confined to
 * the event loop.
 */
final class OperatorEndpoint implements HttpHandler {
    private static final String CONFIGURATION_PATH = "/bramblespool/config/";
    private static final String EVACUATION_PATH = "/bramblespool/evacuation/";
    private static final int MAX_BODY_BYTES = HttpPeerTransport.MAX_MESSAGE_BYTES / 4;
    /** A caller should try again after {@code quiet} divided by this. */
    private static final int RETRY_AFTER_DIVISOR = 15;

    private final ControllerNode controllerNode;
    private final Clock clock;
    private final Metrics metrics;
    private final Set<String> zones;
    private final long retryAfterMs;
    private final long answerTimeoutMs;
    private final Set<OperatorExchange> inFlight = new LinkedHashSet<>();

    OperatorEndpoint(Settings settings, ControllerNode controllerNode, Clock clock, Metrics metrics) {
        this.controllerNode = controllerNode;
        this.clock = clock;
        this.metrics = metrics;
        this.zones = settings.zones().keySet();
        this.retryAfterMs = settings.bounds().quietPeriodMs() / RETRY_AFTER_DIVISOR;
        this.answerTimeoutMs = settings.bounds().acknowledgementMs();
    }

    /** Calls that are not yet answered. */
    int inFlightRequests() {
        return inFlight.size();
    }

    /** Answers every call that has no answer yet, because the process ends; its outcome is unknown. */
    void endForShutdown() {
        new ArrayList<>(inFlight).forEach(exchange -> exchange.sendUnavailable("shutting down"));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        if (Heartbeat.heartbeatServerId(path) != null || Heartbeat.deregisteredServerId(path) != null) {
            // Only the server's own sidecar takes its heartbeats.
            Replies.sendRetryLater(exchange, retryAfterMs, "to be sent to the sidecar on the server's machine");
            return;
        }
        boolean isRead = path.equals(CONFIGURATION_PATH + "read");
        if (!isRead && !isChange(path) && !isEvacuation(path)) {
            Replies.sendJson(exchange, 404, Replies.errorJson("no such call"));
        } else if (!exchange.getRequestMethod().equals(isRead ? Methods.GET : Methods.POST)) {
            Replies.sendJson(exchange, 405, Replies.errorJson("wrong method"));
        } else if (!controllerNode.raft().isLeader()) {
            redirect(exchange, path);
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read(exchange, path));
        }
    }

    private static boolean isChange(String path) {
        return path.equals(CONFIGURATION_PATH + "replace") || path.equals(CONFIGURATION_PATH + "amend");
    }

    private static boolean isEvacuation(String path) {
        return path.startsWith(EVACUATION_PATH) && (path.endsWith("/begin") || path.endsWith("/finish"));
    }

    private void redirect(HttpServerExchange exchange, String path) {
        String leader = controllerNode.raft().leaderControlAddress();
        if (leader == null) {
            Replies.sendRetryLater(exchange, retryAfterMs, "no leader is known");
            return;
        }
        exchange.getResponseHeaders().put(Headers.LOCATION, "http://" + leader + path);
        Replies.sendJson(exchange, 307, "{}");
    }

    private void read(HttpServerExchange exchange, String path) {
        BodyStream.read(
                exchange.getRequestChannel(),
                exchange.getConnection().getByteBufferPool(),
                MAX_BODY_BYTES,
                body -> handleBody(exchange, path, body),
                e -> ProxyProcess.endUnreadable(exchange, e));
    }

    private void handleBody(HttpServerExchange exchange, String path, BodyStream.Body body) {
        if (!body.isComplete()) {
            exchange.setPersistent(false);
            Replies.sendJson(exchange, 413, Replies.errorJson("too large"));
            return;
        }
        OperatorExchange operatorExchange = new OperatorExchange(exchange);
        if (path.startsWith(EVACUATION_PATH)) {
            evacuate(operatorExchange, path.substring(EVACUATION_PATH.length()));
        } else if (isChange(path)) {
            change(operatorExchange, path.endsWith("amend"), body.prefix());
        } else {
            controllerNode.readConfiguration(operatorExchange::sendConfiguration);
        }
    }

    private void evacuate(OperatorExchange exchange, String zoneAndAction) {
        String zone = zoneAndAction.substring(0, Math.max(0, zoneAndAction.lastIndexOf('/')));
        if (!zones.contains(zone)) {
            exchange.send(404, Replies.errorJson("no such zone: " + zone));
            return;
        }
        controllerNode.evacuate(zone, zoneAndAction.endsWith("/begin"), outcome -> {
            if (outcome == EvacuationOutcome.COMMITTED) {
                exchange.send(200, "{}");
            } else {
                exchange.sendUnavailable("leadership was lost");
            }
        });
    }

    private void change(OperatorExchange exchange, boolean isAmendment, byte[] body) {
        OperatorRequest.ConfigurationChange change;
        try {
            change = OperatorRequest.parseChange(isAmendment, body);
        } catch (InvalidConfigurationException e) {
            exchange.send(400, Replies.errorJson(e.getMessage()));
            return;
        }
        controllerNode.submitChange(change, exchange::sendResult);
    }

    /** A call in progress, which is answered once: later answers have no effect. */
    private final class OperatorExchange {
        private final HttpServerExchange exchange;
        private final Clock.Timer timeout;
        private boolean isAnswered;

        OperatorExchange(HttpServerExchange exchange) {
            this.exchange = exchange;
            metrics.increment(Metric.OPERATOR_REQUESTS_READ);
            inFlight.add(this);
            exchange.addExchangeCompleteListener((done, next) -> {
                onComplete();
                next.proceed();
            });
            timeout = clock.schedule(answerTimeoutMs, () -> sendUnavailable("no decision in time"));
        }

        private void onComplete() {
            inFlight.remove(this);
            timeout.cancel();
            if (exchange.isResponseComplete()) {
                metrics.increment(Metric.OPERATOR_REQUESTS_ANSWERED);
            } else if (!isAnswered) {
                metrics.recordViolation(Metric.VIOLATIONS_UNANSWERED, exchange.getRequestURI());
            }
        }

        void send(int status, String json) {
            if (!isAnswered) {
                isAnswered = true;
                Replies.sendJson(exchange, status, json);
            }
        }

        void sendUnavailable(String reason) {
            if (!isAnswered) {
                isAnswered = true;
                Replies.sendRetryLater(exchange, retryAfterMs, reason);
            }
        }

        void sendResult(OperatorRequest.Result result) {
            if (result.status() == 503) {
                sendUnavailable(result.message());
            } else if (result.status() == 200) {
                JsonObject json = new JsonObject();
                json.addProperty("epoch", result.epoch());
                send(200, json.toString());
            } else {
                send(result.status(), Replies.errorJson(result.message()));
            }
        }

        void sendConfiguration(ConfigurationReadResult result) {
            if (result instanceof ConfigurationReadResult.Current current) {
                send(200, documentOf(current.version()));
            } else if (result instanceof ConfigurationReadResult.None) {
                send(404, Replies.errorJson("there is no configuration yet"));
            } else {
                sendUnavailable("no quorum");
            }
        }

        private static String documentOf(ReplicatedState.Version version) {
            try {
                return CompressedDocument.decompress(version.compressedDocument());
            } catch (InvalidConfigurationException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
