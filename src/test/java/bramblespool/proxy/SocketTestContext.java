package bramblespool.proxy;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.Heartbeat;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import bramblespool.testing.SimulatedMesh;
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
 * Proxies on real sockets, on clocks whose time passes only when the test lets it. One takes clients' requests; its service
 * {@code desk} is behind two inbound proxies with a stand-in for a server each, and {@code shop} behind two stand-ins for
 * inbound proxies.
 */
final class SocketTestContext implements AutoCloseable {
    /** Time-out of a step that hangs; no step is expected to come near it. */
    static final int HANG_TIMEOUT_S = Integer.getInteger("guard", 120);
    /** A loopback address of this process alone, so that no other process takes a port between two listeners. */
    static final String IP = "127." + (1 + ProcessHandle.current().pid() / 62500 % 250) + "."
            + (ProcessHandle.current().pid() / 250 % 250) + "."
            + (1 + ProcessHandle.current().pid() % 250);

    private static final long NEVER_MS = 1_000_000_000;
    private static final long OVERDUE_MS = 1000;
    private static final EventLoop EVENT_LOOP = newEventLoop();

    private static EventLoop newEventLoop() {
        try {
            return new EventLoop(EventLog.silent());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * A clock that stands still until the test advances it. It differs from {@link bramblespool.testing.FakeClock}
     * since the proxies run on a real event loop: tasks run on its thread while the test advances the time from
     * another, and a task without delay goes to that loop at once, not at the next advance. Its random numbers vary.
     */
    static final class ManualClock implements Clock {
        private record ScheduledTask(long atMs, long sequence, Runnable task) {}

        private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::sequence));
        private final SplittableRandom random = new SplittableRandom(7);
        private long nowMs = 1_000_000;
        private long nextSequence;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallTimeMs() {
            return nowMs;
        }

        @Override
        public double random() {
            return random.nextDouble();
        }

        @Override
        public Timer schedule(long ms, Runnable task) {
            if (ms <= 0) {
                return EVENT_LOOP.schedule(0, task);
            }
            ScheduledTask d = new ScheduledTask(nowMs + ms, ++nextSequence, task);
            scheduled.add(d);
            return () -> scheduled.remove(d);
        }

        void advance(long durationMs) {
            runOnLoop(() -> {
                long untilMs = nowMs + durationMs;
                while (!scheduled.isEmpty() && scheduled.peek().atMs <= untilMs) {
                    ScheduledTask task = scheduled.poll();
                    nowMs = task.atMs;
                    task.task.run();
                }
                nowMs = untilMs;
                return null;
            });
        }
    }

    final ManualClock clock = new ManualClock();
    final ServerStandIn.Recorder recorder = new ServerStandIn.Recorder();
    /** The counters of all proxies of this context. */
    final Metrics metrics = new Metrics(EventLog.silent());

    final HttpPeerTransport transport;
    private final List<Listeners> listeners = new ArrayList<>();
    private final List<DataPlaneNode> serverNodes = new ArrayList<>();
    private final List<ServerStandIn> standIns = new ArrayList<>();
    private final String outboundAddress;
    /** The address at which a real proxy takes requests of other proxies. */
    final String inboundAddress;
    /** The end of a peer message. */
    final String peerAddress;

