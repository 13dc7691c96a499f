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

/** Peer messages as JSON over HTTP. */
public final class HttpWire implements Wire, HttpHandler {
    private static final String PATH = "/peer/";
    /** Names the call, and the answer the call that it is to. */
    private static final HttpString CALL = new HttpString("X-Spool-Call");

    private static final ObjectMapper JSON = new ObjectMapper();
    /** A configuration travels whole in a message; larger ones than this are refused when the operator sends them. */
    public static final int LARGEST = 16 << 20;

    private final Clock clock;
    private final Upstream upstream;
    private final ByteBufferPool buffers;
    private final EventLog log;
    private final long idleMs;
    private Service service;
    private long calls;

    public HttpWire(Clock clock, Upstream upstream, ByteBufferPool buffers, long idleMs, EventLog log) {
        this.clock = clock;
        this.upstream = upstream;
        this.buffers = buffers;
        this.idleMs = idleMs;
        this.log = log;
    }

    public void serve(Service s) {
        this.service = s;
    }

    @Override
    public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> answer) {
        byte[] bytes;
        try {
            bytes = JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, address);
        headers.put(Headers.CONTENT_LENGTH, bytes.length);
        String name = Long.toString(++calls, Character.MAX_RADIX);
        headers.put(CALL, name);
        Clock.Timer[] timer = new Clock.Timer[1];
        Upstream.Call[] call = new Upstream.Call[1];
        boolean[] over = new boolean[1];
        Consumer<JsonNode> once = node -> {
            if (!over[0]) {
                over[0] = true;
                if (timer[0] != null) {
                    timer[0].cancel();
                }
                answer.accept(node);
            }
        };
        timer[0] = clock.after(timeoutMs, () -> {
            if (call[0] != null) {
                call[0].drop();
            }
            // Silence makes the kept connections to that machine suspect.
            upstream.forget(address);
            once.accept(null);
        });
        call[0] = upstream.send(
                address,
                new Upstream.Manner(timeoutMs, idleMs, LARGEST),
                new Upstream.Request(Methods.POST, PATH + kind, headers, new Stream.Body(bytes, null)),
                new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        boolean own = a.headers().count(CALL) == 1
                                && name.equals(a.headers().getFirst(CALL));
                        if (!own || !a.body().whole()) {
                            call[0].spoil();
                        }
                        once.accept(
                                own && a.code() == 200 && a.body().whole()
                                        ? parse(a.body().head(), kind)
                                        : null);
                    }

                    @Override
                    public void failed(Upstream.Reach reach, String cause) {
                        if (reach == Upstream.Reach.UNSENT) {
                            upstream.forget(address);
                        }
                        once.accept(null);
                    }
                });
    }

    private JsonNode parse(byte[] bytes, String kind) {
        try {
            JsonNode n = JSON.readTree(bytes);
            return n != null && n.isObject() ? n : null;
        } catch (IOException e) {
            log.logOnChange(EventLog.Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unreadable");
            return null;
        }
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        String path = x.getRequestURI();
        if (!path.startsWith(PATH) || !x.getRequestMethod().equals(Methods.POST)) {
            x.setStatusCode(404);
            return;
        }
        String kind = path.substring(PATH.length());
        String name = x.getRequestHeaders().getFirst(CALL);
        if (name != null) {
            x.getResponseHeaders().put(CALL, name);
        }
        x.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> Stream.read(
                        x.getRequestChannel(),
                        buffers,
                        LARGEST,
                        body -> {
                            JsonNode node = body.whole() ? parse(body.head(), kind) : null;
                            if (node == null) {
                                answer(x, null);
                                return;
                            }
                            try {
                                service.serve(kind, node, out -> answer(x, out));
                            } catch (RuntimeException e) {
                                log.logUnexpected(e);
                                answer(x, null);
                            }
                        },
                        e -> x.endExchange()));
    }

    private static void answer(HttpServerExchange x, ObjectNode out) {
        if (out == null) {
            x.setStatusCode(503);
            x.endExchange();
            return;
        }
        try {
            x.getResponseSender().send(ByteBuffer.wrap(JSON.writeValueAsBytes(out)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
