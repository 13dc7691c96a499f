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

/** Reading and writing of bodies without blocking. */
public final class Stream {
    /** What was read: the whole body, or its beginning with the channel that holds the rest. */
    public record Body(byte[] head, StreamSourceChannel rest) {
        public static final Body EMPTY = new Body(new byte[0], null);

        public boolean whole() {
            return rest == null;
        }
    }

    private Stream() {}

    /** Reads until the end or until the limit is passed. */
    public static void read(
            StreamSourceChannel channel,
            ByteBufferPool pool,
            int limit,
            Consumer<Body> done,
            Consumer<IOException> failed) {
        new Reader(channel, pool, limit, done, failed).handleEvent(channel);
    }

    private static final class Reader implements ChannelListener<StreamSourceChannel> {
        private final ByteBufferPool pool;
        private final int limit;
        private final Consumer<Body> done;
        private final Consumer<IOException> failed;
        private byte[] held = new byte[0];
        private int size;
        private boolean waiting;

        Reader(
                StreamSourceChannel channel,
                ByteBufferPool pool,
                int limit,
                Consumer<Body> done,
                Consumer<IOException> failed) {
            this.pool = pool;
            this.limit = limit;
            this.done = done;
            this.failed = failed;
        }

        @Override
        public void handleEvent(StreamSourceChannel channel) {
            Body body;
            try (PooledByteBuffer pooled = pool.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int n = channel.read(buffer);
                    if (n == 0) {
                        if (!waiting) {
                            waiting = true;
                            channel.getReadSetter().set(this);
                            channel.resumeReads();
                        }
                        return;
                    }
                    if (n < 0) {
                        body = new Body(size == held.length ? held : Arrays.copyOf(held, size), null);
                        break;
                    }
                    buffer.flip();
                    if (size + n > held.length) {
                        held = Arrays.copyOf(held, Math.max(size + n, Math.min(held.length * 2, limit + n)));
                    }
                    buffer.get(held, size, n);
                    size += n;
                    if (size > limit) {
                        body = new Body(Arrays.copyOf(held, size), channel);
                        break;
                    }
                }
            } catch (IOException e) {
                stop(channel);
                failed.accept(e);
                return;
            }
            stop(channel);
            done.accept(body);
        }

        private void stop(StreamSourceChannel channel) {
            if (waiting) {
                channel.suspendReads();
                channel.getReadSetter().set(null);
            }
        }
    }

    /** Writes the beginning, then the rest as it comes, then ends the channel. What it returns stops it without a word. */
    public static Runnable write(
            Body body, StreamSinkChannel sink, ByteBufferPool pool, Runnable done, Consumer<IOException> failed) {
        Writer w = new Writer(body, sink, pool, done, failed);
        w.run();
        return w::stop;
    }

    private static final class Writer {
        private final StreamSourceChannel source;
        private final StreamSinkChannel sink;
        private final ByteBufferPool pool;
        private final Runnable done;
        private final Consumer<IOException> failed;
        private ByteBuffer chunk;
        private PooledByteBuffer pooled;
        private boolean ended;
        private boolean over;

        Writer(Body body, StreamSinkChannel sink, ByteBufferPool pool, Runnable done, Consumer<IOException> failed) {
            this.source = body.rest;
            this.sink = sink;
            this.pool = pool;
            this.done = done;
            this.failed = failed;
            this.chunk = ByteBuffer.wrap(body.head);
        }

        void run() {
            if (over) {
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
                    if (source != null && !ended) {
                        if (pooled == null) {
                            pooled = pool.allocate();
                            chunk = pooled.getBuffer();
                        }
                        chunk.clear();
                        int n = source.read(chunk);
                        chunk.flip();
                        if (n == 0) {
                            awaitSource();
                            return;
                        }
                        if (n > 0) {
                            continue;
                        }
                        chunk = ByteBuffer.allocate(0);
                    }
                    if (!ended) {
                        ended = true;
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
            sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) c -> {
                c.suspendWrites();
                run();
            });
            sink.resumeWrites();
        }

        private void awaitSource() {
            source.getReadSetter().set((ChannelListener<StreamSourceChannel>) c -> {
                c.suspendReads();
                run();
            });
            source.resumeReads();
        }

        private void stop() {
            over = true;
            if (pooled != null) {
                pooled.close();
                pooled = null;
            }
        }

        private void finish(IOException e) {
            stop();
            if (e == null) {
                done.run();
            } else {
                failed.accept(e);
            }
        }
    }
}
