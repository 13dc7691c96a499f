package bramblespool.proxy;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that the client of an exchange closes its connection, or shuts down its writing side, between the end of its
 * request and the end of the response. Undertow reads nothing from a connection in that time, so that without a watch a
 * close shows only when the response is written.
 *
 * <p>Bytes of a pipelined request that arrive meanwhile are kept for it, up to one buffer; beyond that nothing more is
 * read until the response is complete, and a close behind those bytes is not noticed. Confined to the event loop.
 */
final class ClientConnectionWatch implements ChannelListener<ConduitStreamSourceChannel> {
    private final AbstractServerConnection connection;
    private final ConduitStreamSourceChannel channel;
    private final StreamSourceConduit source;
    private final ByteBufferPool bufferPool;
    private final Runnable onClosed;
    private boolean hasEnded;

    private ClientConnectionWatch(AbstractServerConnection connection, Runnable onClosed) {
        this.connection = connection;
        this.channel = connection.getChannel().getSourceChannel();
        this.source = connection.getOriginalSourceConduit();
        this.bufferPool = connection.getByteBufferPool();
        this.onClosed = onClosed;
    }

    /**
     * Watches the connection of an exchange whose request was read to its end, until the exchange is complete. {@code
     * onClosed} runs at most once, never before this returns.
     */
    static void start(HttpServerExchange exchange, Runnable onClosed) {
        ClientConnectionWatch watch =
                new ClientConnectionWatch((AbstractServerConnection) exchange.getConnection(), onClosed);
        exchange.addExchangeCompleteListener((done, next) -> {
            watch.end();
            next.proceed();
        });
        watch.channel.setReadListener(watch);
        watch.source.resumeReads();
    }

    /** Hands the connection back to Undertow, which sets its own listener for the next request. */
    private void end() {
        if (!hasEnded) {
            hasEnded = true;
            source.suspendReads();
            channel.setReadListener(null);
        }
    }

    @Override
    public void handleEvent(ConduitStreamSourceChannel readable) {
        if (hasEnded) {
            return;
        }
        try {
            int bytesRead = readAhead();
            while (bytesRead > 0) {
                bytesRead = readAhead();
            }
            if (bytesRead < 0) {
                reportClose();
            }
        } catch (IOException e) {
            reportClose();
        }
    }

    private void reportClose() {
        end();
        onClosed.run();
    }

    /** Reads behind the bytes kept so far; returns as a channel does, and 0 where there is no more room. */
    private int readAhead() throws IOException {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            return readFirst();
        }
        ByteBuffer buffer = kept.getBuffer();
        buffer.compact();
        try {
            if (!buffer.hasRemaining()) {
                source.suspendReads();
                return 0;
            }
            return source.read(buffer);
        } finally {
            buffer.flip();
        }
    }

    private int readFirst() throws IOException {
        PooledByteBuffer pooled = bufferPool.allocate();
        boolean isKept = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.clear();
            int bytesRead = source.read(buffer);
            if (bytesRead > 0) {
                buffer.flip();
                connection.setExtraBytes(pooled);
                isKept = true;
            }
            return bytesRead;
        } finally {
            if (!isKept) {
                pooled.close();
            }
        }
    }
}
