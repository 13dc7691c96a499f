package bramblespool.role;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.Heartbeat;
import bramblespool.proxy.InboundHandler;
import bramblespool.proxy.OutboundHandler;
import bramblespool.proxy.ServerForwarder;
import bramblespool.sim.SimMesh;
import bramblespool.state.EventLog;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.EventLoop;
import bramblespool.transport.HttpPeerTransport;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import java.io.EOFException;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Daemons of the data plane on real sockets, in whose clocks time passes only when the test says so. One takes clients'
 * requests; its service {@code desk} is behind two inbound daemons with a stand-in for a server each, and {@code shop}
 * behind two stand-ins for inbound daemons.
 */
final class Scene implements AutoCloseable {
    /** Whatever takes so long hangs; nothing is expected to come near it. */
    static final int GUARD_S = Integer.getInteger("guard", 120);
    /** A loopback address of this process alone, so that nobody else takes a port between two listeners. */
    static final String IP = "127." + (1 + ProcessHandle.current().pid() / 62500 % 250) + "."
            + (ProcessHandle.current().pid() / 250 % 250) + "."
            + (1 + ProcessHandle.current().pid() % 250);

    private static final long NEVER_MS = 1_000_000_000;
    private static final EventLoop LOOP = loop();

    private static EventLoop loop() {
        try {
            return new EventLoop(EventLog.silent());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Stands still until it is told to go on. */
    static final class HeldClock implements Clock {
        private record Due(long at, long order, Runnable task) {}

        private final PriorityQueue<Due> waiting =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private final SplittableRandom chance = new SplittableRandom(7);
        private long now = 1_000_000;
        private long orders;

        @Override
        public long nowMs() {
            return now;
        }

        @Override
        public long wallTimeMs() {
            return now;
        }

        @Override
        public double random() {
            return chance.nextDouble();
        }

        @Override
        public Timer schedule(long ms, Runnable task) {
            if (ms <= 0) {
                return LOOP.schedule(0, task);
            }
            Due d = new Due(now + ms, ++orders, task);
            waiting.add(d);
            return () -> waiting.remove(d);
        }

        void advance(long ms) {
            on(() -> {
                long until = now + ms;
                while (!waiting.isEmpty() && waiting.peek().at <= until) {
                    Due d = waiting.poll();
                    now = d.at;
                    d.task.run();
                }
                now = until;
                return null;
            });
        }
    }

    final HeldClock clock = new HeldClock();
    final StandIn.Book book = new StandIn.Book();
    final HttpPeerTransport wire;
    private final List<Listeners> ports = new ArrayList<>();
    private final List<StandIn> ends = new ArrayList<>();
    private final String outbound;
    /** Where calls between daemons come in at a real one. */
    final String inbound;
    /** The end of a peer message. */
    final String peer;

    Scene() throws Exception {
        RoutingConfiguration config = RoutingConfiguration.compile(SimMesh.document(3, 0, "x")
                .replace(
                        "[\"r\",\"x.example\",\"/x/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]",
                        route("SERVER", "mutating", "desk") + "," + route("SERVER", "idempotent", "desk") + ","
                                + route("PEER", "mutating", "shop") + "," + route("PEER", "idempotent", "shop"))
                .replace(
                        "[\"desk\",\"/health\"",
                        "[\"shop\",\"/health\",100,\"h1\",false,\"3s\",13.0],[\"desk\",\"/health\""));
        List<ObjectNode> doors = new ArrayList<>();
        String first = null;
        for (int i = 0; i < 2; i++) {
            String server = end(StandIn.Hop.SERVER);
            DataPlaneNode core = core("in-" + i, "desk", server, config);
            Listeners p = ports();
            String at = listen(p, on(() -> {
                core.onHeartbeat(new Heartbeat("i-1", "desk", server, "z", 8, false, 0, 1));
                UpstreamClient upstream = new UpstreamClient(LOOP, p.bufferPool());
                return new InboundHandler(
                        clock,
                        core.shadowCommit,
                        core.admissions,
                        new ServerForwarder(clock, upstream, null, NEVER_MS, NEVER_MS),
                        p.bufferPool(),
                        "desk",
                        (from, mark) -> {},
                        () -> false);
            }));
            first = first == null ? at : first;
            doors.add(door(at, "desk"));
            doors.add(door(end(StandIn.Hop.PEER), "shop"));
        }
        inbound = first;
        peer = end(StandIn.Hop.MESSAGE);
        DataPlaneNode core = core("out", "own", "127.0.0.1:1", config);
        Listeners p = ports();
        UpstreamClient upstream = on(() -> new UpstreamClient(LOOP, p.bufferPool()));
        wire = new HttpPeerTransport(clock, upstream, p.bufferPool(), NEVER_MS, EventLog.silent());
        outbound = listen(p, on(() -> {
            for (ObjectNode d : doors) {
                core.endpointDirectory.onUpdate(new GossipStore.GossipEntry(
                        EndpointDirectory.PROXY_KEY_PREFIX + d.path("inbound").asText(), 1, 1, d));
            }
            return new OutboundHandler(
                    clock,
                    core,
                    new ServerForwarder(clock, upstream, null, NEVER_MS, NEVER_MS),
                    upstream,
                    p.bufferPool(),
                    "out",
                    "own",
                    new UpstreamClient.ConnectionOptions(NEVER_MS, NEVER_MS, ServerForwarder.MAX_BUFFERED_BYTES),
                    new OutboundHandler.ProxyObserver() {
                        @Override
                        public void onProxySilent(EndpointDirectory.Proxy peer) {}

                        @Override
                        public void onVersionMismatch() {}
                    },
                    EventLog.silent());
        }));
    }

    private static String route(String hop, String routeClass, String target) {
        return "[\"" + hop + routeClass + "\",\"x.example\",\"/" + hop + "/" + routeClass + "/\",\"" + routeClass
                + "\",\"1500ms\",null,1,null,2,\"" + target + "\"]";
    }

    private static ObjectNode door(String inbound, String target) {
        ObjectNode b = JsonNodeFactory.instance
                .objectNode()
                .put("peer", inbound)
                .put("inbound", inbound)
                .put("zone", "z");
        b.putArray("doors")
                .addObject()
                .put("target", target)
                .put("servers", "i-1")
                .put("capacity", 8)
                .put("open", true);
        return b;
    }

    private String end(StandIn.Hop hop) throws IOException {
        StandIn s = new StandIn(hop, book);
        ends.add(s);
        return s.address();
    }

    private Listeners ports() {
        Listeners p = new Listeners(LOOP, EventLog.silent());
        ports.add(p);
        return p;
    }

    /** Listens at a free port, and at another where that was taken meanwhile. */
    private static String listen(Listeners p, HttpHandler handler) throws IOException {
        while (true) {
            String at;
            try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
                at = IP + ":" + s.getLocalPort();
            }
            boolean listening = on(() -> {
                try {
                    p.listen(
                            at, handler, Listeners.listenerOptions(1 << 20, 100 << 20, (int) NEVER_MS, (int) NEVER_MS));
                    return true;
                } catch (BindException e) {
                    return false;
                }
            });
            if (listening) {
                return at;
            }
        }
    }

    private DataPlaneNode core(String node, String target, String app, RoutingConfiguration config)
            throws Settings.InvalidSettingsException {
        Settings s = Settings.parse("""
                node = "%1$s"
                machineClass = "sidecar"
                ip = "%2$s"
                zone = "z"
                portRange = [7000, 7010]
                seedPeers = []
                appAddr = "%3$s"
                target = "%4$s"
                beat = "1000000s"
                [listeners]
                control = "%2$s:1"
                inbound = "%2$s:2"
                outbound = "%2$s:3"
                ready = "%2$s:4"
                [limits]
                memoryMb = 0
                %5$s                """.formatted(node, IP, app, target, SimMesh.BOUNDS), "test");
        return on(() -> {
            DataPlaneNode core = new DataPlaneNode(
                    s, clock, (to, kind, body, within, answer) -> answer.accept(null), EventLog.silent());
            core.shadowCommit.adopt(config, true);
            return core;
        });
    }

    /** Does it on the loop, and waits for it. */
    static <T> T on(Callable<T> work) {
        CompletableFuture<T> done = new CompletableFuture<>();
        LOOP.post(() -> {
            try {
                done.complete(work.call());
            } catch (Exception | AssertionError e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(GUARD_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /** An answer as a client sees it; status 0: the connection ended before there was a whole one. */
    record Reply(int status, String head, String body) {
        static Reply read(Socket s) throws IOException {
            try {
                String head = StandIn.head(s.getInputStream());
                return new Reply(Integer.parseInt(head.substring(9, 12)), head, StandIn.body(s.getInputStream(), head));
            } catch (EOFException e) {
                return new Reply(0, "", "");
            }
        }
    }

    Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket s = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        s.setSoTimeout(GUARD_S * 1000);
        return s;
    }

    static void write(Socket s, String what) throws IOException {
        s.getOutputStream().write(what.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
    }

    static String request(String id, String path, String more) {
        return "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n"
                + more + "\r\n";
    }

    /** Sends a small request on a connection of its own; what comes of it. */
    CompletableFuture<Reply> send(String id, String path) {
        return CompletableFuture.supplyAsync(() -> {
            try (Socket s = connect(outbound)) {
                write(s, request(id, path, "Content-Length: 4\r\n") + "body");
                return Reply.read(s);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** A connection to the daemon that takes clients' requests. */
    Socket client() throws IOException {
        return connect(outbound);
    }

    @Override
    public void close() throws IOException {
        book.go.countDown();
        for (StandIn s : ends) {
            s.close();
        }
        on(() -> {
            ports.forEach(Listeners::close);
            return null;
        });
    }
}
