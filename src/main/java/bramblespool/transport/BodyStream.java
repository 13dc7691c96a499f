package bramblespool.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Non-blocking reading and writing of bodies. Confined to the event loop. */
public final class BodyStream {
    /**
     * A body, complete or in part.
     *
     * @param prefix the bytes that were read
     * @param remainder the channel with the rest; null where the body is complete
     */
    public record Body(byte[] prefix, StreamSourceChannel remainder) {
        /** A complete body without bytes. */
        public static final Body EMPTY = new Body(new byte[0], null);

        /** Whether {@link #prefix} is the whole body. */
        public boolean isComplete() {
            return remainder == null;
        }
    }

    private BodyStream() {}

    /**
     * Reads to the end, or until more than {@code maxBytes} are read. Exactly one callback runs, possibly before this
     * returns.
     */
    public static void read(
            StreamSourceChannel channel,
            ByteBufferPool bufferPool,
            int maxBytes,
            Consumer<Body> onComplete,
            Consumer<IOException> onFailure) {
        new Reader(bufferPool, maxBytes, onComplete, onFailure).handleEvent(channel);
    }

    private static final class Reader implements ChannelListener<StreamSourceChannel> {
        private final ByteBufferPool bufferPool;
        private final int maxBytes;
        private final Consumer<Body> onComplete;
        private final Consumer<IOException> onFailure;
        private byte[] bytes = new byte[0];
        private int size;
        private boolean isAwaitingData;

        Reader(ByteBufferPool bufferPool, int maxBytes, Consumer<Body> onComplete, Consumer<IOException> onFailure) {
            this.bufferPool = bufferPool;
            this.maxBytes = maxBytes;
            this.onComplete = onComplete;
            this.onFailure = onFailure;
        }

        @Override
        public void handleEvent(StreamSourceChannel channel) {
            Body body;
            try (PooledByteBuffer pooled = bufferPool.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int bytesRead = channel.read(buffer);
                    if (bytesRead == 0) {
                        if (!isAwaitingData) {
                            isAwaitingData = true;
                            channel.getReadSetter().set(this);
                            channel.resumeReads();
                        }
                        return;
                    }
                    if (bytesRead < 0) {
                        body = new Body(size == bytes.length ? bytes : Arrays.copyOf(bytes, size), null);
                        break;
                    }
                    buffer.flip();
                    if (size + bytesRead > bytes.length) {
                        bytes = Arrays.copyOf(
                                bytes, Math.max(size + bytesRead, Math.min(bytes.length * 2, maxBytes + bytesRead)));
                    }
                    buffer.get(bytes, size, bytesRead);
                    size += bytesRead;
                    if (size > maxBytes) {
                        body = new Body(Arrays.copyOf(bytes, size), channel);
                        break;
                    }
                }
            } catch (IOException e) {
                stopReading(channel);
                onFailure.accept(e);
                return;
            }
            stopReading(channel);
            onComplete.accept(body);
        }

        private void stopReading(StreamSourceChannel channel) {
            if (isAwaitingData) {
                channel.suspendReads();
                channel.getReadSetter().set(null);
            }
        }
    }

    /**
     * Writes the prefix, then the rest as it arrives, and shuts down the channel's writes. Exactly one callback runs,
     * possibly before this returns.
     *
     * @return cancels the writing without a callback
     */
    public static Runnable write(
            Body body,
            StreamSinkChannel sink,
            ByteBufferPool bufferPool,
            Runnable onComplete,
            Consumer<IOException> onFailure) {
        Writer writer = new Writer(body, sink, bufferPool, onComplete, onFailure);
        writer.run();
        return writer::cancel;
    }

    private static final class Writer {
        private final StreamSourceChannel source;
        private final StreamSinkChannel sink;
        private final ByteBufferPool bufferPool;
        private final Runnable onComplete;
        private final Consumer<IOException> onFailure;
        private ByteBuffer chunk;
        private PooledByteBuffer pooled;
        private boolean hasShutDownWrites;
        private boolean isFinished;

        Writer(
                Body body,
                StreamSinkChannel sink,
                ByteBufferPool bufferPool,
                Runnable onComplete,
                Consumer<IOException> onFailure) {
            this.source = body.remainder;
            this.sink = sink;
            this.bufferPool = bufferPool;
            this.onComplete = onComplete;
            this.onFailure = onFailure;
            this.chunk = ByteBuffer.wrap(body.prefix);
        }

        void run() {
            if (isFinished) {
                return;
            }
            try {
                while (true) {
                    while (chunk.hasRemaining()) {
                        if (sink.write(chunk) == 0) {
                            awaitSink();
                            return;
                        }
                    }
                    if (source != null && !hasShutDownWrites) {
                        if (pooled == null) {
                            pooled = bufferPool.allocate();
                            chunk = pooled.getBuffer();
                        }
                        chunk.clear();
                        int bytesRead = source.read(chunk);
                        chunk.flip();
                        if (bytesRead == 0) {
                            awaitSource();
                            return;
                        }
                        if (bytesRead > 0) {
                            continue;
                        }
                        chunk = ByteBuffer.allocate(0);
                    }
                    if (!hasShutDownWrites) {
                        hasShutDownWrites = true;
                        sink.shutdownWrites();
                    }
                    if (!sink.flush()) {
                        awaitSink();
                        return;
                    }
                    finish(null);
                    return;
                }
            } catch (IOException e) {
                finish(e);
            }
        }

        private void awaitSink() {
            if (source != null) {
                source.suspendReads();
            }
            sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) channel -> {
                channel.suspendWrites();
                run();
            });
            sink.resumeWrites();
        }

        private void awaitSource() {
            source.getReadSetter().set((ChannelListener<StreamSourceChannel>) channel -> {
                channel.suspendReads();
                run();
            });
            source.resumeReads();
        }

        private void cancel() {
            isFinished = true;
            if (pooled != null) {
                pooled.close();
                pooled = null;
            }
        }

        private void finish(IOException failure) {
            cancel();
            if (failure == null) {
                onComplete.run();
            } else {
                onFailure.accept(failure);
            }
        }
    }
}
