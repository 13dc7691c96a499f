package bramblespool.cluster;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.protocol.OperatorRequest;
import bramblespool.state.Tenant;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.SimulatedPlatform;
import bramblespool.testing.Simulator;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures what docs/CAPACITY.md rests on: hollow daemons (the real coordination code and its JSON, no sockets and no
 * traffic of clients) share this process on a simulated wire, at several sizes; the slopes are fitted over these. Not a
 * test, and not run in CI: see the page for the command.
 */
public final class CapacityMeasurement {
    private static final int CONTROLLERS = 6;
    /** What is measured, in the order of the sizes. */
    private static final Map<String, List<Double>> FIGURES = new TreeMap<>();

    private CapacityMeasurement() {}

    public static void main(String[] args) {
        List<Integer> sizes = new ArrayList<>();
        for (String a : args) {
            sizes.add(Integer.parseInt(a));
        }
        if (sizes.size() < 3) {
            System.err.println("three sizes or more are wanted, such as 100 200 400 800");
            System.exit(2);
        }
        measure(sizes.get(0));
        FIGURES.clear();
        sizes.forEach(CapacityMeasurement::measure);
        System.out.println("| figure | "
                + String.join(" | ", sizes.stream().map(Object::toString).toList())
                + " | at 0 | for each daemon more | scatter of the fit |");
        System.out.println("| --- |" + " --- |".repeat(sizes.size() + 3));
        FIGURES.forEach((name, values) -> System.out.println("| " + name + " | "
                + String.join(
                        " | ", values.stream().map(CapacityMeasurement::format).toList()) + " | " + fit(sizes, values)
                + " |"));
    }

    private static String format(double value) {
        return String.format(
                Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 1 ? "%.2f" : "%.4f", value);
    }

    /** Least squares: the value at 0, the slope, and the root mean square of what is left over its mean. */
    private static String fit(List<Integer> sizes, List<Double> values) {
        int count = sizes.size();
        double meanSize = sizes.stream().mapToDouble(v -> v).average().orElse(0);
        double meanValue = values.stream().mapToDouble(v -> v).average().orElse(0);
        double covarianceSum = 0;
        double varianceSum = 0;
        for (int i = 0; i < count; i++) {
            covarianceSum += (sizes.get(i) - meanSize) * (values.get(i) - meanValue);
            varianceSum += (sizes.get(i) - meanSize) * (sizes.get(i) - meanSize);
        }
        double slope = covarianceSum / varianceSum;
        double residualSum = 0;
        for (int i = 0; i < count; i++) {
            double residual = values.get(i) - (meanValue + slope * (sizes.get(i) - meanSize));
            residualSum += residual * residual;
        }
        return format(meanValue - slope * meanSize) + " | " + String.format(Locale.ROOT, "%.3g", slope) + " | "
                + String.format(
                        Locale.ROOT,
                        "%.1f %%",
                        100 * Math.sqrt(residualSum / count) / Math.max(1e-12, Math.abs(meanValue)));
    }

    private static void recordFigure(String name, double value) {
        FIGURES.computeIfAbsent(name, k -> new ArrayList<>()).add(value);
    }

