package bramblespool.testing;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.Heartbeat;
import bramblespool.protocol.OperatorRequest;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.InvalidSettingsException;
import bramblespool.state.Settings;
import bramblespool.state.SettingsParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Controllers, sidecars and gateways of several zones in a {@link Simulator}, with an operator who follows the
 * leader.
 */
public final class SimulatedMesh {
    public final Simulator simulator;
    public final Map<String, ControllerNode> controllers = new LinkedHashMap<>();
    public final Map<String, DataPlaneNode> sidecars = new LinkedHashMap<>();
    private final List<String> seedAddresses = new ArrayList<>();
    public final Map<String, DataPlaneNode> gateways = new LinkedHashMap<>();
    private final int toleratedDiskLosses;
    private final SimulatedPlatform platform;
    private final boolean reportsUsage;
    private int incarnationCount;
    private int heartbeatCount;
    public static final String BOUNDS = """
            [bounds]
            quiet = "3s"
            ack = "5s"
            drain = "2500ms"
            grace = "6s"
            apply = "2500ms"
            retryRatio = 0.2
            retryWindow = "10s"
            retrySlack = 60
            evac = "5s"
            quotaExcess = 0.1
            quotaSlack = 20
            fencing = true
            lease = "3s"
            reportWindow = "5s"
            usageLate = "10s"
            """;
    public static final String[] ZONES = {"a", "b", "c", "d", "e", "f"};
    private final int zoneCount;

    /** A mesh whose platform wants usage reports. */
    public static SimulatedMesh withUsageReports(
            long seed, int controllerCount, int sidecarCount, SimulatedPlatform platform) {
        return new SimulatedMesh(seed, controllerCount, sidecarCount, 1, platform, true);
    }

    public SimulatedMesh(long seed, int controllerCount, int sidecarCount) {
        this(seed, controllerCount, sidecarCount, 1, null);
    }

    /**
     * {@code losses}: the disks that may be lost at one time; {@code platform}: who keeps the list, or null for a
     * mesh.
     */
    public SimulatedMesh(
            long seed, int controllerCount, int proxyCount, int toleratedDiskLosses, SimulatedPlatform platform) {
        this(seed, controllerCount, proxyCount, toleratedDiskLosses, platform, false);
    }

    private SimulatedMesh(
            long seed,
            int controllerCount,
            int proxyCount,
            int toleratedDiskLosses,
            SimulatedPlatform platform,
            boolean reportsUsage) {
        this.reportsUsage = reportsUsage;
        simulator = new Simulator(seed);
        this.toleratedDiskLosses = toleratedDiskLosses;
        this.platform = platform;
        this.zoneCount = controllerCount < ZONES.length ? 3 : ZONES.length;
        for (int i = 0; i < Math.min(3, controllerCount); i++) {
            seedAddresses.add("10.0.0." + (i + 1) + ":8000");
        }
        for (int i = 0; i < controllerCount; i++) {
            startController(controllerPeer(i), true);
        }
        for (int i = 0; i < proxyCount; i++) {
            if (platform == null || reportsUsage) {
                startSidecar(sidecarPeer(i));
            } else {
                startGateway(gatewayPeer(i));
            }
        }
    }

    public String zone(int index) {
        return ZONES[index % zoneCount];
    }

    public static String gatewayPeer(int index) {
        return "10.0.2." + (index + 1) + ":7000";
    }

    public static String controllerPeer(int index) {
        return "10.0.0." + (index + 1) + ":7000";
    }

    public static String sidecarPeer(int index) {
        return "10.0.1." + (index + 1) + ":7000";
    }

    private Settings settings(String peer, List<String> seedPeers, boolean bootstrap) {
        String ip = peer.substring(0, peer.indexOf(':'));
        boolean isController = ip.startsWith("10.0.0.");
        boolean isGateway = ip.startsWith("10.0.2.");
        int number = Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
        String text = """
                node = "%s-%d"
                machineClass = "%s"
                ip = "%s"
                zone = "%s"
                portRange = [7000, 7010]
                seedPeers = [%s]
                bootstrap = %s
                dataDir = "/none"
                appAddr = "%s:9000"
                target = "desk"
                discovery = "%s"
                [platform]
                address = "10.9.9.9:80"
                %s
                [zones]
                %s
                [faultBudget]
                machines = %d
                [listeners]
                control = "%s:8000"
                inbound = "%s:8001"
                outbound = "%s:8002"
                ready = "%s:8003"
                front = "%s:8004"
                [limits]
                memoryMb = 0
                %s                """.formatted(
                        isController ? "helm" : isGateway ? "hem" : "weft",
                        number,
                        isController ? "core" : isGateway ? "edge" : "sidecar",
                        ip,
                        zone(number - 1),
                        seedPeers.stream()
                                .map(s -> '"' + s + '"')
                                .reduce((a, b) -> a + "," + b)
                                .orElse(""),
                        bootstrap,
                        ip,
                        platform == null || reportsUsage ? "static" : "platform",
                        reportsUsage ? "duties = [\"metering\"]\ndutyPerS = 50.0" : "",
                        String.join(
                                "\n",
                                Arrays.stream(ZONES)
                                        .limit(zoneCount)
                                        .map(z -> z + " = \"r\"")
                                        .toList()),
                        toleratedDiskLosses,
                        ip,
                        ip,
                        ip,
                        ip,
                        ip,
                        BOUNDS);
        try {
            return SettingsParser.parse(text, "simulated");
        } catch (InvalidSettingsException e) {
            throw new IllegalStateException(e);
        }
    }

