package bramblespool;

import bramblespool.protocol.Names;
import bramblespool.role.Daemon;
import bramblespool.role.Helm;
import bramblespool.role.Hem;
import bramblespool.role.Weft;
import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.transport.Loop;
import bramblespool.transport.Ports;
import bramblespool.transport.Stream;
import bramblespool.transport.Upstream;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A whole small mesh and a small gateway in one process on loopback addresses: one helm with one weft, one with one hem,
 * a stand-in server and a stand-in for the platform's list. It shows that an installation works, and the build runs it
 * to record the classes for the class-data archive.
 */
final class Rehearsal {
    private static final String IP = "127.0.0.1";
    /** All machines of a system use the same ports, so the two daemons need two addresses. */
    private static final String WEFT_IP = "127.0.0.2";
    /** The gateway's helm and hem. */
    private static final String HELM_IP = "127.0.0.3";

    private static final String HEM_IP = "127.0.0.4";
    private static final long STEP_MS = 20_000;
    private static final int TRIES = 200;
    private static final String CONFIG = """
            {"epoch":%d,"baseVersion":%d,
             "routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares","maxTries","target","public"],
              "rows":[["r","rehearsal.example","/a/","idempotent","5s","1s",1,null,2,"stage",true],
                      ["k","rehearsal.example","/k/","keyed","5s","1s",1,null,2,"stage",false],
                      ["s","rehearsal.example","/b/","mutating","5s","1s",1,[{"target":"stage","share":1}],2,null,true]]},
             "serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup","warmPerS"],
              "rows":[["stage","/health",10,"h1",false,"0ms",10.0]]},
             "principals":{"columns":["name","apiKeys","rank","ratePerS","burst"],"rows":[["t",["key"],0,1000,1000]]},
             "limits":{"headerBytes":16384,"bodyBytes":1048576,"headerRead":"3s","idle":"15s"}}
            """;

    private final Loop loop;
    private final Ports ports;
    private final Upstream upstream;
    private final int[] port = new int[9];

    private Rehearsal() throws IOException {
        EventLog log = new EventLog("rehearsal", System.err, EventLog.Level.WARN);
        loop = new Loop(log);
        ports = new Ports(loop, log);
        upstream = new Upstream(loop, ports.buffers());
        do {
            reserve();
        } while (Arrays.stream(port).anyMatch(p -> p == port[1] + 1));
    }

