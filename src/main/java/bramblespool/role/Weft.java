package bramblespool.role;

import bramblespool.coordination.WeftCore;
import bramblespool.protocol.Beat;
import bramblespool.protocol.Names;
import bramblespool.state.Config;
import bramblespool.state.Log;
import bramblespool.state.Log.Event;
import bramblespool.state.Settings;
import bramblespool.transport.HttpWire;
import bramblespool.transport.Loop;
import bramblespool.transport.Ports;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The data plane's process. */
public final class Weft implements Daemon {
    private static final String READY = "/bramblespool/readiness";
    private static final int BEAT_BYTES = 4096;
    /** Between wefts connections are kept so long that traffic comes back to most of them. */
    private static final int PEER_IDLE_MS = 60_000;
    private static final long CLIENT_HEADER = 1 << 20;
    /** Slots granted to a server whose capacity nobody has told yet. */
    private static final int FIRST_SLOTS = 2;

    private final Loop loop;
    private final Log log;
    private final WeftCore core;
    private final Ports ports;
    private final Outbound outbound;
    private HttpOpenListener clients;
    private Config.Limits limits;
    private boolean stopping;
    private boolean said;
    private boolean probed;
    private final Settings settings;
    private final Upstream upstream;

    public Weft(Settings s, Loop loop, Log log) throws IOException {
        this.loop = loop;
        this.log = log;
        this.settings = s;
        Settings.Bounds b = s.bounds();
        long connectMs = b.quiet() / 12;
        ports = new Ports(loop, log);
        upstream = new Upstream(loop, ports.buffers());
        HttpWire wire = new HttpWire(loop, upstream, ports.buffers(), PEER_IDLE_MS / 2, log);
        core = new WeftCore(s, loop, wire, log);
        wire.serve(core);
        Courier courier = new Courier(loop, core.gate, upstream, s.appAddr(), connectMs, b.quiet());
        outbound = new Outbound(loop, core.shadow, core.fleet, core.gate, core.budget, courier, upstream,
                ports.buffers(), s.node(), s.target(),
                new Upstream.Manner(connectMs, PEER_IDLE_MS / 2, Courier.BUFFERED), new Outbound.Doubts() {
                    @Override
                    public void silent(bramblespool.coordination.Fleet.Member m) {
                        core.ask(m);
                    }

                    @Override
                    public void behind() {
                        core.behind();
                    }
                }, log);
        Inbound inbound = new Inbound(loop, core.shadow, core.gate, courier, ports.buffers(), s.target(), core::marked);
        var peers = Ports.bounds(CLIENT_HEADER, HttpWire.LARGEST, PEER_IDLE_MS, PEER_IDLE_MS);
        ports.listen(s.peer(), wire, peers);
        ports.listen(s.inbound(), inbound, Ports.bounds(CLIENT_HEADER, -1, PEER_IDLE_MS, PEER_IDLE_MS));
        ports.listen(s.ready(), this::readiness, peers);
        ports.listen(s.control(), this::control, peers);
        limits = Config.Limits.UNSET;
        clients = ports.listen(s.outbound(), outbound, clientBounds());
        core.start();
        loop.every(b.quiet() / 30, this::watch);
    }

    private org.xnio.OptionMap clientBounds() {
        return Ports.bounds(limits.headerBytes(), limits.bodyBytes(), (int) limits.headerRead(), (int) limits.idle());
    }

    /** Puts the operator's limits on connections that come from now on. */
    private void watch() {
        Config c = core.shadow.real();
        if (c != null && !c.limits.equals(limits)) {
            limits = c.limits;
            clients.setUndertowOptions(clientBounds());
        }
        if (c != null && !probed) {
            probed = true;
            if (core.gate.id() == null && !settings.bootstrap()) {
                probe(c);
            }
        }
        if (core.ready() && !said) {
            said = true;
            log.say(Event.READY, "epoch", c.epoch);
        }
    }

    /** After a restart the server may have been running all along, and its next beat is some way off: it is asked once. */
    private void probe(Config c) {
        Config.Service service = c.services.get(settings.target());
        if (service == null) {
            return;
        }
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, settings.appAddr());
        long patience = settings.bounds().quiet() / 6;
        Upstream.Call[] call = new Upstream.Call[1];
        var timer = loop.after(patience, () -> call[0].drop());
        call[0] = upstream.send(settings.appAddr(), new Upstream.Manner(patience, patience, BEAT_BYTES),
                new Upstream.Request(Methods.GET, service.probePath(), headers, Stream.Body.EMPTY),
                new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        timer.cancel();
                        String id = a.headers().getFirst(Names.INSTANCE_ID);
                        if (a.code() == 200 && id != null) {
                            core.gate.probed(id, core.fleet.capacityOf(settings.target(), FIRST_SLOTS),
                                    Math.max(0, Exchanges.number(a.headers().getFirst(Names.WARMUP))));
                        }
                    }

                    @Override
                    public void failed(Upstream.Reach reach, String cause) {
                        timer.cancel();
                    }
                });
    }

    private void readiness(HttpServerExchange x) {
        if (!x.getRequestURI().equals(READY)) {
            x.setStatusCode(404);
        } else if (!x.getRequestMethod().equals(Methods.GET)) {
            x.setStatusCode(405);
        } else {
            x.setStatusCode(core.ready() && !stopping ? 200 : 503);
        }
    }

    private void control(HttpServerExchange x) {
        String path = x.getRequestURI();
        String beat = Beat.beatOf(path);
        String leave = Beat.leaveOf(path);
        if (beat == null && leave == null) {
            x.setStatusCode(404);
        } else if (!x.getRequestMethod().equals(Methods.POST)) {
            x.setStatusCode(405);
        } else if (leave != null) {
            core.gate.leave(leave);
            answer(x, 200, "{}");
        } else {
            x.dispatch(SameThreadExecutor.INSTANCE, () -> Stream.read(x.getRequestChannel(), ports.buffers(),
                    BEAT_BYTES, body -> beat(x, beat, body), e -> x.endExchange()));
        }
    }

    private void beat(HttpServerExchange x, String id, Stream.Body body) {
        if (!body.whole()) {
            Exchanges.sayAndClose(x, 413, "a heartbeat holds at most " + BEAT_BYTES + " bytes");
            return;
        }
        String no;
        try {
            no = core.beat(Beat.read(id, body.head()));
        } catch (Config.Invalid e) {
            no = e.getMessage();
        }
        if (no != null) {
            log.once(Event.BEAT_REFUSED, no, "server", id, "why", no);
        }
        answer(x, no == null ? 200 : 400, no == null ? "{}" : "{\"error\":" + new com.google.gson.JsonPrimitive(no) + "}");
    }

    static void answer(HttpServerExchange x, int status, String json) {
        x.setStatusCode(status);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseSender().send(ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void settings(Settings fresh) {
        core.settings(fresh);
    }

    /** Not ready at once; goes on serving who still comes; then finishes what it holds. */
    @Override
    public void stop(long grace, Runnable stopped) {
        stopping = true;
        outbound.stopping();
        core.leave();
        loop.after(grace * 2 / 5, () -> {
            ports.close();
            long until = loop.now() + grace * 2 / 5;
            finish(until, stopped);
        });
    }

    private void finish(long until, Runnable stopped) {
        if (outbound.held() == 0 && core.gate.load() == 0 || loop.now() >= until) {
            stopped.run();
        } else {
            loop.after(10, () -> finish(until, stopped));
        }
    }
}
