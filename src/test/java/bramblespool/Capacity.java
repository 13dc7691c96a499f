package bramblespool;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.protocol.OperatorRequest;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimPlatform;
import bramblespool.sim.SimWorld;
import bramblespool.state.RoutingConfiguration;
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
public final class Capacity {
    private static final int HELMS = 6;
    /** What is measured, in the order of the sizes. */
    private static final Map<String, List<Double>> FIGURES = new TreeMap<>();

    private Capacity() {}

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
        sizes.forEach(Capacity::measure);
        System.out.println("| figure | "
                + String.join(" | ", sizes.stream().map(Object::toString).toList())
                + " | at 0 | for each daemon more | scatter of the fit |");
        System.out.println("| --- |" + " --- |".repeat(sizes.size() + 3));
        FIGURES.forEach((name, values) -> System.out.println("| " + name + " | "
                + String.join(" | ", values.stream().map(Capacity::text).toList()) + " | " + fit(sizes, values)
                + " |"));
    }

    private static String text(double v) {
        return String.format(Locale.ROOT, Math.abs(v) >= 100 ? "%.0f" : Math.abs(v) >= 1 ? "%.2f" : "%.4f", v);
    }

    /** Least squares: the value at 0, the slope, and the root mean square of what is left over its mean. */
    private static String fit(List<Integer> x, List<Double> y) {
        int n = x.size();
        double mx = x.stream().mapToDouble(v -> v).average().orElse(0);
        double my = y.stream().mapToDouble(v -> v).average().orElse(0);
        double xy = 0;
        double xx = 0;
        for (int i = 0; i < n; i++) {
            xy += (x.get(i) - mx) * (y.get(i) - my);
            xx += (x.get(i) - mx) * (x.get(i) - mx);
        }
        double slope = xy / xx;
        double rest = 0;
        for (int i = 0; i < n; i++) {
            double e = y.get(i) - (my + slope * (x.get(i) - mx));
            rest += e * e;
        }
        return text(my - slope * mx) + " | " + String.format(Locale.ROOT, "%.3g", slope) + " | "
                + String.format(Locale.ROOT, "%.1f %%", 100 * Math.sqrt(rest / n) / Math.max(1e-12, Math.abs(my)));
    }

    private static void note(String name, double value) {
        FIGURES.computeIfAbsent(name, k -> new ArrayList<>()).add(value);
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void measure(int sides) {
        long empty = used();
        SimMesh mesh = SimMesh.metered(5, HELMS, sides, new SimPlatform());
        SimWorld w = mesh.world;
        w.run(20_000);
        int daemons = sides + HELMS;
        note("memory of a daemon, kB", (used() - empty) / 1024.0 / daemons);

        // Nothing happens.
        Map<String, long[]> before = snapshot(mesh);
        w.kinds = new HashMap<>();
        long cpu = cpu();
        long messages = w.messages;
        w.run(20_000);
        double s = 20;
        note("idle: messages a daemon and second", (w.messages - messages) / s / daemons);
        note("idle: processor of a daemon, micros a second", (cpu() - cpu) / 1000.0 / s / daemons);
        role(mesh, before, s, sides, "idle");
        w.kinds.forEach((k, v) -> note("idle: bytes a daemon and second, " + k, v[1] / s / daemons));
        w.kinds = null;

        // One change of configuration, with 560 routes to start from.
        order(mesh, mesh.large(5, 0, 560), sides);
        w.run(3000);
        before = snapshot(mesh);
        long at = w.now();
        cpu = cpu();
        messages = w.messages;
        long idle = (long) (FIGURES.get("idle: messages a daemon and second")
                        .get(FIGURES.get("idle: messages a daemon and second").size() - 1)
                * daemons);
        order(mesh, mesh.large(6, 5, 561), sides);
        note("a change: until every side has it, ms", w.now() - at);
        w.run(2000);
        double took = (w.now() - at) / 1000.0;
        note("a change: messages a daemon", (w.messages - messages - idle * took) / daemons);
        note("a change: processor of all, ms", (cpu() - cpu) / 1e6);
        Map<String, long[]> after = snapshot(mesh);
        long most = 0;
        for (int i = 0; i < HELMS; i++) {
            String p = SimMesh.helmPeer(i);
            most = Math.max(most, after.get(p)[0] - before.get(p)[0]);
        }
        note("a change: messages of the busiest helm", most);

        // Claims and tokens: each a request of its own.
        for (boolean keyed : new boolean[] {false, true}) {
            w.run(1000);
            before = snapshot(mesh);
            cpu = cpu();
            messages = w.messages;
            at = w.now();
            int n = 4000;
            int[] gone = new int[1];
            for (int i = 0; i < n; i++) {
                DataPlaneNode side = mesh.wefts.get(SimMesh.weftPeer(i % sides));
                String tenant = "t" + i % 97;
                side.admissionClient.admit(
                        tenant,
                        new RoutingConfiguration.Tenant(tenant, -1, 1e6, 1e6),
                        1,
                        keyed ? side.admissionClient.registerId(tenant, "k" + i) : null,
                        keyed ? "10.0.0.1:7000 life " + i : null,
                        null,
                        300,
                        a -> gone[0] += a.verdict() == AdmissionClient.Verdict.ADMITTED ? 1 : 0);
                w.run(1);
            }
            w.run(500);
            took = (w.now() - at) / 1000.0;
            String what = keyed ? "a claim with a token" : "a token";
            note(what + ": let through of " + n, gone[0]);
            note(what + ": messages", (w.messages - messages - idle * took) / n);
            note(
                    what + ": processor of all, micros",
                    ((cpu() - cpu) / 1000.0 - last("idle: processor of a daemon, micros a second") * daemons * took)
                            / n);
        }
        note(
                "registers held by a voter",
                mesh.helms.values().iterator().next().registerProposer.registerCount());

        // A tenth of the sides dies, and comes back.
        messages = w.messages;
        at = w.now();
        cpu = cpu();
        for (int i = 0; i < sides / 10; i++) {
            mesh.killWeft(SimMesh.weftPeer(i * 10));
        }
        w.run(1000);
        for (int i = 0; i < sides / 10; i++) {
            mesh.startWeft(SimMesh.weftPeer(i * 10));
        }
        w.run(9000);
        note(
                "a restart: messages of all, for each that came back",
                (w.messages - messages - idle * 10.0) / (sides / 10.0));
        note(
                "a restart: processor of all, ms for each",
                ((cpu() - cpu) / 1e6 - last("idle: processor of a daemon, micros a second") * daemons * 10 / 1000)
                        / (sides / 10.0));
    }

    private static double last(String name) {
        List<Double> of = FIGURES.get(name);
        return of.get(of.size() - 1);
    }

    private static Map<String, long[]> snapshot(SimMesh mesh) {
        Map<String, long[]> out = new HashMap<>();
        mesh.helms
                .keySet()
                .forEach(p -> out.put(p, new long[] {mesh.world.machine(p).handled, mesh.world.machine(p).sentBytes}));
        mesh.wefts
                .keySet()
                .forEach(p -> out.put(p, new long[] {mesh.world.machine(p).handled, mesh.world.machine(p).sentBytes}));
        return out;
    }

    private static void role(SimMesh mesh, Map<String, long[]> before, double s, int sides, String when) {
        Map<String, long[]> after = snapshot(mesh);
        String leader = bramblespool.raft.RaftNode.addressOf(mesh.leader().raft.localId());
        double[] helm = new double[2];
        double[] side = new double[2];
        after.forEach((p, v) -> {
            double[] of = mesh.helms.containsKey(p) ? p.equals(leader) ? null : helm : side;
            if (of != null) {
                of[0] += (v[0] - before.get(p)[0]) / s;
                of[1] += (v[1] - before.get(p)[1]) / s;
            }
        });
        note(when + ": messages and answers handled by a side a second", side[0] / sides);
        note(when + ": bytes sent by a side a second", side[1] / sides);
        note(when + ": messages and answers handled by a cell a second", helm[0] / (HELMS - 1));
        note(when + ": bytes sent by a cell a second", helm[1] / (HELMS - 1));
        note(
                when + ": messages and answers handled by the leader a second",
                (after.get(leader)[0] - before.get(leader)[0]) / s);
        note(when + ": bytes sent by the leader a second", (after.get(leader)[1] - before.get(leader)[1]) / s);
    }

    private static void order(SimMesh mesh, OperatorRequest.ConfigurationChange change, int sides) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(change, o -> got[0] = o);
        long epoch = change.document().get("epoch").getAsLong();
        for (int i = 0; i < 1000; i++) {
            mesh.world.run(10);
            if (got[0] != null && mesh.wefts.values().stream().allMatch(x -> x.shadowCommit.epoch() == epoch)) {
                return;
            }
        }
        throw new IllegalStateException("the change did not reach all: " + got[0]);
    }
}
