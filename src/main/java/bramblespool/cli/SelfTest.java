package bramblespool.cli;

import bramblespool.process.ControllerProcess;
import bramblespool.process.GatewayProcess;
import bramblespool.process.ManagedProcess;
import bramblespool.process.SidecarProcess;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import bramblespool.transport.BodyStream;
import bramblespool.transport.EventLoop;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
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
 * A small mesh and a small gateway deployment in one process on loopback addresses: a controller with a sidecar, a
 * controller with a gateway, a stand-in server and a stand-in for the platform's registry. It shows that an
 * installation works, and the build runs it to record the classes of the class-data archive. The calling thread drives
 * it step by step; the processes under test share one event loop.
 */
final class SelfTest {
    private static final String IP = "127.0.0.1";
    /** All machines of a system use the same ports, so the sidecar and its controller need different addresses. */
    private static final String SIDECAR_IP = "127.0.0.2";
    /** The gateway's controller. */
    private static final String GATEWAY_CONTROLLER_IP = "127.0.0.3";

    private static final String GATEWAY_IP = "127.0.0.4";
    private static final long STEP_TIMEOUT_MS = 20_000;
    private static final int MAX_ATTEMPTS = 200;
    private static final String CONFIGURATION_TEMPLATE = """
            {"epoch":%d,"baseVersion":%d,
             "routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares",
                                      "maxTries","target","public"],
              "rows":[["r","self-test.example","/a/","idempotent","5s","1s",1,null,2,"stage",true],
                      ["k","self-test.example","/k/","keyed","5s","1s",1,null,2,"stage",false],
                      ["s","self-test.example","/b/","mutating","5s","1s",1,[{"target":"stage","share":1}],2,null,
                       true]]},
             "serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup","warmPerS"],
              "rows":[["stage","/health",10,"h1",false,"0ms",10.0]]},
             "principals":{"columns":["name","apiKeys","rank","ratePerS","burst"],"rows":[["t",["key"],0,1000,1000]]},
             "limits":{"headerBytes":16384,"bodyBytes":1048576,"headerRead":"3s","idle":"15s"}}
            """;

    private final EventLoop eventLoop;
    private final Listeners listeners;
    private final UpstreamClient upstream;
    private final int[] reservedPorts = new int[9];

    private SelfTest() throws IOException {
        EventLog log = new EventLog("self-test", System.err, EventLog.Level.WARN);
        eventLoop = new EventLoop(log);
        listeners = new Listeners(eventLoop, log);
        upstream = new UpstreamClient(eventLoop, listeners.bufferPool());
        do {
            reservePorts();
        } while (Arrays.stream(reservedPorts).anyMatch(p -> p == reservedPorts[1] + 1));
    }

