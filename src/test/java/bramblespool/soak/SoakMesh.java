package bramblespool.soak;

import bramblespool.testing.RawHttp;
import bramblespool.testing.SimulatedMesh;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Three controllers and six sidecars with a server each, on loopback addresses of this process alone. */
final class SoakMesh implements AutoCloseable {
    static final int CONTROLLERS = 3;
    static final int SIDECARS = 6;
    private static final int HOSTS_PER_BLOCK = 10;
    private static final int HOST_BLOCKS = 24;
    static final int METRICS_PORT = 17395;
    static final int CONTROL_PORT = 17390;
    static final int OUTBOUND_PORT = 17392;
    private static final int READY_PORT = 17393;
    private static final int START_TIMEOUT_S = 60;
    private static final int CALL_TIMEOUT_MS = 5000;
    private static final String SETTINGS = """
            node = "%1$s-%2$d"
            machineClass = "%3$s"
            ip = "%4$s"
            zone = "z%5$d"
            portRange = [17380, 17389]
            seedPeers = [%6$s]
            bootstrap = %7$b
            dataDir = "%8$s"
            appAddr = "%4$s:17394"
            target = "desk"
            beat = "1s"
            [zones]
            z0 = "r"
            z1 = "r"
            z2 = "r"
            [faultBudget]
            machines = 1
            [listeners]
            control = "%4$s:17390"
            inbound = "%4$s:17391"
            outbound = "%4$s:17392"
            ready = "%4$s:17393"
            [limits]
            memoryMb = 0
            %9$s""";

    final List<SoakProcess> controllers = new ArrayList<>();
    final List<SoakProcess> sidecars = new ArrayList<>();
    final List<SoakServer> servers = new ArrayList<>();
    final SoakServer.Ledger ledger = new SoakServer.Ledger();
    private final Path directory;
    private final String network = "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + "."
            + ProcessHandle.current().pid() % 250 + ".";
    private final int firstHost;
    private volatile boolean isClosed;

    /** Each seed has addresses of its own, so that nothing of the last one is in the way. */
    SoakMesh(Path directory, long seed) throws IOException {
        this.firstHost = (int) (seed % HOST_BLOCKS) * HOSTS_PER_BLOCK + 1;
        this.directory = directory;
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(newProcess("controller", "core", i, firstHost + i));
        }
        for (int i = 0; i < SIDECARS; i++) {
            sidecars.add(newProcess("sidecar", "sidecar", i, firstHost + CONTROLLERS + i));
            servers.add(new SoakServer(i, sidecars.get(i).ip, 17394, ledger));
        }
    }

    private SoakProcess newProcess(String role, String machineClass, int number, int host) throws IOException {
        Path data = Files.createDirectories(directory.resolve(role + number));
        SoakProcess process = new SoakProcess(
                role,
                network + host,
                directory.resolve(role + number + ".toml"),
                directory.resolve(role + number + ".log"));
        writeSettings(process, machineClass, number, data, true);
        return process;
    }

    private void writeSettings(SoakProcess process, String machineClass, int number, Path data, boolean isBootstrap)
            throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            seeds.add("\"" + network + (firstHost + i) + ":" + CONTROL_PORT + "\"");
        }
        Files.writeString(
                directory.resolve(process.role + number + ".toml"),
                SETTINGS.formatted(
                        process.role,
                        number,
                        machineClass,
                        process.ip,
                        number % CONTROLLERS,
                        String.join(",", seeds),
                        isBootstrap,
                        data,
                        SimulatedMesh.BOUNDS));
    }

    /** Starts everything; returns once a first version is in force and every sidecar is ready. */
    void start() throws Exception {
        for (SoakProcess process : controllers) {
            process.start();
        }
        for (SoakProcess process : sidecars) {
            process.start();
        }
        await(
                "the first version",
                () -> post(controllers.get(0), "/bramblespool/config/replace", document(1, 0)) == 200
                        || post(controllers.get(1), "/bramblespool/config/replace", document(1, 0)) == 200
                        || post(controllers.get(2), "/bramblespool/config/replace", document(1, 0)) == 200);
        for (int i = 0; i < SIDECARS; i++) {
            SoakProcess sidecar = sidecars.get(i);
            int number = i;
            RawHttp.startThread(() -> sendHeartbeats(sidecar, number));
            await("readiness", () -> get(sidecar, READY_PORT, "/bramblespool/readiness") == 200);
        }
        for (int i = 0; i < CONTROLLERS; i++) {
            writeSettings(controllers.get(i), "core", i, directory.resolve("controller" + i), false);
        }
        for (int i = 0; i < SIDECARS; i++) {
            writeSettings(sidecars.get(i), "sidecar", i, directory.resolve("sidecar" + i), false);
        }
    }

    /** A version with a route of each class, and a prefix of its own. */
    static String document(long epoch, long base) {
        return SimulatedMesh.document(epoch, base, "i")
                .replace(
                        "[[\"r\"",
                        "[[\"k\",\"x.example\",\"/k/\",\"keyed\",\"1500ms\",\"600ms\",1,null,2,\"desk\"],"
                                + "[\"m\",\"x.example\",\"/m/\",\"mutating\",\"1500ms\",\"600ms\",1,null,2,\"desk\"],"
                                + "[\"v\",\"x.example\",\"/v" + epoch
                                + "/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,"
                                + "\"desk\"],[\"r\"")
                .replace("1500ms", "5s");
    }

    private void sendHeartbeats(SoakProcess sidecar, int number) throws Exception {
        for (int sequence = 1; !isClosed; sequence++) {
            post(
                    sidecar,
                    "/bramblespool/servers/i-" + number + "/heartbeat",
                    "{\"target\":\"desk\",\"address\":\"" + sidecar.ip
                            + ":17394\",\"zone\":\"z\",\"epoch\":\"v1\",\"capacity\":6,\"state\":\"ready\","
                            + "\"warmupLeft\":\"0ms\",\"callSeq\":" + sequence + "}");
            TimeUnit.SECONDS.sleep(1);
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(String what, Condition condition) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (!condition.holds()) {
            if (System.nanoTime() - endNs > 0) {
                throw new IllegalStateException("not within " + START_TIMEOUT_S + " s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    /** The status of a call, 0 where there was no answer. */
    static int post(SoakProcess process, String path, String body) {
        return call(
                        process.ip,
                        CONTROL_PORT,
                        "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .status();
    }

    private static int get(SoakProcess process, int port, String path) {
        return call(process.ip, port, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
                .status();
    }

    static RawHttp.Response call(String ip, int port, String request) {
        return RawHttp.call(ip, port, request, CALL_TIMEOUT_MS);
    }

    /** Reports of faults in the logs of all processes. */
    List<String> faultLines() throws IOException {
        List<String> lines = new ArrayList<>();
        for (SoakProcess process : controllers) {
            lines.addAll(process.faultLines());
        }
        for (SoakProcess process : sidecars) {
            lines.addAll(process.faultLines());
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        controllers.forEach(SoakProcess::destroy);
        sidecars.forEach(SoakProcess::destroy);
        for (SoakServer server : servers) {
            server.close();
        }
    }
}
