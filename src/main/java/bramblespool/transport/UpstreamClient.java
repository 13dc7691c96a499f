package bramblespool.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends HTTP requests over pooled connections and reports for each failed one whether it may have been sent. Confined
 * to the event loop.
 */
public final class UpstreamClient {
    /** How far a request got that had no response. */
    public enum SendProgress {
        /** No byte of it was written. */
        NOT_SENT,
        /** Some of it may have been received. */
        POSSIBLY_SENT
    }

    /** A request; {@code requestTarget} is the path with the query as sent. */
    public record Request(HttpString method, String requestTarget, HeaderMap headers, BodyStream.Body body) {}

    /** A response's head with its body, or the beginning of the body. */
    public record Response(int statusCode, HeaderMap headers, BodyStream.Body body) {}

    /** Gets the outcome of a request: exactly one method is called, once, unless the call is cancelled. */
    public interface ResponseListener {
        /**
         * A response has arrived. Where its body is not complete, the listener reads the rest and calls {@link
         * Call#finish}.
         */
        void onResponse(Response response);

        /** A body that was not complete at first has been sent to its end; may be called before or after the others. */
        default void onBodySent() {}

        /** No usable response arrived. */
        void onFailure(SendProgress progress, String cause);
    }

    /**
     * Options of the connections to a destination.
     *
     * @param connectTimeoutMs time-out of connecting
     * @param idleTimeoutMs how long an idle connection is reused
     * @param maxBufferedBytes up to this size a body is read before the listener is called
     */
    public record ConnectionOptions(long connectTimeoutMs, long idleTimeoutMs, int maxBufferedBytes) {}

    private static final class PooledConnection {
        final ClientConnection connection;
        final long expiresAtMs;

        PooledConnection(ClientConnection connection, long expiresAtMs) {
            this.connection = connection;
            this.expiresAtMs = expiresAtMs;
        }
    }

    private static final long EVICTION_INTERVAL_MS = 1000;

    private final EventLoop eventLoop;
    private final ByteBufferPool bufferPool;
    private final HttpClientProvider client = new HttpClientProvider();
    private final Map<String, ArrayDeque<PooledConnection>> idleByAddress = new HashMap<>();
    private final OptionMap socketOptions = OptionMap.create(Options.TCP_NODELAY, true, Options.KEEP_ALIVE, true);

    /** Starts the timer that closes expired idle connections. */
    public UpstreamClient(EventLoop eventLoop, ByteBufferPool bufferPool) {
        this.eventLoop = eventLoop;
        this.bufferPool = bufferPool;
        eventLoop.scheduleRepeatedly(EVICTION_INTERVAL_MS, this::evictExpired);
    }

    /** A request in progress. */
    public final class Call {
        private final String address;
        private final ConnectionOptions connectionOptions;
        private final Request request;
        private final ResponseListener listener;
        private ClientConnection connection;
        private boolean isFinished;
        private boolean isReusable;
        /** Whether the request was written to its end. */
        private boolean isRequestWritten;

        private Runnable cancelWrite = () -> {};
        private StreamSinkChannel requestChannel;
        private Clock.Timer connectTimer;

        private Call(String address, ConnectionOptions connectionOptions, Request request, ResponseListener listener) {
            this.address = address;
            this.connectionOptions = connectionOptions;
            this.request = request;
            this.listener = listener;
        }

        /** Ends the call; the listener is not called any more. */
        public void cancel() {
            isFinished = true;
            release(false);
        }

        /** Whether the request was handed to a connection that is still in use. */
        public boolean isRequestSent() {
            return connection != null;
        }

        private void fail(SendProgress progress, String cause) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            release(false);
            listener.onFailure(progress, cause);
        }

        private void connect() {
            if (isFinished) {
                return;
            }
            connectTimer = eventLoop.schedule(
                    connectionOptions.connectTimeoutMs, () -> fail(SendProgress.NOT_SENT, "connect timed out"));
            client.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection newConnection) {
                            if (isFinished) {
                                IoUtils.safeClose(newConnection);
                                return;
                            }
                            connectTimer.cancel();
                            send(newConnection);
                        }

