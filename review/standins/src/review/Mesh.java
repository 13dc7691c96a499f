package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, with the commands of the
 * deploy file, and a stand-in server on each sidecar machine. Each machine has an address of its own.
 */
final class Mesh implements AutoCloseable {
    static final int INBOUND_PORT = 18146;
    static final int OUTBOUND_PORT = 18147;
    static final int READY_PORT = 18141;
    static final int CONTROL_PORT = 18144;
    static final int APP_PORT = 18145;
    static final String[] ZONES = {"hala-a", "hala-b", "sklad"};
    /** The first port of portRange: daemons use it for what they say to each other. */
    static final int PEER_PORT = 17380;
    private static final int FIRST_INNER_PORT = PEER_PORT;
    private static final int LAST_INNER_PORT = 17395;
    private static final int[] PORTS = {INBOUND_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT, APP_PORT,
        FIRST_INNER_PORT, 9464};
    private static final long START_TIMEOUT_MS = 40_000;
    /** The case ends by itself before the 120 s that it may take. */
    private static final long TIME_LIMIT_S = 112;

    /** A block that may fail. */
    interface Task {
        void run() throws Exception;
    }

    /** A machine with its one process. */
    final class Machine {
        final String role;
        final String node;
        final String ip;
        final String zone;
        final String service;
        private final Path settings;
        private final Path log;
        private Process process;

        private Machine(String role, int number, String ip, String service) {
            this.role = role;
            this.zone = ZONES[number % ZONES.length];
            this.node = role + "-" + zone + "-" + number;
            this.ip = ip;
            this.service = service;
            this.settings = directory.resolve(node + ".toml");
            this.log = directory.resolve(node + ".log");
        }

