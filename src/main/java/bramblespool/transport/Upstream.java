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

/** Sends requests over pooled connections and reports how far each one came. */
public final class Upstream {
    /** How far a request came that got no answer. */
    public enum Reach {
        /** No byte of it was written. */
        UNSENT,
        /** Some of it may have arrived. */
        SENT
    }

    public record Request(HttpString method, String target, HeaderMap headers, Stream.Body body) {}

    /** An answer's head with its body, or the beginning of the body. */
    public record Answer(int code, HeaderMap headers, Stream.Body body) {}

    public interface Receiver {
        void answer(Answer answer);

        void failed(Reach reach, String cause);
    }

    /** How a destination is to be treated. */
    public record Manner(long connectMs, long idleMs, int buffered) {}

    private static final class Idle {
        final ClientConnection connection;
        final long until;

        Idle(ClientConnection connection, long until) {
            this.connection = connection;
            this.until = until;
        }
    }

    private final Loop loop;
    private final ByteBufferPool buffers;
    private final HttpClientProvider client = new HttpClientProvider();
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private final OptionMap options = OptionMap.create(Options.TCP_NODELAY, true, Options.KEEP_ALIVE, true);

    public Upstream(Loop loop, ByteBufferPool buffers) {
        this.loop = loop;
        this.buffers = buffers;
        loop.every(1000, this::sweep);
    }

    /** A call under way; it can be broken off. */
    public final class Call {
        private final String address;
        private final Manner manner;
        private final Request request;
        private final Receiver receiver;
        private ClientConnection connection;
        private boolean over;
        private boolean reusable;
        /** The request has been written to its end. */
        private boolean written;

        private Runnable writer = () -> {};
        private StreamSinkChannel sink;
        private Clock.Timer patience;

        private Call(String address, Manner manner, Request request, Receiver receiver) {
            this.address = address;
            this.manner = manner;
            this.request = request;
            this.receiver = receiver;
        }

        /** Ends the call without a further word to the receiver. */
        public void drop() {
            over = true;
            release(false);
        }

        /** Whether a request had been handed to a connection. */
        public boolean sent() {
            return connection != null;
        }

        private void fail(Reach reach, String cause) {
            if (over) {
                return;
            }
            over = true;
            release(false);
            receiver.failed(reach, cause);
        }

        private void connect() {
            if (over) {
                return;
            }
            patience = loop.after(manner.connectMs, () -> fail(Reach.UNSENT, "connect timed out"));
            client.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection c) {
                            if (over) {
                                IoUtils.safeClose(c);
                                return;
                            }
                            patience.cancel();
                            send(c);
                        }

