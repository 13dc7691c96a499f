package bramblespool.role;

import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.protocol.Names;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.xnio.IoUtils;

/** Answers on Undertow's exchanges. */
final class Exchanges {
    private Exchanges() {}

    static void say(HttpServerExchange x, int status, String word) {
        if (x.isResponseStarted()) {
            IoUtils.safeClose(x.getConnection());
            return;
        }
        byte[] bytes = (word + "\n").getBytes(StandardCharsets.UTF_8);
        x.setStatusCode(status);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        x.getResponseSender().send(ByteBuffer.wrap(bytes));
    }

    static void json(HttpServerExchange x, int status, String json) {
        x.setStatusCode(status);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseSender().send(ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** A refusal with the promise that the request has not run. */
    static void comeBack(HttpServerExchange x, long afterMs, String why) {
        if (afterMs > 0) {
            x.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(afterMs));
        }
        say(x, 503, why);
    }

    static String seconds(long ms) {
        return String.format(Locale.ROOT, "%.3f", ms / 1000.0);
    }

    /** Where the framing is in doubt nothing more is read from the connection. */
    static void sayAndClose(HttpServerExchange x, int status, String word) {
        x.setPersistent(false);
        x.getResponseHeaders().put(Headers.CONNECTION, "close");
        say(x, status, word);
    }

    /** Passes an answer on as it is; one that breaks off closes the connection, so that it never looks whole. */
    static void relay(HttpServerExchange x, Upstream.Answer a, ByteBufferPool buffers, Courier.Ending ending) {
        if (x.isResponseStarted()) {
            if (ending != null) {
                ending.ended(false);
            }
            return;
        }
        x.setStatusCode(a.code());
        Names.copy(a.headers(), x.getResponseHeaders());
        if (a.body().whole()) {
            if (a.body().head().length == 0 && (a.code() == 204 || a.code() == 304)) {
                x.endExchange();
            } else {
                x.getResponseSender().send(ByteBuffer.wrap(a.body().head()));
            }
            return;
        }
        String length = a.headers().getFirst(Headers.CONTENT_LENGTH);
        if (length != null) {
            x.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
        }
        Stream.write(
                a.body(),
                x.getResponseChannel(),
                buffers,
                () -> {
                    ending.ended(true);
                    x.endExchange();
                },
                e -> {
                    ending.ended(false);
                    IoUtils.safeClose(x.getConnection());
                });
    }

    /** An answer as it is kept for repeats; null where it was too large to be held whole. */
    static IdempotencyTable.StoredResponse kept(Upstream.Answer a) {
        if (!a.body().whole()) {
            return null;
        }
        HeaderMap headers = new HeaderMap();
        Names.copy(a.headers(), headers);
        List<String> flat = new ArrayList<>();
        for (HeaderValues v : headers) {
            if (!v.getHeaderName().equals(Names.ATTEMPT)) {
                v.forEach(one -> flat.addAll(List.of(v.getHeaderName().toString(), one)));
            }
        }
        return new IdempotencyTable.StoredResponse(a.code(), flat, a.body().head());
    }

    /** Answers a repeat as the first was answered; only the try it names is this one. */
    static void repeat(HttpServerExchange x, IdempotencyTable.StoredResponse a) {
        HeaderMap to = x.getResponseHeaders();
        for (int i = 0; i + 1 < a.headers().size(); i += 2) {
            to.add(new HttpString(a.headers().get(i)), a.headers().get(i + 1));
        }
        to.put(Names.ATTEMPT, x.getRequestHeaders().getFirst(Names.ATTEMPT));
        x.setStatusCode(a.statusCode());
        if (a.body().length == 0) {
            x.endExchange();
        } else {
            x.getResponseSender().send(ByteBuffer.wrap(a.body()));
        }
    }

    /** The key that a client shows in {@code Authorization}, or null where it shows none of ours. */
    static String clientKey(HttpServerExchange x) {
        HeaderValues v = x.getRequestHeaders().get(Headers.AUTHORIZATION);
        if (v == null) {
            return null;
        }
        String one = v.size() == 1 ? v.getFirst().strip() : "";
        int space = one.indexOf(' ');
        return space > 0 && one.substring(0, space).equalsIgnoreCase("Token")
                ? one.substring(space + 1).strip()
                : "";
    }

    static long number(HttpServerExchange x, HttpString header) {
        return number(x.getRequestHeaders().getFirst(header));
    }

    /** A number above 0; -1 where there is none, -2 where it is no such number. */
    static long number(String v) {
        if (v == null) {
            return -1;
        }
        try {
            double d = Double.parseDouble(v.strip());
            return d > 0 && d < 1e12 ? (long) Math.ceil(d) : -2;
        } catch (NumberFormatException e) {
            return -2;
        }
    }

    /** The path and query exactly as they came. */
    static String target(HttpServerExchange x) {
        String q = x.getQueryString();
        String path = path(x);
        return q == null || q.isEmpty() ? path : path + "?" + q;
    }

    static String path(HttpServerExchange x) {
        String uri = x.getRequestURI();
        if (x.isHostIncludedInRequestURI()) {
            int at = uri.indexOf('/', uri.indexOf("://") + 3);
            return at < 0 ? "/" : uri.substring(at);
        }
        return uri;
    }

    /** Whether an answer, of whatever kind, names this one try and no other. */
    static boolean answers(String attempt, HeaderMap headers) {
        return headers.count(Names.ATTEMPT) == 1
                && headers.getFirst(Names.ATTEMPT).equals(attempt);
    }

    /** What is wrong with a request's framing or head, or null. */
    static String unsound(HttpServerExchange x) {
        var h = x.getRequestHeaders();
        if (h.count(Headers.CONTENT_LENGTH) > 1
                || h.count(Headers.TRANSFER_ENCODING) > 1
                || h.contains(Headers.CONTENT_LENGTH) && h.contains(Headers.TRANSFER_ENCODING)) {
            return "conflicting lengths";
        }
        String te = h.getFirst(Headers.TRANSFER_ENCODING);
        if (te != null && !te.strip().equalsIgnoreCase("chunked")) {
            return "unknown transfer coding";
        }
        String cl = h.getFirst(Headers.CONTENT_LENGTH);
        if (cl != null && !cl.strip().chars().allMatch(c -> c >= '0' && c <= '9')) {
            return "bad length";
        }
        if (h.count(Headers.HOST) != 1) {
            return "one Host is wanted";
        }
        if (h.count(Names.ATTEMPT) != 1 || h.getFirst(Names.ATTEMPT).isBlank()) {
            return "one " + Names.ATTEMPT + " is wanted";
        }
        return null;
    }
}