        synchronized void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" "))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BRAMBLESPOOL_BOOT", settings.toString());
            process = builder.start();
            record.line("start " + node + " at " + ip + " pid=" + process.pid());
        }

        /** Sends a signal to the process, by its name. */
        synchronized void signal(String name) throws IOException, InterruptedException {
            record.line("signal " + name + " to " + node);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** SIGKILL; the platform starts the process again after the delay. */
        void killAndRestart(long delayMs) throws Exception {
            record.line("SIGKILL " + node);
            synchronized (this) {
                process.destroyForcibly().waitFor();
            }
            Thread.sleep(delayMs);
            start();
        }

        synchronized boolean isRunning() {
            return process != null && process.isAlive();
        }

        synchronized Process process() {
            return process;
        }

        private synchronized void end() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        boolean isReady() {
            return Http.call(ip, READY_PORT, "GET", "/bramblespool/readiness", Map.of("Host", ip), null, 1000).status()
                    == 200;
        }
    }

    final Record record;
    final List<Machine> controllers = new ArrayList<>();
    final List<Machine> sidecars = new ArrayList<>();
    /** The server of each sidecar's machine now. */
    final List<AppServer> servers = new ArrayList<>();
    /** All servers that there were. */
    final List<AppServer> allServers = new CopyOnWriteArrayList<>();
    private final Map<String, Long> sentMs = new ConcurrentHashMap<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path directory;
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final String bounds;
    private final String extra;
    private final AtomicInteger attempts = new AtomicInteger();

    /** A case: returns whether the rule held. */
    interface Case {
        boolean holds(Mesh mesh, boolean withTrouble) throws Exception;
    }

    /** Runs a case and ends the process: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void runCase(String[] args, int controllerCount, List<String> services, String bounds, String extra,
            Case review) throws IOException {
        Record record = new Record(Path.of(args[0], "record.txt"));
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        record.line("trouble=" + (withTrouble ? 1 : 0));
        int code = 2;
        try (Mesh mesh = new Mesh(record, controllerCount, services, bounds, extra)) {
            Runtime.getRuntime().addShutdownHook(new Thread(mesh::endProcesses));
            daemon(() -> {
                TimeUnit.SECONDS.sleep(TIME_LIMIT_S);
                record.line("the time is over");
                Runtime.getRuntime().exit(2);
            });
            mesh.startAll();
            code = review.holds(mesh, withTrouble) ? 0 : 1;
        } catch (Exception e) {
            record.line("could not run: " + e);
        }
        record.line("exit " + code);
        System.exit(code);
    }

    Mesh(Record record, int controllerCount, List<String> services, String bounds, String extra) throws IOException {
        this.record = record;
        this.bounds = bounds;
        this.extra = extra;
        this.directory = Files.createTempDirectory("review");
        readCommands();
        String network = freeNetwork(controllerCount + services.size());
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new Machine("controller", i, network + (i + 1), ""));
        }
        for (int i = 0; i < services.size(); i++) {
            sidecars.add(new Machine("sidecar", i, network + (controllerCount + i + 1), services.get(i)));
        }
    }

    /** The lines {@code run} of the deploy file. */
    private void readCommands() throws IOException {
        String role = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (role != null && line.startsWith("run = ")) {
                commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
            }
        }
    }

    /** A block of loopback addresses on which all ports are free. */
    private static String freeNetwork(int hosts) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (60 + (int) (Math.random() * 180)) + "." + (1 + (int) (Math.random() * 250)) + ".";
            if (isFree(network, hosts)) {
                return network;
            }
        }
        throw new IOException("no free addresses");
    }

    private static boolean isFree(String network, int hosts) {
        for (int host = 1; host <= hosts; host++) {
            for (int port : PORTS) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(network + host))) {
                    socket.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private void writeSettings(Machine machine, boolean isBootstrap) throws IOException {
        boolean isSidecar = machine.role.equals("sidecar");
        StringBuilder seeds = new StringBuilder();
        for (Machine controller : controllers.subList(0, Math.min(3, controllers.size()))) {
            seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(controller.ip).append(':')
                    .append(CONTROL_PORT).append('"');
        }
        StringBuilder text = new StringBuilder();
        text.append("node = \"").append(machine.node).append("\"\n");
        text.append("role = \"").append(machine.role).append("\"\n");
        text.append("machineClass = \"").append(isSidecar ? "sidecar" : "core").append("\"\n");
        text.append("serves = [\"").append(isSidecar ? "sidecar" : "control_plane").append("\"]\n");
        text.append("ip = \"").append(machine.ip).append("\"\n");
        text.append("zone = \"").append(machine.zone).append("\"\nregion = \"zilina\"\n");
        text.append("portRange = [").append(FIRST_INNER_PORT).append(",").append(LAST_INNER_PORT).append("]\n");
        text.append("seedPeers = [").append(seeds).append("]\n");
        text.append("bootstrap = ").append(isBootstrap).append("\nvoting = ").append(!isSidecar).append("\n");
        text.append("discovery = \"static\"\nentry = \"static\"\nbeat = \"1500ms\"\n");
        text.append("invariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\"]\n");
        if (isSidecar) {
            text.append("appAddr = \"").append(machine.ip).append(":").append(APP_PORT).append("\"\n");
            text.append("target = \"").append(machine.service).append("\"\n");
        } else {
            Path data = Files.createDirectories(directory.resolve(machine.node));
            text.append("dataDir = \"").append(data).append("\"\n");
        }
        text.append("[zones]\n");
        for (String zone : ZONES) {
            text.append(zone).append(" = \"zilina\"\n");
        }
        text.append("[listeners]\n");
        if (isSidecar) {
            text.append("inbound = \"").append(machine.ip).append(":").append(INBOUND_PORT).append("\"\n");
            text.append("outbound = \"").append(machine.ip).append(":").append(OUTBOUND_PORT).append("\"\n");
            text.append("ready = \"").append(machine.ip).append(":").append(READY_PORT).append("\"\n");
        }
        text.append("control = \"").append(machine.ip).append(":").append(CONTROL_PORT).append("\"\n");
        text.append("[limits]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = ")
                .append(isSidecar ? 0 : 256).append("\n");
        text.append("[faultBudget]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n").append(bounds).append(extra);
        Files.writeString(machine.settings, text);
    }

    private void startAll() throws Exception {
        List<Machine> all = new ArrayList<>(controllers);
        all.addAll(sidecars);
        for (Machine machine : all) {
            writeSettings(machine, true);
        }
        for (Machine machine : all) {
            machine.start();
        }
        for (int i = 0; i < sidecars.size(); i++) {
            servers.add(new AppServer(this, sidecars.get(i), sidecars.get(i).service, "i-" + (i + 1)));
        }
    }

    /** The operator's first configuration; returns once it is taken and all sidecars are ready. */
    void begin(String configuration) throws Exception {
        await("the first configuration", () -> order("/bramblespool/config/replace", configuration) == 200);
        await("readiness", () -> sidecars.stream().allMatch(Machine::isReady));
        for (Machine machine : controllers) {
            writeSettings(machine, false);
        }
        for (Machine machine : sidecars) {
            writeSettings(machine, false);
        }
        record.line("all ready");
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long endNs = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() - endNs > 0) {
                throw new IllegalStateException("not in time: " + what);
            }
            Thread.sleep(200);
        }
    }

    /** An order of the operator: to any controller, following 307; 0 where none gave a clear answer. */
    int order(String path, String body) {
        for (Machine controller : controllers) {
            Http.Message answer = controlCall(controller.ip, "POST", path, body);
            if (answer.status() == 307) {
                String location = answer.header("Location");
                String host = location.substring("http://".length(), location.lastIndexOf(':'));
                answer = controlCall(host, "POST", path, body);
            }
            if (answer.status() != 0 && answer.status() != 307 && answer.status() < 500) {
                record.line("order " + path + " answered " + answer.status() + " " + answer.text().trim());
                return answer.status();
            }
        }
        return 0;
    }

    private static Http.Message controlCall(String ip, String method, String path, String body) {
        return Http.call(ip, CONTROL_PORT, method, path,
                Map.of("Host", ip + ":" + CONTROL_PORT, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8), 6000);
    }

    /** One try of a client on the machine: a new connection, its own X-Attempt-Id. */
    Http.Message send(Machine machine, String host, String method, String path, Map<String, String> more, byte[] body,
            int deadlineMs) {
        String attempt = more.getOrDefault("X-Attempt-Id", "a" + Long.toHexString(0x100000L + attempts.incrementAndGet()));
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("X-Attempt-Id", attempt);
        headers.put("X-Deadline-Ms", Integer.toString(deadlineMs));
        headers.putAll(more);
        sentMs.put(attempt, record.nowMs());
        record.line("send to=" + machine.node + " attempt=" + attempt + " " + method + " " + path + " key="
                + more.get("X-Operation-Key"));
        Http.Message answer = Http.call(machine.ip, OUTBOUND_PORT, method, path, headers, body, deadlineMs + 1000);
        record.line("answer attempt=" + attempt + " status=" + answer.status() + " stamp="
                + answer.header("X-Server-Seal") + " "
                + (answer.status() == 200 ? answer.body().length + " bytes" : answer.text().trim()));
        return answer;
    }

    /** When a client sent the request of that id. */
    long sentMs(String attempt) {
        return sentMs.get(attempt);
    }

    static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void endProcesses() {
        controllers.forEach(Machine::end);
        sidecars.forEach(Machine::end);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (AppServer server : servers) {
            server.close();
        }
        if (System.getenv("KEEP") != null) {
            record.line("kept " + directory);
            return;
        }
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