    SocketTestContext() throws Exception {
        RoutingConfiguration configuration = RoutingConfigurationParser.parse(SimulatedMesh.document(3, 0, "x")
                .replace(
                        "[\"r\",\"x.example\",\"/x/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]",
                        route("SERVER", "mutating", "desk") + "," + route("SERVER", "idempotent", "desk") + ","
                                + route("PEER", "mutating", "shop") + "," + route("PEER", "idempotent", "shop"))
                .replace(
                        "[\"desk\",\"/health\"",
                        "[\"shop\",\"/health\",100,\"h1\",false,\"3s\",13.0],[\"desk\",\"/health\""));
        List<ObjectNode> endpoints = new ArrayList<>();
        String firstInbound = null;
        for (int i = 0; i < 2; i++) {
            String serverAddress = startStandIn(ServerStandIn.Hop.SERVER);
            DataPlaneNode node = newDataPlaneNode("in-" + i, "desk", serverAddress, configuration);
            serverNodes.add(node);
            Listeners nodeListeners = newListeners();
            String address = listen(nodeListeners, runOnLoop(() -> {
                node.onHeartbeat(new Heartbeat("i-1", "desk", serverAddress, "z", 8, false, 0, 1));
                UpstreamClient upstream = new UpstreamClient(EVENT_LOOP, nodeListeners.bufferPool());
                return new InboundHandler(
                        clock,
                        node,
                        new ServerForwarder(clock, upstream, null, metrics, NEVER_MS, NEVER_MS),
                        "desk",
                        OVERDUE_MS,
                        metrics,
                        EventLog.silent());
            }));
            firstInbound = firstInbound == null ? address : firstInbound;
            endpoints.add(endpointEntry(address, "desk"));
            endpoints.add(endpointEntry(startStandIn(ServerStandIn.Hop.PEER), "shop"));
        }
        inboundAddress = firstInbound;
        peerAddress = startStandIn(ServerStandIn.Hop.MESSAGE);
        DataPlaneNode node = newDataPlaneNode("out", "own", "127.0.0.1:1", configuration);
        Listeners nodeListeners = newListeners();
        UpstreamClient upstream = runOnLoop(() -> new UpstreamClient(EVENT_LOOP, nodeListeners.bufferPool()));
        transport = new HttpPeerTransport(clock, upstream, nodeListeners.bufferPool(), NEVER_MS, EventLog.silent());
        outboundAddress = listen(nodeListeners, runOnLoop(() -> {
            for (ObjectNode endpoint : endpoints) {
                node.endpointDirectory.onUpdate(new GossipStore.GossipEntry(
                        GossipKeys.PROXY_KEY_PREFIX + endpoint.path("inbound").asText(), 1, 1, endpoint));
            }
            PeerForwarder peerForwarder = new PeerForwarder(
                    clock,
                    node.endpointDirectory,
                    upstream,
                    new UpstreamClient.ConnectionOptions(NEVER_MS, NEVER_MS, ServerForwarder.MAX_BUFFERED_BYTES),
                    new PeerForwarder.Sender("out", "own"),
                    new PeerForwarder.ProxyObserver() {
                        @Override
                        public void onProxySilent(EndpointDirectory.Proxy peer) {}

                        @Override
                        public void onVersionMismatch() {}
                    },
                    metrics);
            return new OutboundHandler(
                    clock,
                    node,
                    new ServerForwarder(clock, upstream, null, metrics, NEVER_MS, NEVER_MS),
                    peerForwarder,
                    OVERDUE_MS,
                    metrics,
                    EventLog.silent());
        }));
    }

    private static String route(String hop, String routeClass, String target) {
        return "[\"" + hop + routeClass + "\",\"x.example\",\"/" + hop + "/" + routeClass + "/\",\"" + routeClass
                + "\",\"1500ms\",null,1,null,2,\"" + target + "\"]";
    }

    private static ObjectNode endpointEntry(String inbound, String target) {
        ObjectNode endpoint = JsonNodeFactory.instance
                .objectNode()
                .put("peer", inbound)
                .put("inbound", inbound)
                .put("zone", "z");
        endpoint.putArray("doors")
                .addObject()
                .put("target", target)
                .put("servers", "i-1")
                .put("capacity", 8)
                .put("open", true);
        return endpoint;
    }

    private String startStandIn(ServerStandIn.Hop hop) throws IOException {
        ServerStandIn standIn = new ServerStandIn(hop, recorder);
        standIns.add(standIn);
        return standIn.address();
    }

    private Listeners newListeners() {
        Listeners newListeners = new Listeners(EVENT_LOOP, EventLog.silent());
        listeners.add(newListeners);
        return newListeners;
    }