    /** Takes ports that are free now; the one after the second is for requests from other gateways. */
    private void reservePorts() throws IOException {
        ServerSocket[] sockets = new ServerSocket[reservedPorts.length];
        for (int i = 0; i < reservedPorts.length; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(IP));
            reservedPorts[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    private String addressOf(int index) {
        return IP + ":" + reservedPorts[index];
    }

    private String settingsToml(String machineClass, String nodeName, String ip, String extraToml) {
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
                """.formatted(
                        nodeName, machineClass, ip, reservedPorts[1], reservedPorts[1] + 1, addressOf(2), extraToml);
    }

    /** Runs all steps; returns whether they succeeded, and prints the first failure to standard error. */
    static boolean run() {
        try {
            return new SelfTest().runScenario();
        } catch (Exception e) {
            System.err.println("bramblespool: the self-test failed: " + e);
            return false;
        }
    }

    private boolean runScenario() throws Exception {
        Path dataDirectory = Files.createTempDirectory("bramblespool");
        listeners.listen(
                addressOf(0),
                exchange -> {
                    exchange.getResponseHeaders()
                            .put(HeaderNames.SERVER_SEAL, "seal")
                            .put(HeaderNames.ATTEMPT_ID, "x")
                            .put(new HttpString("X-Instance-Id"), "i-1");
                    String attemptId = exchange.getRequestHeaders().getFirst(HeaderNames.ATTEMPT_ID);
                    if (attemptId != null) {
                        exchange.getResponseHeaders().put(HeaderNames.ATTEMPT_ID, attemptId);
                    }
                    exchange.getResponseSender().send("ok");
                },
                Listeners.listenerOptions(1 << 16, 1 << 20, 10_000, 10_000));
        String platformToml =
                "[platform]\naddress = \"" + addressOf(8) + "\"\nduties = [\"metering\"]\ndutyPerS = 10.0\n";
        Settings controllerSettings = SettingsParser.parse(
                settingsToml(
                        "core",
                        "controller-1",
                        IP,
                        "dataDir = \"" + dataDirectory + "\"\n" + platformToml + "[listeners]\ncontrol = \""
                                + addressOf(2) + "\""),
                "self-test");
        Settings sidecarSettings = SettingsParser.parse(
                settingsToml(
                        "sidecar",
                        "sidecar-1",
                        SIDECAR_IP,
                        "target = \"stage\"\nappAddr = \"" + addressOf(0)
                                + "\"\n" + platformToml + "[listeners]\ncontrol = \"" + addressOf(4)
                                + "\"\ninbound = \"" + addressOf(5)
                                + "\"\noutbound = \"" + addressOf(6)
                                + "\"\nready = \"" + addressOf(7) + "\""),
                "self-test");
        runSidecarScenario(dataDirectory, controllerSettings, sidecarSettings);
        Path gatewayDirectory = Files.createTempDirectory("bramblespool");
        runGatewayScenario(gatewayDirectory);
        return true;
    }

    private void runSidecarScenario(Path dataDirectory, Settings controllerSettings, Settings sidecarSettings)
            throws Exception {
        EventLog log = new EventLog("self-test", System.err, EventLog.Level.WARN);
        ManagedProcess controller = new ControllerProcess(controllerSettings, eventLoop, log);
        ManagedProcess sidecar = new SidecarProcess(sidecarSettings, eventLoop, log);
        expectStatus(
                "the first configuration",
                () -> post(addressOf(2), "/bramblespool/config/replace", CONFIGURATION_TEMPLATE.formatted(1, 0)),
                200);
        expectStatus(
                "a heartbeat",
                () -> post(
                        addressOf(4),
                        "/bramblespool/servers/i-1/heartbeat",
                        "{\"target\":\"stage\",\"address\":\"" + addressOf(0)
                                + "\",\"zone\":\"z\",\"epoch\":\"v1\",\"capacity\":4,"
                                + "\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"callSeq\":1}"),
                200);
        expectStatus("readiness", () -> get(addressOf(7), "/bramblespool/readiness"), 200);
        expectStatus("a request", () -> get(addressOf(6), "/a/1"), 200);
        expectStatus("a request with a body", () -> post(addressOf(6), "/b/1", "body"), 200);
        expectStatus("a request with a key", () -> post(addressOf(6), "/k/1", "body"), 200);
        expectStatus("its repeat", () -> post(addressOf(6), "/k/1", "body"), 200);
        expectStatus("a request to the inbound listener", () -> get(addressOf(5), "/a/2"), 200);
        expectStatus("an unknown route", () -> get(addressOf(6), "/none/"), 404);
        expectStatus(
                "a second configuration",
                () -> post(addressOf(2), "/bramblespool/config/replace", CONFIGURATION_TEMPLATE.formatted(3, 1)),
                200);
        expectStatus("reading it back", () -> get(addressOf(2), "/bramblespool/config/read"), 200);
        shutDown(dataDirectory, sidecar, controller, controllerSettings);
    }

    private void runGatewayScenario(Path dataDirectory) throws Exception {
        String platformToml =
                "deployment = \"api\"\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n[platform]\naddress = \""
                        + addressOf(8) + "\"\nratePerS = 50.0\nlag = \"800ms\"\n";
        listeners.listen(
                addressOf(8),
                exchange -> exchange.getResponseSender()
                        .send("{\"servers\":{\"z\":[{\"id\":\"i-1\",\"target\":\"stage\","
                                + "\"address\":\"" + addressOf(0)
                                + "\",\"epoch\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupLeft\":\"0ms\"}]},"
                                + "\"nextToken\":null}"),
                Listeners.listenerOptions(1 << 16, 1 << 20, 10_000, 10_000));
        Settings controllerSettings = SettingsParser.parse(
                settingsToml(
                                "core",
                                "controller-2",
                                GATEWAY_CONTROLLER_IP,
                                "dataDir = \"" + dataDirectory + "\"\n" + platformToml + "[listeners]\ncontrol = \""
                                        + GATEWAY_CONTROLLER_IP + ":" + reservedPorts[2] + "\"")
                        .replace(addressOf(2), GATEWAY_CONTROLLER_IP + ":" + reservedPorts[2]),
                "self-test");
        Settings gatewaySettings = SettingsParser.parse(
                settingsToml(
                                "edge",
                                "gateway-1",
                                GATEWAY_IP,
                                platformToml + "[listeners]\nfront = \"" + GATEWAY_IP + ":" + reservedPorts[6]
                                        + "\"\nready = \"" + GATEWAY_IP + ":" + reservedPorts[7] + "\"")
                        .replace(addressOf(2), GATEWAY_CONTROLLER_IP + ":" + reservedPorts[2]),
                "self-test");
        EventLog log = new EventLog("self-test", System.err, EventLog.Level.WARN);
        ManagedProcess controller = new ControllerProcess(controllerSettings, eventLoop, log);
        ManagedProcess gateway = new GatewayProcess(gatewaySettings, eventLoop, log);
        expectStatus(
                "the gateway's configuration",
                () -> post(
                        controllerSettings.controlAddress(),
                        "/bramblespool/config/replace",
                        CONFIGURATION_TEMPLATE.formatted(1, 0)),
                200);
        expectStatus(
                "the gateway's readiness",
                () -> get(gatewaySettings.readinessAddress(), "/bramblespool/readiness"),
                200);
        expectStatus("a request from outside", () -> get(gatewaySettings.outboundAddress(), "/a/1"), 200);
        expectStatus(
                "a request from outside with a body",
                () -> post(gatewaySettings.outboundAddress(), "/b/1", "body"),
                200);
        shutDown(dataDirectory, gateway, controller, controllerSettings);
    }

    private void shutDown(Path dataDirectory, ManagedProcess proxy, ManagedProcess controller, Settings settings)
            throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        eventLoop.post(() -> proxy.stop(
                settings.bounds().shutdownGraceMs(),
                () -> controller.stop(settings.bounds().shutdownGraceMs(), () -> ended.complete(null))));
        ended.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        try (var files = Files.list(dataDirectory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(dataDirectory);
    }

    private interface RequestSender {
        CompletableFuture<Integer> send();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failure leaves the future open: the step ends at its time-out
    private void expectStatus(String description, RequestSender sender, int expectedStatus)
            throws InterruptedException, ExecutionException, TimeoutException {
        int status = 0;
        for (int i = 0; i < MAX_ATTEMPTS && status != expectedStatus; i++) {
            if (i > 0) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            CompletableFuture<Integer> response = new CompletableFuture<>();
            eventLoop.post(() -> sender.send().thenAccept(response::complete));
            status = response.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        if (status != expectedStatus) {
            throw new IllegalStateException(description + " was answered " + status);
        }
    }

    private CompletableFuture<Integer> get(String address, String path) {
        return send(address, "GET", path, new byte[0]);
    }

    private CompletableFuture<Integer> post(String address, String path, String body) {
        return send(address, "POST", path, body.getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<Integer> send(String address, String method, String path, byte[] body) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "self-test.example")
                .put(HeaderNames.ATTEMPT_ID, "a1")
                .put(HeaderNames.DEADLINE, 3000)
                .put(HeaderNames.VERSION_MARK, "0")
                .put(Headers.AUTHORIZATION, "Token key")
                .put(HeaderNames.OPERATION_KEY, "o1");
        if (body.length > 0) {
            headers.put(Headers.CONTENT_LENGTH, body.length);
        }
        upstream.send(
                address,
                new UpstreamClient.ConnectionOptions(1000, 1000, 1 << 16),
                new UpstreamClient.Request(new HttpString(method), path, headers, new BodyStream.Body(body, null)),
                new UpstreamClient.ResponseListener() {
                    @Override
                    public void onResponse(UpstreamClient.Response response) {
                        status.complete(response.statusCode());
                    }

                    @Override
                    public void onFailure(UpstreamClient.SendProgress progress, String cause) {
                        status.complete(0);
                    }
                });
        return status;
    }
}
