package bramblespool.transport;

import bramblespool.state.EventLog;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Peer messages as JSON over HTTP, one path for each kind. Confined to the event loop. */
public final class HttpPeerTransport implements PeerTransport, HttpHandler {
    private static final String PATH_PREFIX = "/peer/";
    /** Identifies a call; the answer repeats it. */
    private static final HttpString CALL_ID = new HttpString("X-Spool-Call");

    private static final ObjectMapper JSON = new ObjectMapper();
    /**
     * Limit of a message. A routing configuration is sent in one message; the operator's listener rejects larger ones.
     */
    public static final int MAX_MESSAGE_BYTES = 16 << 20;

    private final Clock clock;
    private final UpstreamClient upstream;
    private final ByteBufferPool bufferPool;
    private final EventLog log;
    private final long idleTimeoutMs;
    private RequestHandler requestHandler;
    private long lastCallId;

    /**
     * @param idleTimeoutMs how long idle connections to peers are kept
     */
    public HttpPeerTransport(
            Clock clock, UpstreamClient upstream, ByteBufferPool bufferPool, long idleTimeoutMs, EventLog log) {
        this.clock = clock;
        this.upstream = upstream;
        this.bufferPool = bufferPool;
        this.idleTimeoutMs = idleTimeoutMs;
        this.log = log;
    }

    /** Sets who answers requests of peers; to be called before the first one arrives. */
    public void setRequestHandler(RequestHandler handler) {
        this.requestHandler = handler;
    }

    @Override
    public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback) {
        byte[] bytes;
        try {
            bytes = JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, address);
        headers.put(Headers.CONTENT_LENGTH, bytes.length);
        String callId = Long.toString(++lastCallId, Character.MAX_RADIX);
        headers.put(CALL_ID, callId);
        Clock.Timer[] timer = new Clock.Timer[1];
        UpstreamClient.Call[] call = new UpstreamClient.Call[1];
        boolean[] isCompleted = new boolean[1];
        Consumer<JsonNode> completeOnce = node -> {
            if (!isCompleted[0]) {
                isCompleted[0] = true;
                if (timer[0] != null) {
                    timer[0].cancel();
                }
                callback.accept(node);
            }
        };
        timer[0] = clock.schedule(timeoutMs, () -> {
            if (call[0] != null) {
                call[0].cancel();
            }
            // After a time-out the idle connections to that machine may be dead as well.
            upstream.closeIdleConnections(address);
            completeOnce.accept(null);
        });
        call[0] = upstream.send(
                address,
                new UpstreamClient.ConnectionOptions(timeoutMs, idleTimeoutMs, MAX_MESSAGE_BYTES),
                new UpstreamClient.Request(Methods.POST, PATH_PREFIX + kind, headers, new BodyStream.Body(bytes, null)),
                new UpstreamClient.ResponseListener() {
                    @Override
                    public void onResponse(UpstreamClient.Response response) {
                        boolean isOwnResponse = response.headers().count(CALL_ID) == 1
                                && callId.equals(response.headers().getFirst(CALL_ID));
                        if (!isOwnResponse || !response.body().isComplete()) {
                            call[0].discardConnection();
                        }
                        completeOnce.accept(
                                isOwnResponse
                                                && response.statusCode() == 200
                                                && response.body().isComplete()
                                        ? parse(response.body().prefix(), kind)
                                        : null);
                    }

                    @Override
                    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
                        if (progress == UpstreamClient.SendProgress.NOT_SENT) {
                            upstream.closeIdleConnections(address);
                        }
                        completeOnce.accept(null);
                    }
                });
    }

    private JsonNode parse(byte[] bytes, String kind) {
        try {
            JsonNode node = JSON.readTree(bytes);
            return node != null && node.isObject() ? node : null;
        } catch (IOException e) {
            log.logOnChange(EventLog.Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unreadable");
            return null;
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        if (!path.startsWith(PATH_PREFIX) || !exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.setStatusCode(404);
            return;
        }
        String kind = path.substring(PATH_PREFIX.length());
        String callId = exchange.getRequestHeaders().getFirst(CALL_ID);
        if (callId != null) {
            exchange.getResponseHeaders().put(CALL_ID, callId);
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> BodyStream.read(
                        exchange.getRequestChannel(),
                        bufferPool,
                        MAX_MESSAGE_BYTES,
                        body -> {
                            JsonNode node = body.isComplete() ? parse(body.prefix(), kind) : null;
                            if (node == null) {
                                respond(exchange, null);
                                return;
                            }
                            try {
                                requestHandler.handleRequest(kind, node, response -> respond(exchange, response));
                            } catch (RuntimeException e) {
                                log.logUnexpected(e);
                                respond(exchange, null);
                            }
                        },
                        e -> exchange.endExchange()));
    }

    private static void respond(HttpServerExchange exchange, ObjectNode response) {
        if (response == null) {
            exchange.setStatusCode(503);
            exchange.endExchange();
            return;
        }
        try {
            exchange.getResponseSender().send(ByteBuffer.wrap(JSON.writeValueAsBytes(response)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