    public void startController(String peer, boolean isBootstrap) {
        startController(peer, isBootstrap, simulator.machine(peer).disk);
    }

    /** Starts a controller on a store other than its simulated disk. */
    public ControllerNode startController(String peer, DurableStore durableStore) {
        return startController(peer, false, durableStore);
    }

    private ControllerNode startController(String peer, boolean isBootstrap, DurableStore durableStore) {
        SimulatedMachine machine = simulator.machine(peer);
        machine.boot();
        ControllerNode controller = new ControllerNode(
                settings(peer, seedAddresses, isBootstrap),
                new ControllerNode.Stores(durableStore, machine.disk),
                "i" + ++incarnationCount,
                machine,
                machine,
                platform == null ? null : platform.clientFor(machine),
                EventLog.silent());
        machine.serve(controller);
        controllers.put(peer, controller);
        controller.start();
        return controller;
    }

    public void killController(String peer, boolean losesPower) {
        simulator.machine(peer).kill(losesPower);
        controllers.remove(peer);
    }

    public void startSidecar(String peer) {
        DataPlaneNode sidecar = startProxy(peer, sidecars);
        SimulatedMachine machine = simulator.machine(peer);
        String id = "s-" + peer + "-" + ++heartbeatCount;
        machine.scheduleRepeatedly(
                1500,
                () -> sidecar.onHeartbeat(new Heartbeat(
                        id,
                        "desk",
                        peer.substring(0, peer.indexOf(':')) + ":9000",
                        "a",
                        6,
                        false,
                        0,
                        ++heartbeatCount)));
    }

    public void startGateway(String peer) {
        startProxy(peer, gateways);
    }

    private DataPlaneNode startProxy(String peer, Map<String, DataPlaneNode> proxies) {
        SimulatedMachine machine = simulator.machine(peer);
        machine.boot();
        DataPlaneNode proxy =
                new DataPlaneNode(settings(peer, seedAddresses, false), machine, machine, EventLog.silent());
        machine.serve(proxy);
        proxies.put(peer, proxy);
        proxy.start();
        return proxy;
    }

    public void killGateway(String peer) {
        simulator.machine(peer).kill(false);
        gateways.remove(peer);
    }

    public void killSidecar(String peer) {
        simulator.machine(peer).kill(false);
        sidecars.remove(peer);
    }

    public ControllerNode leader() {
        ControllerNode best = null;
        for (ControllerNode controller : controllers.values()) {
            if (controller.raft().isLeader()
                    && (best == null
                            || controller.raft().currentTerm() > best.raft().currentTerm())) {
                best = controller;
            }
        }
        return best;
    }

    public static String document(long epoch, long base, String prefix) {
        return """
                {"epoch":%d,"baseVersion":%d,
                 "routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares","maxTries","target"],
                  "rows":[["r","x.example","/%s/","idempotent","1500ms","600ms",1,null,2,"desk"]]},
                 "serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup","warmPerS"],
                  "rows":[["desk","/health",100,"h1",false,"3s",13.0]]},
                 "limits":{"headerBytes":16384,"bodyBytes":1000000,"headerRead":"3s","idle":"15s"}}
                """.formatted(epoch, base, prefix);
    }

    /** A change that adds a route of this name and prefix to the configuration, and leaves all others as they are. */
    public static String amendmentDocument(long epoch, long base, String name) {
        return """
                {"epoch":%d,"baseVersion":%d,
                 "upsert":{"routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares","maxTries","target"],
                  "rows":[["%s","x.example","/%s/","idempotent","1500ms","600ms",1,null,2,"desk"]]}}}
                """.formatted(epoch, base, name, name);
    }

    public static OperatorRequest.ConfigurationChange change(long epoch, long base, String prefix) {
        return change(document(epoch, base, prefix));
    }

    public static OperatorRequest.ConfigurationChange amendment(long epoch, long base, String name) {
        return parse(true, amendmentDocument(epoch, base, name));
    }

    /** A change with so many routes, no two alike, that nothing much is saved by packing them. */
    public OperatorRequest.ConfigurationChange largeChange(long epoch, long base, int routes) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            rows.append(i == 0 ? "" : ",")
                    .append("[\"r")
                    .append(i)
                    .append("\",\"x.example\",\"/")
                    .append(Long.toHexString(simulator.random.nextLong()))
                    .append("/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]");
        }
        String document = document(epoch, base, "one");
        int rowsStart = document.indexOf("[[\"r\"") + 1;
        return change(
                document.substring(0, rowsStart) + rows + document.substring(document.indexOf("]]", rowsStart) + 1));
    }

    private static OperatorRequest.ConfigurationChange change(String document) {
        return parse(false, document);
    }

    private static OperatorRequest.ConfigurationChange parse(boolean isAmendment, String document) {
        try {
            return OperatorRequest.parseChange(isAmendment, document.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a change to the present leader; there is no answer where there is none or the leader is lost. */
    public void submitToLeader(OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> onOutcome) {
        ControllerNode controller = leader();
        if (controller != null) {
            controller.submitChange(change, onOutcome);
        }
    }
}