    /** Listens at a free port, or at another one where that was taken meanwhile. */
    private static String listen(Listeners nodeListeners, HttpHandler handler) throws IOException {
        while (true) {
            String address;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
                address = IP + ":" + socket.getLocalPort();
            }
            boolean listening = runOnLoop(() -> {
                try {
                    nodeListeners.listen(
                            address, handler, Listeners.listenerOptions(1 << 20, 100 << 20, (int) NEVER_MS, (int)
                                    NEVER_MS));
                    return true;
                } catch (BindException e) {
                    return false;
                }
            });
            if (listening) {
                return address;
            }
        }
    }

    private DataPlaneNode newDataPlaneNode(
            String node, String target, String serverAddress, RoutingConfiguration configuration)
            throws InvalidSettingsException {
        Settings settings =
                SettingsParser.parse("""
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
                %5$s                """.formatted(node, IP, serverAddress, target, SimulatedMesh.BOUNDS), "test");
        return runOnLoop(() -> {
            DataPlaneNode dataPlaneNode = new DataPlaneNode(
                    settings, clock, (to, kind, body, within, answer) -> answer.accept(null), EventLog.silent());
            dataPlaneNode.shadowCommit.adopt(configuration, true);
            return dataPlaneNode;
        });
    }

    /** Runs a task on the event loop and waits for it. */
    static <T> T runOnLoop(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        EVENT_LOOP.post(() -> {
            try {
                result.complete(task.call());
            } catch (Exception | AssertionError e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(HANG_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /** A response as a client sees it; status 0: the connection ended before it was complete. */
    record Reply(int status, String head, String body) {
        static Reply read(Socket socket) throws IOException {
            try {
                String head = ServerStandIn.readHead(socket.getInputStream());
                return new Reply(
                        Integer.parseInt(head.substring(9, 12)),
                        head,
                        ServerStandIn.readBody(socket.getInputStream(), head));
            } catch (EOFException e) {
                return new Reply(0, "", "");
            }
        }
    }

    Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setSoTimeout(HANG_TIMEOUT_S * 1000);
        return socket;
    }

    static void write(Socket socket, String bytesAsText) throws IOException {
        socket.getOutputStream().write(bytesAsText.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static String request(String id, String path, String moreHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n"
                + moreHeaders + "\r\n";
    }

    /** Sends a small request on its own connection; returns the result. */
    CompletableFuture<Reply> send(String id, String path) {
        return CompletableFuture.supplyAsync(() -> {
            try (Socket socket = connect(outboundAddress)) {
                write(socket, request(id, path, "Content-Length: 4\r\n") + "body");
                return Reply.read(socket);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Requests queued for or running at the servers; on the event loop. */
    int serverLoad() {
        return serverNodes.stream().mapToInt(node -> node.admissions.load()).sum();
    }

    /** Waits until a condition on the proxies' state holds. */
    static void awaitOnLoop(String what, Callable<Boolean> condition) {
        long startNs = System.nanoTime();
        while (!runOnLoop(condition)) {
            if (System.nanoTime() - startNs > TimeUnit.SECONDS.toNanos(HANG_TIMEOUT_S)) {
                throw new AssertionError("not within " + HANG_TIMEOUT_S + " s: " + what);
            }
        }
    }

    /** Waits until a counter of the proxies has reached a value. */
    void awaitCount(Metric metric, long count) {
        awaitOnLoop(metric + " reaches " + count, () -> metrics.count(metric) >= count);
    }

    /** The value of a counter. */
    long count(Metric metric) {
        return runOnLoop(() -> metrics.count(metric));
    }

    /** A connection to the proxy that takes clients' requests. */
    Socket connectAsClient() throws IOException {
        return connect(outboundAddress);
    }

    @Override
    public void close() throws IOException {
        recorder.mayProceed.countDown();
        for (ServerStandIn s : standIns) {
            s.close();
        }
        runOnLoop(() -> {
            listeners.forEach(Listeners::close);
            return null;
        });
    }
}