    private static long usedMemoryBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static long cpuTimeNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void measure(int proxies) {
        long emptyBytes = usedMemoryBytes();
        SimulatedMesh mesh = SimulatedMesh.withUsageReports(5, CONTROLLERS, proxies, new SimulatedPlatform());
        Simulator simulator = mesh.simulator;
        simulator.run(20_000);
        int daemons = proxies + CONTROLLERS;
        recordFigure("memory of a daemon, kB", (usedMemoryBytes() - emptyBytes) / 1024.0 / daemons);

        // Nothing happens.
        Map<String, long[]> before = trafficByPeer(mesh);
        simulator.trafficByKind = new HashMap<>();
        long cpuBeforeNs = cpuTimeNs();
        long messagesBefore = simulator.messageCount;
        simulator.run(20_000);
        double seconds = 20;
        recordFigure(
                "idle: messages a daemon and second", (simulator.messageCount - messagesBefore) / seconds / daemons);
        recordFigure(
                "idle: processor of a daemon, micros a second",
                (cpuTimeNs() - cpuBeforeNs) / 1000.0 / seconds / daemons);
        recordTrafficByRole(mesh, before, seconds, proxies, "idle");
        simulator.trafficByKind.forEach(
                (k, v) -> recordFigure("idle: bytes a daemon and second, " + k, v[1] / seconds / daemons));
        simulator.trafficByKind = null;

        // One change of configuration, with 560 routes to start from.
        submitAndAwait(mesh, mesh.largeChange(5, 0, 560));
        simulator.run(3000);
        before = trafficByPeer(mesh);
        long startMs = simulator.nowMs();
        cpuBeforeNs = cpuTimeNs();
        messagesBefore = simulator.messageCount;
        long idleMessagesPerS = (long) (FIGURES.get("idle: messages a daemon and second")
                        .get(FIGURES.get("idle: messages a daemon and second").size() - 1)
                * daemons);
        submitAndAwait(mesh, mesh.largeChange(6, 5, 561));
        recordFigure("a change: until every side has it, ms", simulator.nowMs() - startMs);
        simulator.run(2000);
        double elapsedS = (simulator.nowMs() - startMs) / 1000.0;
        recordFigure(
                "a change: messages a daemon",
                (simulator.messageCount - messagesBefore - idleMessagesPerS * elapsedS) / daemons);
        recordFigure("a change: processor of all, ms", (cpuTimeNs() - cpuBeforeNs) / 1e6);
        Map<String, long[]> after = trafficByPeer(mesh);
        long maxMessages = 0;
        for (int i = 0; i < CONTROLLERS; i++) {
            String p = SimulatedMesh.controllerPeer(i);
            maxMessages = Math.max(maxMessages, after.get(p)[0] - before.get(p)[0]);
        }
        recordFigure("a change: messages of the busiest helm", maxMessages);

        // Claims and tokens: each a request of its own.
        for (boolean keyed : new boolean[] {false, true}) {
            simulator.run(1000);
            before = trafficByPeer(mesh);
            cpuBeforeNs = cpuTimeNs();
            messagesBefore = simulator.messageCount;
            startMs = simulator.nowMs();
            int requestCount = 4000;
            int[] admittedCount = new int[1];
            for (int i = 0; i < requestCount; i++) {
                DataPlaneNode proxy = mesh.sidecars.get(SimulatedMesh.sidecarPeer(i % proxies));
                String tenant = "t" + i % 97;
                proxy.admissionClient.admit(
                        tenant,
                        new Tenant(tenant, -1, 1e6, 1e6),
                        1,
                        keyed ? proxy.admissionClient.registerId(tenant, "k" + i) : null,
                        keyed ? "10.0.0.1:7000 life " + i : null,
                        null,
                        300,
                        a -> admittedCount[0] += a.verdict() == AdmissionClient.Verdict.ADMITTED ? 1 : 0);
                simulator.run(1);
            }
            simulator.run(500);
            elapsedS = (simulator.nowMs() - startMs) / 1000.0;
            String label = keyed ? "a claim with a token" : "a token";
            recordFigure(label + ": let through of " + requestCount, admittedCount[0]);
            recordFigure(
                    label + ": messages",
                    (simulator.messageCount - messagesBefore - idleMessagesPerS * elapsedS) / requestCount);
            recordFigure(
                    label + ": processor of all, micros",
                    ((cpuTimeNs() - cpuBeforeNs) / 1000.0
                                    - lastFigure("idle: processor of a daemon, micros a second") * daemons * elapsedS)
                            / requestCount);
        }
        recordFigure(
                "registers held by a voter",
                mesh.controllers.values().iterator().next().registers().registerCount());

        // A tenth of the sides dies, and comes back.
        messagesBefore = simulator.messageCount;
        cpuBeforeNs = cpuTimeNs();
        for (int i = 0; i < proxies / 10; i++) {
            mesh.killSidecar(SimulatedMesh.sidecarPeer(i * 10));
        }
        simulator.run(1000);
        for (int i = 0; i < proxies / 10; i++) {
            mesh.startSidecar(SimulatedMesh.sidecarPeer(i * 10));
        }
        simulator.run(9000);
        recordFigure(
                "a restart: messages of all, for each that came back",
                (simulator.messageCount - messagesBefore - idleMessagesPerS * 10.0) / (proxies / 10.0));
        recordFigure(
                "a restart: processor of all, ms for each",
                ((cpuTimeNs() - cpuBeforeNs) / 1e6
                                - lastFigure("idle: processor of a daemon, micros a second") * daemons * 10 / 1000)
                        / (proxies / 10.0));
    }

    private static double lastFigure(String name) {
        List<Double> figures = FIGURES.get(name);
        return figures.get(figures.size() - 1);
    }

    private static Map<String, long[]> trafficByPeer(SimulatedMesh mesh) {
        Map<String, long[]> traffic = new HashMap<>();
        mesh.controllers
                .keySet()
                .forEach(p -> traffic.put(
                        p,
                        new long[] {mesh.simulator.machine(p).handledMessages, mesh.simulator.machine(p).sentBytes}));
        mesh.sidecars
                .keySet()
                .forEach(p -> traffic.put(
                        p,
                        new long[] {mesh.simulator.machine(p).handledMessages, mesh.simulator.machine(p).sentBytes}));
        return traffic;
    }

    private static void recordTrafficByRole(
            SimulatedMesh mesh, Map<String, long[]> before, double seconds, int proxies, String when) {
        Map<String, long[]> after = trafficByPeer(mesh);
        String leader =
                bramblespool.raft.RaftNode.addressOf(mesh.leader().raft().localId());
        double[] controllerTotals = new double[2];
        double[] proxyTotals = new double[2];
        after.forEach((peer, traffic) -> {
            double[] totals =
                    mesh.controllers.containsKey(peer) ? peer.equals(leader) ? null : controllerTotals : proxyTotals;
            if (totals != null) {
                totals[0] += (traffic[0] - before.get(peer)[0]) / seconds;
                totals[1] += (traffic[1] - before.get(peer)[1]) / seconds;
            }
        });
        recordFigure(when + ": messages and answers handled by a side a second", proxyTotals[0] / proxies);
        recordFigure(when + ": bytes sent by a side a second", proxyTotals[1] / proxies);
        recordFigure(
                when + ": messages and answers handled by a cell a second", controllerTotals[0] / (CONTROLLERS - 1));
        recordFigure(when + ": bytes sent by a cell a second", controllerTotals[1] / (CONTROLLERS - 1));
        recordFigure(
                when + ": messages and answers handled by the leader a second",
                (after.get(leader)[0] - before.get(leader)[0]) / seconds);
        recordFigure(
                when + ": bytes sent by the leader a second", (after.get(leader)[1] - before.get(leader)[1]) / seconds);
    }

    private static void submitAndAwait(SimulatedMesh mesh, OperatorRequest.ConfigurationChange change) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(change, o -> outcome[0] = o);
        long epoch = change.document().get("epoch").getAsLong();
        for (int i = 0; i < 1000; i++) {
            mesh.simulator.run(10);
            if (outcome[0] != null && mesh.sidecars.values().stream().allMatch(x -> x.shadowCommit.epoch() == epoch)) {
                return;
            }
        }
        throw new IllegalStateException("the change did not reach all: " + outcome[0]);
    }
}
