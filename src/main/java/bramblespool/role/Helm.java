package bramblespool.role;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.protocol.Beat;
import bramblespool.protocol.Orders;
import bramblespool.state.CompressedDocument;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.state.SqliteDurableStore;
import bramblespool.transport.HttpPlatform;
import bramblespool.transport.HttpWire;
import bramblespool.transport.Loop;
import bramblespool.transport.Ports;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import com.google.gson.JsonObject;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Locale;

/** The control plane's process. */
public final class Helm implements Daemon {
    private static final String CONFIG = "/bramblespool/config/";
    private static final String EVACUATION = "/bramblespool/evacuation/";
    private static final int IDLE_MS = 60_000;

    private final Loop loop;
    private final ControllerNode core;
    private final Ports ports;
    private final SqliteDurableStore vault;
    private final long retryMs;
    private final java.util.Set<String> zones;
    private int held;

    public Helm(Settings s, Loop loop, EventLog log) throws IOException {
        this.loop = loop;
        this.retryMs = s.bounds().quietPeriodMs() / 15;
        this.zones = s.zones().keySet();
        ports = new Ports(loop, log);
        Upstream upstream = new Upstream(loop, ports.buffers());
        HttpWire wire = new HttpWire(loop, upstream, ports.buffers(), IDLE_MS / 2, log);
        vault = new SqliteDurableStore(s.dataDirectory(), loop::post, loop::now, log, Helm::end);
        HttpPlatform platform = s.discovery() == Settings.Discovery.PLATFORM || s.usageReporting() != null
                ? new HttpPlatform(
                        loop, upstream, s.platformAddress(), s.bounds().drainMs() / 8)
                : null;
        core = new ControllerNode(s, vault, Long.toHexString(new SecureRandom().nextLong()), loop, wire, platform, log);
        wire.serve(core);
        var bounds = Ports.bounds(64 << 10, HttpWire.LARGEST, IDLE_MS, IDLE_MS);
        ports.listen(s.peerAddress(), wire, bounds);
        ports.listen(s.controlAddress(), this::control, bounds);
        core.start();
        log.log(Event.READY, "member", core.raft.localId());
    }

    /** With a damaged store this helm is of no use until it starts anew, as a new member. */
    private static void end() {
        // In a thread of its own: ending waits for the loop to hand over.
        new Thread(null, () -> System.exit(1), "end", 256 << 10).start();
    }

    private void control(HttpServerExchange x) {
        String path = x.getRequestURI();
        boolean get = x.getRequestMethod().equals(Methods.GET);
        boolean post = x.getRequestMethod().equals(Methods.POST);
        boolean replace = path.equals(CONFIG + "replace");
        boolean amend = path.equals(CONFIG + "amend");
        boolean read = path.equals(CONFIG + "read");
        boolean evac = path.startsWith(EVACUATION) && (path.endsWith("/begin") || path.endsWith("/finish"));
        if (Beat.beatOf(path) != null || Beat.leaveOf(path) != null) {
            // Only the weft beside a server can vouch for it.
            refuse(x, "the daemon on the server's machine is wanted");
        } else if (!replace && !amend && !read && !evac) {
            Exchanges.json(x, 404, error("no such call"));
        } else if (read ? !get : !post) {
            Exchanges.json(x, 405, error("wrong method"));
        } else if (!core.raft.isLeader()) {
            String leader = core.raft.leaderControlAddress();
            if (leader == null) {
                refuse(x, "no leader is known");
            } else {
                x.getResponseHeaders().put(Headers.LOCATION, "http://" + leader + path);
                Exchanges.json(x, 307, "{}");
            }
        } else {
            held++;
            x.addExchangeCompleteListener((done, next) -> {
                held--;
                next.proceed();
            });
            x.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> Stream.read(
                            x.getRequestChannel(),
                            ports.buffers(),
                            HttpWire.LARGEST / 4,
                            body -> order(x, path, body),
                            e -> Side.unread(x, e)));
        }
    }

    private void order(HttpServerExchange x, String path, Stream.Body body) {
        if (!body.whole()) {
            x.setPersistent(false);
            Exchanges.json(x, 413, error("too large"));
        } else if (path.equals(CONFIG + "read")) {
            core.readConfiguration(v -> {
                if (v == null) {
                    refuse(x, "no quorum");
                } else if (v.compressedDocument() == null) {
                    Exchanges.json(x, 404, error("there is no configuration yet"));
                } else {
                    readBack(x, v);
                }
            });
        } else if (path.startsWith(EVACUATION)) {
            String rest = path.substring(EVACUATION.length());
            String zone = rest.substring(0, Math.max(0, rest.lastIndexOf('/')));
            if (!zones.contains(zone)) {
                Exchanges.json(x, 404, error("no such zone: " + zone));
                return;
            }
            core.evacuate(zone, rest.endsWith("/begin"), ok -> {
                if (ok) {
                    Exchanges.json(x, 200, "{}");
                } else {
                    refuse(x, "the lead was lost");
                }
            });
        } else {
            change(x, path.endsWith("amend"), body.head());
        }
    }

    private void readBack(HttpServerExchange x, ReplicatedState.Version v) {
        try {
            Exchanges.json(x, 200, CompressedDocument.decompress(v.compressedDocument()));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void change(HttpServerExchange x, boolean amends, byte[] body) {
        Orders.Change change;
        try {
            change = Orders.change(amends, body);
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            Exchanges.json(x, 400, error(e.getMessage()));
            return;
        }
        core.submitChange(change, o -> {
            if (o.status() == 503) {
                refuse(x, o.word());
            } else if (o.status() == 200) {
                JsonObject ok = new JsonObject();
                ok.addProperty("epoch", o.epoch());
                Exchanges.json(x, 200, ok.toString());
            } else {
                Exchanges.json(x, o.status(), error(o.word()));
            }
        });
    }

    private void refuse(HttpServerExchange x, String why) {
        x.getResponseHeaders().put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryMs / 1000.0));
        Exchanges.json(x, 503, error(why));
    }

    private static String error(String what) {
        JsonObject o = new JsonObject();
        o.addProperty("error", what);
        return o.toString();
    }

    @Override
    public void settings(Settings fresh) {
        core.updateSettings(fresh);
    }

    @Override
    public void stop(long grace, Runnable stopped) {
        core.leave();
        long until = loop.now() + grace / 2;
        loop.after(grace / 50, () -> finish(until, stopped));
    }

    private void finish(long until, Runnable stopped) {
        if (held == 0 && core.hasLeft() || loop.now() >= until) {
            core.stop();
            ports.close();
            vault.close();
            stopped.run();
        } else {
            loop.after(10, () -> finish(until, stopped));
        }
    }
}