                        @Override
                        public void failed(IOException e) {
                            if (!isFinished) {
                                connectTimer.cancel();
                                fail(SendProgress.NOT_SENT, "connect failed");
                            }
                        }
                    },
                    null,
                    URI.create("http://" + address),
                    eventLoop.ioThread(),
                    null,
                    bufferPool,
                    socketOptions);
        }

        private void send(ClientConnection newConnection) {
            connection = newConnection;
            ClientRequest clientRequest = new ClientRequest()
                    .setMethod(request.method)
                    .setPath(request.requestTarget)
                    .setProtocol(Protocols.HTTP_1_1);
            HeaderMap requestHeaders = clientRequest.getRequestHeaders();
            for (long cursor = request.headers.fastIterateNonEmpty();
                    cursor != -1;
                    cursor = request.headers.fiNextNonEmpty(cursor)) {
                requestHeaders.putAll(
                        request.headers.fiCurrent(cursor).getHeaderName(), request.headers.fiCurrent(cursor));
            }
            newConnection.sendRequest(clientRequest, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    onRequestSent(exchange);
                }

                @Override
                public void failed(IOException e) {
                    fail(SendProgress.POSSIBLY_SENT, "send failed: " + e.getMessage());
                }
            });
        }

        private void onRequestSent(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange answeredExchange) {
                    handleResponse(answeredExchange);
                }

                @Override
                public void failed(IOException e) {
                    fail(SendProgress.POSSIBLY_SENT, "no response: " + e.getMessage());
                }
            });
            if (request.body.prefix().length > 0 || !request.body.isComplete()) {
                requestChannel = exchange.getRequestChannel();
                cancelWrite = BodyStream.write(
                        request.body,
                        requestChannel,
                        bufferPool,
                        this::onBodyWritten,
                        e -> fail(SendProgress.POSSIBLY_SENT, "body not sent: " + e.getMessage()));
            } else {
                isRequestWritten = true;
            }
        }

        private void onBodyWritten() {
            isRequestWritten = true;
            if (!request.body.isComplete()) {
                listener.onBodySent();
            }
        }

        private void handleResponse(ClientExchange exchange) {
            if (isFinished) {
                return;
            }
            HeaderMap headers = exchange.getResponse().getResponseHeaders();
            int statusCode = exchange.getResponse().getResponseCode();
            boolean isBodiless = statusCode == 204 || statusCode == 304 || request.method.equalToString("HEAD");
            if (statusCode < 200 || !hasClearEnd(headers, isBodiless)) {
                // Where its end is ambiguous, the bytes after it cannot be attributed to a request.
                fail(SendProgress.POSSIBLY_SENT, "response with ambiguous length");
                return;
            }
            String connectionHeader = headers.getFirst(Headers.CONNECTION);
            // A response to a partly written request: the rest of the request would precede the next one.
            isReusable = isRequestWritten
                    && (connectionHeader == null
                            || !connectionHeader
                                    .toLowerCase(java.util.Locale.ROOT)
                                    .contains("close"));
            BodyStream.read(
                    exchange.getResponseChannel(),
                    bufferPool,
                    connectionOptions.maxBufferedBytes,
                    body -> {
                        if (isFinished) {
                            return;
                        }
                        boolean isComplete = body.isComplete();
                        isFinished = isComplete;
                        try {
                            listener.onResponse(new Response(statusCode, headers, body));
                        } finally {
                            if (isComplete) {
                                release(isReusable);
                            }
                        }
                    },
                    e -> fail(SendProgress.POSSIBLY_SENT, "response broken off: " + e.getMessage()));
        }

        /** Whether the response defines its end in exactly one way. */
        private boolean hasClearEnd(HeaderMap headers, boolean isBodiless) {
            int contentLengths = headers.count(Headers.CONTENT_LENGTH);
            int transferEncodings = headers.count(Headers.TRANSFER_ENCODING);
            if (contentLengths + transferEncodings != 1) {
                return isBodiless && contentLengths + transferEncodings == 0;
            }
            return contentLengths == 1
                    ? headers.getFirst(Headers.CONTENT_LENGTH).chars().allMatch(c -> c >= '0' && c <= '9')
                    : headers.getFirst(Headers.TRANSFER_ENCODING).equalsIgnoreCase("chunked");
        }

        /**
         * The response was to another request: the connection is closed, because its further responses are unreliable
         * too.
         */
        public void discardConnection() {
            isReusable = false;
            finish(false);
        }

        /** Ends a call whose response was streamed; {@code isComplete}: whether it was read to its end. */
        public void finish(boolean isComplete) {
            if (!isFinished) {
                isFinished = true;
                release(isComplete && isReusable);
            }
        }

        private void release(boolean shouldReuse) {
            if (connectTimer != null) {
                connectTimer.cancel();
            }
            ClientConnection released = connection;
            connection = null;
            if (released == null) {
                return;
            }
            if (!shouldReuse) {
                cancelWrite.run();
                if (!isRequestWritten && requestChannel != null) {
                    // Closing the connection would end the chunks first, and a partial body would look complete.
                    IoUtils.safeClose(requestChannel);
                }
                IoUtils.safeClose(released);
                return;
            }
            long expiresAtMs = eventLoop.nowMs() + connectionOptions.idleTimeoutMs;
            // One turn of the event loop later, so that bytes after the response's end are seen first and close the
            // connection.
            eventLoop.schedule(0, () -> {
                if (released.isOpen()) {
                    idleByAddress
                            .computeIfAbsent(address, a -> new ArrayDeque<>())
                            .push(new PooledConnection(released, expiresAtMs));
                }
            });
        }
    }

    /** Sends a request; the listener is called exactly once unless the call is cancelled. */
    public Call send(String address, ConnectionOptions connectionOptions, Request request, ResponseListener listener) {
        Call call = new Call(address, connectionOptions, request, listener);
        ClientConnection pooled = takePooled(address);
        if (pooled != null) {
            call.send(pooled);
        } else {
            call.connect();
        }
        return call;
    }

    private ClientConnection takePooled(String address) {
        ArrayDeque<PooledConnection> connections = idleByAddress.get(address);
        while (connections != null && !connections.isEmpty()) {
            PooledConnection pooled = connections.pop();
            if (pooled.connection.isOpen() && pooled.expiresAtMs > eventLoop.nowMs()) {
                return pooled.connection;
            }
            IoUtils.safeClose(pooled.connection);
        }
        return null;
    }

    /** Closes the idle connections to an address. */
    public void closeIdleConnections(String address) {
        ArrayDeque<PooledConnection> connections = idleByAddress.remove(address);
        if (connections != null) {
            connections.forEach(pooled -> IoUtils.safeClose(pooled.connection));
        }
    }

    private void evictExpired() {
        long nowMs = eventLoop.nowMs();
        for (Iterator<ArrayDeque<PooledConnection>> queues =
                        idleByAddress.values().iterator();
                queues.hasNext(); ) {
            ArrayDeque<PooledConnection> connections = queues.next();
            connections.removeIf(pooled -> {
                boolean isStale = pooled.expiresAtMs <= nowMs || !pooled.connection.isOpen();
                if (isStale) {
                    IoUtils.safeClose(pooled.connection);
                }
                return isStale;
            });
            if (connections.isEmpty()) {
                queues.remove();
            }
        }
    }
}
