package bramblespool.role;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.HttpWire;
import bramblespool.transport.Loop;
import bramblespool.transport.Ports;
import bramblespool.transport.Upstream;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import org.xnio.OptionMap;

/** A data plane process: what weft and hem share. */
abstract class Side implements Daemon {
    private static final String READY = "/bramblespool/readiness";
    /** Between daemons connections are kept so long that traffic comes back to most of them. */
    private static final int PEER_IDLE_MS = 60_000;

    private static final long CLIENT_HEADER = 1 << 20;
    /** A connection that never brings a request is closed after so many times what one may rest between two. */
    private static final int SILENT = 8;

    final Loop loop;
    final EventLog log;
    final Settings settings;
    final DataPlaneNode core;
    final Ports ports;
    final Upstream upstream;
    private final Outbound outbound;
    private final HttpOpenListener clients;
    private final Resting<ServerConnection> resting;
    private RoutingConfiguration.Limits limits = RoutingConfiguration.Limits.DEFAULT;
    private boolean said;

    /** {@code target}: the service of this machine's server, or null where there is none. */
    Side(Settings s, String target, Loop loop, EventLog log) throws IOException {
        this.loop = loop;
        this.log = log;
        this.settings = s;
        Settings.Bounds b = s.bounds();
        long connectMs = b.quietPeriodMs() / 12;
        ports = new Ports(loop, log);
        upstream = new Upstream(loop, ports.buffers());
        HttpWire wire = new HttpWire(loop, upstream, ports.buffers(), PEER_IDLE_MS / 2, log);
        core = new DataPlaneNode(s, loop, wire, log);
        wire.serve(core);
        Courier courier = new Courier(loop, upstream, core.usageCounter, connectMs, b.quietPeriodMs());
        outbound = new Outbound(
                loop,
                core,
                courier,
                upstream,
                ports.buffers(),
                s.node(),
                target == null ? "" : target,
                new Upstream.Manner(connectMs, PEER_IDLE_MS / 2, Courier.BUFFERED),
                new Outbound.Doubts() {
                    @Override
                    public void silent(EndpointDirectory.Proxy p) {
                        core.ping(p);
                    }

                    @Override
                    public void behind() {
                        core.onVersionMismatch();
                    }
                },
                log);
        Inbound inbound = new Inbound(
                loop,
                core.shadowCommit,
                core.admissions,
                courier,
                ports.buffers(),
                target,
                core::onCallerTag,
                core::hasLeft);
        ports.listen(s.peerAddress(), wire, peerBounds());
        ports.listen(s.inboundAddress(), inbound, Ports.bounds(CLIENT_HEADER, -1, PEER_IDLE_MS, PEER_IDLE_MS));
        ports.listen(s.readinessAddress(), this::readiness, peerBounds());
        resting = new Resting<>(loop, limits.idleTimeoutMs());
        clients = ports.listen(s.outboundAddress(), this::client, clientBounds());
    }

    /** To be called once all listening is done. */
    final void begin() {
        core.start();
        loop.every(settings.bounds().quietPeriodMs() / 30, this::watch);
        loop.every(settings.bounds().quietPeriodMs() / 10, resting::sweep);
    }

    static OptionMap peerBounds() {
        return Ports.bounds(CLIENT_HEADER, HttpWire.LARGEST, PEER_IDLE_MS, PEER_IDLE_MS);
    }

    private OptionMap clientBounds() {
        return Ports.bounds(limits.headerBytes(), limits.bodyBytes(), (int) limits.headerReadTimeoutMs(), (int)
                Math.min(Integer.MAX_VALUE, limits.idleTimeoutMs() * SILENT));
    }

    /**
     * A request of a client's: the limits on its body, where its length is told, and on the rest after it are those of now,
     * whenever the connection came.
     */
    private void client(HttpServerExchange x) throws Exception {
        RoutingConfiguration config = core.shadowCommit.realConfiguration();
        if (config != null) {
            x.setMaxEntitySize(config.limits.bodyBytes());
            resting.bound(config.limits.idleTimeoutMs());
        }
        // Should its body break off, this is what the exchange ends with; every other end says its own.
        x.setStatusCode(StatusCodes.BAD_REQUEST);
        ServerConnection c = x.getConnection();
        resting.begins(c);
        x.addExchangeCompleteListener((done, next) -> {
            resting.ends(c);
            next.proceed();
        });
        outbound.handleRequest(x);
    }

    /** Ends an exchange whose body broke off or was over its connection's bound: nothing was taken. */
    static void unread(HttpServerExchange x, IOException e) {
        x.setStatusCode(
                e instanceof RequestTooBigException ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : StatusCodes.BAD_REQUEST);
        x.endExchange();
    }

    /**
     * Takes over the operator's limits; those on heads and on bodies without a length hold on connections
     * that come from now on.
     */
    private void watch() {
        RoutingConfiguration c = core.shadowCommit.realConfiguration();
        if (c != null && !c.limits.equals(limits)) {
            limits = c.limits;
            clients.setUndertowOptions(clientBounds());
            resting.bound(limits.idleTimeoutMs());
        }
        if (c != null) {
            configured(c);
        }
        if (core.isReady() && !said) {
            said = true;
            log.log(Event.READY, "epoch", c.epoch);
        }
    }

    /** Called now and then with the version in force. */
    void configured(RoutingConfiguration c) {}

    private void readiness(HttpServerExchange x) {
        if (!x.getRequestURI().equals(READY)) {
            x.setStatusCode(404);
        } else if (!x.getRequestMethod().equals(Methods.GET)) {
            x.setStatusCode(405);
        } else {
            x.setStatusCode(core.isReady() ? 200 : 503);
        }
    }

    @Override
    public void settings(Settings fresh) {
        core.updateSettings(fresh);
    }

    /** Not ready at once; goes on serving who still comes, and its servers with it; then finishes what it holds. */
    @Override
    public void stop(long grace, Runnable stopped) {
        outbound.stopping();
        core.shutDownGracefully(grace * 2 / 5);
        loop.after(grace * 2 / 5, () -> {
            ports.close();
            long until = loop.now() + grace * 2 / 5;
            finish(until, stopped);
        });
    }

    private void finish(long until, Runnable stopped) {
        if (outbound.held() == 0 && core.admissions.load() == 0 || loop.now() >= until) {
            // Nothing more is read from them, so that nothing is read and left without an answer.
            resting.close();
            stopped.run();
        } else {
            loop.after(10, () -> finish(until, stopped));
        }
    }
}