                        @Override
                        public void failed(IOException e) {
                            if (!over) {
                                patience.cancel();
                                fail(Reach.UNSENT, "connect failed");
                            }
                        }
                    },
                    null,
                    URI.create("http://" + address),
                    loop.thread(),
                    null,
                    buffers,
                    options);
        }

        private void send(ClientConnection c) {
            connection = c;
            ClientRequest r = new ClientRequest()
                    .setMethod(request.method)
                    .setPath(request.target)
                    .setProtocol(Protocols.HTTP_1_1);
            HeaderMap to = r.getRequestHeaders();
            for (long at = request.headers.fastIterateNonEmpty(); at != -1; at = request.headers.fiNextNonEmpty(at)) {
                to.putAll(request.headers.fiCurrent(at).getHeaderName(), request.headers.fiCurrent(at));
            }
            c.sendRequest(r, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange x) {
                    sent(x);
                }

                @Override
                public void failed(IOException e) {
                    fail(Reach.SENT, "send failed: " + e.getMessage());
                }
            });
        }

        private void sent(ClientExchange x) {
            x.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange done) {
                    answered(done);
                }

                @Override
                public void failed(IOException e) {
                    fail(Reach.SENT, "no answer: " + e.getMessage());
                }
            });
            if (request.body.head().length > 0 || !request.body.whole()) {
                sink = x.getRequestChannel();
                writer = Stream.write(
                        request.body,
                        sink,
                        buffers,
                        () -> written = true,
                        e -> fail(Reach.SENT, "body not sent: " + e.getMessage()));
            } else {
                written = true;
            }
        }

        private void answered(ClientExchange x) {
            if (over) {
                return;
            }
            HeaderMap headers = x.getResponse().getResponseHeaders();
            int code = x.getResponse().getResponseCode();
            boolean bodiless = code == 204 || code == 304 || request.method.equalToString("HEAD");
            if (code < 200 || !framed(headers, bodiless)) {
                // Where its end is in doubt, neither it nor what comes after it can be told from another's.
                fail(Reach.SENT, "answer without a clear end");
                return;
            }
            String connectionWords = headers.getFirst(Headers.CONNECTION);
            // An answer to a part of a request: the rest of it, still to come, would stand before the next request.
            reusable = written
                    && (connectionWords == null
                            || !connectionWords
                                    .toLowerCase(java.util.Locale.ROOT)
                                    .contains("close"));
            Stream.read(
                    x.getResponseChannel(),
                    buffers,
                    manner.buffered,
                    body -> {
                        if (over) {
                            return;
                        }
                        boolean whole = body.whole();
                        over = whole;
                        try {
                            receiver.answer(new Answer(code, headers, body));
                        } finally {
                            if (whole) {
                                release(reusable);
                            }
                        }
                    },
                    e -> fail(Reach.SENT, "answer broken off: " + e.getMessage()));
        }

        /** Whether the answer says, in one way only, where it ends. */
        private boolean framed(HeaderMap headers, boolean bodiless) {
            int lengths = headers.count(Headers.CONTENT_LENGTH);
            int codings = headers.count(Headers.TRANSFER_ENCODING);
            if (lengths + codings != 1) {
                return bodiless && lengths + codings == 0;
            }
            return lengths == 1
                    ? headers.getFirst(Headers.CONTENT_LENGTH).chars().allMatch(c -> c >= '0' && c <= '9')
                    : headers.getFirst(Headers.TRANSFER_ENCODING).equalsIgnoreCase("chunked");
        }

        /** The answer was not to this request: whatever comes next on this connection is not to be trusted either. */
        public void spoil() {
            reusable = false;
            finished(false);
        }

        /** To be called when the rest of a streamed answer has been passed on whole, or has failed. */
        public void finished(boolean whole) {
            if (!over) {
                over = true;
                release(whole && reusable);
            }
        }

        private void release(boolean reuse) {
            if (patience != null) {
                patience.cancel();
            }
            ClientConnection c = connection;
            connection = null;
            if (c == null) {
                return;
            }
            if (!reuse) {
                writer.run();
                if (!written && sink != null) {
                    // The connection's own close would end the chunks first, and a part of a body would look whole.
                    IoUtils.safeClose(sink);
                }
                IoUtils.safeClose(c);
                return;
            }
            long until = loop.now() + manner.idleMs;
            // One turn of the loop later, so that bytes behind the answer's end are seen first and close it.
            loop.after(0, () -> {
                if (c.isOpen()) {
                    idle.computeIfAbsent(address, a -> new ArrayDeque<>()).push(new Idle(c, until));
                }
            });
        }
    }

    /** Sends one request; the receiver hears exactly once. */
    public Call send(String address, Manner manner, Request request, Receiver receiver) {
        Call call = new Call(address, manner, request, receiver);
        ClientConnection kept = takeIdle(address);
        if (kept != null) {
            call.send(kept);
        } else {
            call.connect();
        }
        return call;
    }

    private ClientConnection takeIdle(String address) {
        ArrayDeque<Idle> q = idle.get(address);
        while (q != null && !q.isEmpty()) {
            Idle i = q.pop();
            if (i.connection.isOpen() && i.until > loop.now()) {
                return i.connection;
            }
            IoUtils.safeClose(i.connection);
        }
        return null;
    }

    /** Closes the kept connections to an address. */
    public void forget(String address) {
        ArrayDeque<Idle> q = idle.remove(address);
        if (q != null) {
            q.forEach(i -> IoUtils.safeClose(i.connection));
        }
    }

    private void sweep() {
        long now = loop.now();
        for (Iterator<ArrayDeque<Idle>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<Idle> q = all.next();
            q.removeIf(i -> {
                boolean stale = i.until <= now || !i.connection.isOpen();
                if (stale) {
                    IoUtils.safeClose(i.connection);
                }
                return stale;
            });
            if (q.isEmpty()) {
                all.remove();
            }
        }
    }
}
