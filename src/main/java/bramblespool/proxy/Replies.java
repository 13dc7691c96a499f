package bramblespool.proxy;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.protocol.HeaderNames;
import bramblespool.transport.BodyStream;
import bramblespool.transport.UpstreamClient;
import com.google.gson.JsonObject;
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

/** Reading of requests' heads and sending of responses on Undertow's exchanges. Stateless; on the event loop. */
public final class Replies {
    /** Returned for a header that is absent. */
    static final long ABSENT = -1;
    /** Returned for a header that is no number above 0. */
    static final long NOT_A_POSITIVE_NUMBER = -2;

    private static final double MAX_NUMBER = 1e12;

    private static final Runnable NOTHING_TO_CANCEL = () -> {};

    private Replies() {}

    /** Sends a short text; closes the connection where a response has been started. */
    static void sendText(HttpServerExchange exchange, int status, String message) {
        if (exchange.isResponseStarted()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        byte[] bytes = (message + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
    }

    /** Sends a JSON document. */
    public static void sendJson(HttpServerExchange exchange, int status, String json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends 503 as a JSON document with a time to retry. */
    public static void sendRetryLater(HttpServerExchange exchange, long retryAfterMs, String reason) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, formatSeconds(retryAfterMs));
        sendJson(exchange, 503, errorJson(reason));
    }

    /** A JSON document that names an error. */
    public static String errorJson(String message) {
        JsonObject json = new JsonObject();
        json.addProperty("error", message);
        return json.toString();
    }

    /** Sends 503 with a time to retry, which promises that the request was not executed. */
    static void sendUnavailable(HttpServerExchange exchange, long retryAfterMs, String reason) {
        if (retryAfterMs > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, formatSeconds(retryAfterMs));
        }
        sendText(exchange, 503, reason);
    }

    /** A duration in seconds with three decimals, as in Retry-After. */
    static String formatSeconds(long durationMs) {
        return String.format(Locale.ROOT, "%.3f", durationMs / 1000.0);
    }