    /** Takes ports that are free now; the one after the second is the hem's, for calls from other hems. */
    private void reserve() throws IOException {
        ServerSocket[] held = new ServerSocket[port.length];
        for (int i = 0; i < port.length; i++) {
            held[i] = new ServerSocket(0, 1, InetAddress.getByName(IP));
            port[i] = held[i].getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
    }

    private String at(int i) {
        return IP + ":" + port[i];
    }

    private String settings(String machineClass, String node, String ip, String more) {
        return """
                node = "%s"
                machineClass = "%s"
                ip = "%s"
                zone = "z"
                region = "r"
                portRange = [%d,%d]
                seedPeers = ["%s"]
                bootstrap = true
                beat = "1500ms"
                %s
                [zones]
                z = "r"
                [limits]
                memoryMb = 0
                [bounds]
                quiet = "3000ms"
                ack = "5000ms"
                drain = "2500ms"
                grace = "1s"
                apply = "2500ms"
                retryRatio = 0.2
                retryWindow = "10s"
                retrySlack = 10
                warmExcess = 1.5
                warmSlack = 5
                evac = "5000ms"
                lease = "200ms"
                reportWindow = "500ms"
                usageLate = "2s"
                """.formatted(node, machineClass, ip, port[1], port[1] + 1, at(2), more);
    }

    /** Answers whether all steps went well. */
    static boolean run() {
        try {
            return new Rehearsal().play();
        } catch (Exception e) {
            System.err.println("bramblespool: the rehearsal failed: " + e);
            return false;
        }
    }

    private boolean play() throws Exception {
        Path dir = Files.createTempDirectory("bramblespool");
        ports.listen(
                at(0),
                x -> {
                    x.getResponseHeaders()
                            .put(Names.SEAL, "seal")
                            .put(Names.ATTEMPT, "x")
                            .put(new HttpString("X-Instance-Id"), "i-1");
                    String attempt = x.getRequestHeaders().getFirst(Names.ATTEMPT);
                    if (attempt != null) {
                        x.getResponseHeaders().put(Names.ATTEMPT, attempt);
                    }
                    x.getResponseSender().send("played");
                },
                Ports.bounds(1 << 16, 1 << 20, 10_000, 10_000));
        String metered = "[platform]\naddress = \"" + at(8) + "\"\nduties = [\"metering\"]\ndutyPerS = 10.0\n";
        Settings helm = Settings.parse(
                settings(
                        "core",
                        "helm-1",
                        IP,
                        "dataDir = \"" + dir + "\"\n" + metered + "[listeners]\ncontrol = \"" + at(2) + "\""),
                "rehearsal");
        Settings weft = Settings.parse(
                settings(
                        "sidecar",
                        "weft-1",
                        WEFT_IP,
                        "target = \"stage\"\nappAddr = \"" + at(0)
                                + "\"\n" + metered + "[listeners]\ncontrol = \"" + at(4) + "\"\ninbound = \"" + at(5)
                                + "\"\noutbound = \"" + at(6)
                                + "\"\nready = \"" + at(7) + "\""),
                "rehearsal");
        play(dir, helm, weft);
        Path other = Files.createTempDirectory("bramblespool");
        gateway(other);
        return true;
    }

    private void play(Path dir, Settings helm, Settings weft) throws Exception {
        EventLog log = new EventLog("rehearsal", System.err, EventLog.Level.WARN);
        Daemon h = new Helm(helm, loop, log);
        Daemon w = new Weft(weft, loop, log);
        step("the first configuration", () -> post(at(2), "/bramblespool/config/replace", CONFIG.formatted(1, 0)), 200);
        step(
                "a heartbeat",
                () -> post(
                        at(4),
                        "/bramblespool/servers/i-1/heartbeat",
                        "{\"target\":\"stage\",\"address\":\"" + at(0)
                                + "\",\"zone\":\"z\",\"epoch\":\"v1\",\"capacity\":4,"
                                + "\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"callSeq\":1}"),
                200);
        step("readiness", () -> get(at(7), "/bramblespool/readiness"), 200);
        step("a request", () -> get(at(6), "/a/1"), 200);
        step("a request with a body", () -> post(at(6), "/b/1", "body"), 200);
        step("a request with a key", () -> post(at(6), "/k/1", "body"), 200);
        step("its repeat", () -> post(at(6), "/k/1", "body"), 200);
        step("a request to the gate", () -> get(at(5), "/a/2"), 200);
        step("an unknown route", () -> get(at(6), "/none/"), 404);
        step("a second configuration", () -> post(at(2), "/bramblespool/config/replace", CONFIG.formatted(3, 1)), 200);
        step("reading it back", () -> get(at(2), "/bramblespool/config/read"), 200);
        end(dir, w, h, helm);
    }

    private void gateway(Path dir) throws Exception {
        String listed =
                "deployment = \"api\"\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n[platform]\naddress = \""
                        + at(8) + "\"\nratePerS = 50.0\nlag = \"800ms\"\n";
        ports.listen(
                at(8),
                x -> x.getResponseSender()
                        .send("{\"servers\":{\"z\":[{\"id\":\"i-1\",\"target\":\"stage\","
                                + "\"address\":\"" + at(0)
                                + "\",\"epoch\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupLeft\":\"0ms\"}]},"
                                + "\"nextToken\":null}"),
                Ports.bounds(1 << 16, 1 << 20, 10_000, 10_000));
        Settings helm = Settings.parse(
                settings(
                                "core",
                                "helm-2",
                                HELM_IP,
                                "dataDir = \"" + dir + "\"\n" + listed + "[listeners]\ncontrol = \"" + HELM_IP + ":"
                                        + port[2] + "\"")
                        .replace(at(2), HELM_IP + ":" + port[2]),
                "rehearsal");
        Settings edge = Settings.parse(
                settings(
                                "edge",
                                "hem-1",
                                HEM_IP,
                                listed + "[listeners]\nfront = \"" + HEM_IP + ":" + port[6] + "\"\nready = \"" + HEM_IP
                                        + ":" + port[7] + "\"")
                        .replace(at(2), HELM_IP + ":" + port[2]),
                "rehearsal");
        EventLog log = new EventLog("rehearsal", System.err, EventLog.Level.WARN);
        Daemon h = new Helm(helm, loop, log);
        Daemon e = new Hem(edge, loop, log);
        step(
                "the gateway's configuration",
                () -> post(helm.controlAddress(), "/bramblespool/config/replace", CONFIG.formatted(1, 0)),
                200);
        step("the hem's readiness", () -> get(edge.readinessAddress(), "/bramblespool/readiness"), 200);
        step("a request from outside", () -> get(edge.outboundAddress(), "/a/1"), 200);
        step("a request from outside with a body", () -> post(edge.outboundAddress(), "/b/1", "body"), 200);
        end(dir, e, h, helm);
    }

    private void end(Path dir, Daemon side, Daemon helm, Settings s) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        loop.post(() -> side.stop(
                s.bounds().shutdownGraceMs(),
                () -> helm.stop(s.bounds().shutdownGraceMs(), () -> ended.complete(null))));
        ended.get(STEP_MS, TimeUnit.MILLISECONDS);
        try (var files = Files.list(dir)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
        Files.delete(dir);
    }

    private interface Sending {
        CompletableFuture<Integer> go();
    }

    private void step(String what, Sending sending, int wanted)
            throws InterruptedException, ExecutionException, TimeoutException {
        int got = 0;
        for (int i = 0; i < TRIES && got != wanted; i++) {
            if (i > 0) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            CompletableFuture<Integer> f = new CompletableFuture<>();
            loop.post(() -> sending.go().thenAccept(f::complete));
            got = f.get(STEP_MS, TimeUnit.MILLISECONDS);
        }
        if (got != wanted) {
            throw new IllegalStateException(what + " was answered " + got);
        }
    }

    private CompletableFuture<Integer> get(String address, String path) {
        return send(address, "GET", path, new byte[0]);
    }

    private CompletableFuture<Integer> post(String address, String path, String body) {
        return send(address, "POST", path, body.getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<Integer> send(String address, String method, String path, byte[] body) {
        CompletableFuture<Integer> out = new CompletableFuture<>();
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "rehearsal.example")
                .put(Names.ATTEMPT, "a1")
                .put(Names.DEADLINE, 3000)
                .put(Names.MARK, "0")
                .put(Headers.AUTHORIZATION, "Token key")
                .put(Names.OPERATION, "o1");
        if (body.length > 0) {
            headers.put(Headers.CONTENT_LENGTH, body.length);
        }
        upstream.send(
                address,
                new Upstream.Manner(1000, 1000, 1 << 16),
                new Upstream.Request(new HttpString(method), path, headers, new Stream.Body(body, null)),
                new Upstream.Receiver() {
                    @Override
                    public void answer(Upstream.Answer a) {
                        out.complete(a.code());
                    }

                    @Override
                    public void failed(Upstream.Reach reach, String cause) {
                        out.complete(0);
                    }
                });
        return out;
    }
}
