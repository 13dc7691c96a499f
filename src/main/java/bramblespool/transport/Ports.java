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

/** The process's listening sockets, all served by the one loop. */
public final class Ports {
    /** Buffers fit most heads and bodies here whole; the pool keeps few, for memory at its peak is what is paid for. */
    private static final int BUFFER_BYTES = 8192;

    private static final int BUFFERS_KEPT = 64;
    private static final int BACKLOG = 512;

    private final Loop loop;
    private final EventLog log;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS_KEPT, 8);
    private final List<AcceptingChannel<StreamConnection>> open = new ArrayList<>();

    public Ports(Loop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    public ByteBufferPool buffers() {
        return buffers;
    }

    public static OptionMap bounds(long maxHeader, long maxBody, int headerReadMs, int idleMs) {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, (int) Math.min(maxHeader, 1 << 20))
                .set(UndertowOptions.MAX_ENTITY_SIZE, maxBody)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, headerReadMs)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
                .set(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .getMap();
    }

    public HttpOpenListener listen(String address, HttpHandler handler, OptionMap bounds) throws IOException {
        HttpOpenListener http = new HttpOpenListener(buffers, bounds);
        http.setRootHandler(handler);
        InetSocketAddress at = socket(address);
        try {
            AcceptingChannel<StreamConnection> channel = loop.worker()
                    .createStreamConnectionServer(
                            at,
                            ChannelListeners.openListenerAdapter(http),
                            OptionMap.builder()
                                    .set(Options.REUSE_ADDRESSES, true)
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.BACKLOG, BACKLOG)
                                    .getMap());
            channel.resumeAccepts();
            open.add(channel);
        } catch (IOException e) {
            log.log(EventLog.Event.LISTEN_FAILED, "address", address, "error", e.getMessage());
            throw e;
        }
        return http;
    }

    public static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    public void close() {
        open.forEach(IoUtils::safeClose);
        open.clear();
    }
}