    /** Sends a text and closes the connection afterwards, as where the request's framing is ambiguous. */
    public static void sendTextAndClose(HttpServerExchange exchange, int status, String message) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        sendText(exchange, status, message);
    }

    /**
     * Forwards a response; closes the connection where it breaks off, so that it never looks complete.
     *
     * @return ends the forwarding of a streamed response; has no effect on another one
     */
    static Runnable relay(
            HttpServerExchange exchange,
            UpstreamClient.Response response,
            AttemptResult.RelayCompletion relayCompletion) {
        if (exchange.isResponseStarted()) {
            if (relayCompletion != null) {
                relayCompletion.onRelayed(false);
            }
            return NOTHING_TO_CANCEL;
        }
        exchange.setStatusCode(response.statusCode());
        HeaderNames.copyEndToEnd(response.headers(), exchange.getResponseHeaders());
        if (response.body().isComplete()) {
            if (response.body().prefix().length == 0
                    && (response.statusCode() == 204 || response.statusCode() == 304)) {
                exchange.endExchange();
            } else {
                exchange.getResponseSender()
                        .send(ByteBuffer.wrap(response.body().prefix()));
            }
            return NOTHING_TO_CANCEL;
        }
        String contentLength = response.headers().getFirst(Headers.CONTENT_LENGTH);
        if (contentLength != null) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, contentLength);
        }
        Runnable cancelWrite = BodyStream.write(
                response.body(),
                exchange.getResponseChannel(),
                exchange.getConnection().getByteBufferPool(),
                () -> {
                    relayCompletion.onRelayed(true);
                    exchange.endExchange();
                },
                e -> {
                    relayCompletion.onRelayed(false);
                    IoUtils.safeClose(exchange.getConnection());
                });
        return () -> {
            cancelWrite.run();
            relayCompletion.onRelayed(false);
        };
    }

    /** A response as stored for repeated requests; null where it was too large to be buffered. */
    static StoredResponse toStoredResponse(UpstreamClient.Response response) {
        if (!response.body().isComplete()) {
            return null;
        }
        HeaderMap headers = new HeaderMap();
        HeaderNames.copyEndToEnd(response.headers(), headers);
        List<String> namesAndValues = new ArrayList<>();
        for (HeaderValues values : headers) {
            if (!values.getHeaderName().equals(HeaderNames.ATTEMPT_ID)) {
                values.forEach(value ->
                        namesAndValues.addAll(List.of(values.getHeaderName().toString(), value)));
            }
        }
        return new StoredResponse(
                response.statusCode(), namesAndValues, response.body().prefix());
    }

    /** Answers a repeated request with the stored response and the attempt id of this request. */
    static void replay(HttpServerExchange exchange, StoredResponse storedResponse) {
        HeaderMap responseHeaders = exchange.getResponseHeaders();
        for (int i = 0; i + 1 < storedResponse.headers().size(); i += 2) {
            responseHeaders.add(
                    new HttpString(storedResponse.headers().get(i)),
                    storedResponse.headers().get(i + 1));
        }
        responseHeaders.put(HeaderNames.ATTEMPT_ID, exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT_ID));
        exchange.setStatusCode(storedResponse.statusCode());
        if (storedResponse.body().length == 0) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(storedResponse.body()));
        }
    }

    /** The API key in {@code Authorization}; null without that header, empty where it holds no such key. */
    static String clientKey(HttpServerExchange exchange) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.AUTHORIZATION);
        if (values == null) {
            return null;
        }
        String credentials = values.size() == 1 ? values.getFirst().strip() : "";
        int space = credentials.indexOf(' ');
        return space > 0 && credentials.substring(0, space).equalsIgnoreCase("Token")
                ? credentials.substring(space + 1).strip()
                : "";
    }

    /** Same as {@link #positiveNumber(String)} for a header of the request. */
    static long positiveNumber(HttpServerExchange exchange, HttpString header) {
        return positiveNumber(exchange.getRequestHeaders().getFirst(header));
    }

    /**
     * A number above 0, rounded up; {@link #ABSENT} where {@code value} is null, {@link #NOT_A_POSITIVE_NUMBER} where
     * it is no such number.
     */
    public static long positiveNumber(String value) {
        if (value == null) {
            return ABSENT;
        }
        try {
            double number = Double.parseDouble(value.strip());
            return number > 0 && number < MAX_NUMBER ? (long) Math.ceil(number) : NOT_A_POSITIVE_NUMBER;
        } catch (NumberFormatException e) {
            return NOT_A_POSITIVE_NUMBER;
        }
    }

    /** The path and query exactly as received. */
    static String requestTarget(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        String path = requestPath(exchange);
        return query == null || query.isEmpty() ? path : path + "?" + query;
    }

    /** The path exactly as received, without the host of an absolute request target. */
    static String requestPath(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (exchange.isHostIncludedInRequestURI()) {
            int pathStart = uri.indexOf('/', uri.indexOf("://") + 3);
            return pathStart < 0 ? "/" : uri.substring(pathStart);
        }
        return uri;
    }

    /** Whether a response names this attempt and no other. */
    static boolean namesAttempt(String attemptId, HeaderMap headers) {
        return headers.count(HeaderNames.ATTEMPT_ID) == 1
                && headers.getFirst(HeaderNames.ATTEMPT_ID).equals(attemptId);
    }

    /** The fault of a request's framing or head, or null. */
    static String framingFault(HttpServerExchange exchange) {
        var headers = exchange.getRequestHeaders();
        if (headers.count(Headers.CONTENT_LENGTH) > 1
                || headers.count(Headers.TRANSFER_ENCODING) > 1
                || headers.contains(Headers.CONTENT_LENGTH) && headers.contains(Headers.TRANSFER_ENCODING)) {
            return "conflicting lengths";
        }
        String transferEncoding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if (transferEncoding != null && !transferEncoding.strip().equalsIgnoreCase("chunked")) {
            return "unknown transfer coding";
        }
        String contentLength = headers.getFirst(Headers.CONTENT_LENGTH);
        if (contentLength != null && !contentLength.strip().chars().allMatch(c -> c >= '0' && c <= '9')) {
            return "bad length";
        }
        if (headers.count(Headers.HOST) != 1) {
            return "exactly one Host is required";
        }
        if (headers.count(HeaderNames.ATTEMPT_ID) != 1
                || headers.getFirst(HeaderNames.ATTEMPT_ID).isBlank()) {
            return "exactly one " + HeaderNames.ATTEMPT_ID + " is required";
        }
        return null;
    }
}
