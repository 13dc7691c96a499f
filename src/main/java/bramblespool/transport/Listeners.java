package bramblespool.transport;

import bramblespool.state.EventLog;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** The process's listening sockets, all served by the event loop. Confined to it, save for construction. */
public final class Listeners {
    /** Size of a buffer: most heads and bodies fit into one. */
    private static final int BUFFER_BYTES = 8192;
    /** Buffers that the pool keeps: few, because the peak of memory is priced. */
    private static final int MAX_POOLED_BUFFERS = 64;
    /** Connections that wait to be accepted, for each socket. */
    private static final int BACKLOG = 512;

    private final EventLoop eventLoop;
    private final EventLog log;
    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 8);
    private final List<AcceptingChannel<StreamConnection>> acceptingChannels = new ArrayList<>();

    /** Creates the buffer pool; no socket is opened. */
    public Listeners(EventLoop eventLoop, EventLog log) {
        this.eventLoop = eventLoop;
        this.log = log;
    }

    /** The buffers of the event loop, for listeners and clients. */
    public ByteBufferPool bufferPool() {
        return bufferPool;
    }

    /**
     * The options of a listener.
     *
     * @param maxHeaderBytes limit of a request's head
     * @param maxBodyBytes limit of a request's body; -1 for none
     * @param headerReadTimeoutMs how long a request's head may take to arrive
     * @param idleTimeoutMs how long a connection may be idle
     */
    public static OptionMap listenerOptions(
            long maxHeaderBytes, long maxBodyBytes, int headerReadTimeoutMs, int idleTimeoutMs) {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, (int) Math.min(maxHeaderBytes, 1 << 20))
                .set(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, headerReadTimeoutMs)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleTimeoutMs)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap();
    }

    /**
     * Opens a listening socket.
     *
     * @throws IOException where the address cannot be bound; it has been logged
     */
    public HttpOpenListener listen(String address, HttpHandler handler, OptionMap options) throws IOException {
        HttpOpenListener listener = new HttpOpenListener(bufferPool, options);
        listener.setRootHandler(handler);
        InetSocketAddress socketAddress = socketAddress(address);
        try {
            AcceptingChannel<StreamConnection> channel = eventLoop
                    .worker()
                    .createStreamConnectionServer(
                            socketAddress,
                            ChannelListeners.openListenerAdapter(listener),
                            OptionMap.builder()
                                    .set(Options.REUSE_ADDRESSES, true)
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.BACKLOG, BACKLOG)
                                    .getMap());
            channel.resumeAccepts();
            acceptingChannels.add(channel);
        } catch (IOException e) {
            log.log(EventLog.Event.LISTEN_FAILED, "address", address, "error", e.getMessage());
            throw e;
        }
        return listener;
    }

    /** Parses an address, {@code host:port}. */
    public static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Closes the listening sockets; connections stay open. */
    public void close() {
        acceptingChannels.forEach(IoUtils::safeClose);
        acceptingChannels.clear();
    }
}
