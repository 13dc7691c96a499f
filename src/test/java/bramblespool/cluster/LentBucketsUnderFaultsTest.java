package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.state.Tenant;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A tenant's limit while the proxies that hold its bucket, and the controllers that lend it, fail in turn. */
class LentBucketsUnderFaultsTest {
    private static final int CONTROLLERS = 4;
    private static final int SIDECARS = 9;
    private static final int STEP_MS = 20;
    private static final int STEPS = 2500;
    private static final Tenant TENANT = new Tenant("hot", -1, 40, 40);
    /** The figures of the simulated settings: a window of 5 s, a tenth more, and 20. */
    private static final long WINDOW_MS = 5000;

    private static final double LIMIT_IN_WINDOW = (40 * 5 + 40) * 1.1 + 20;

    private Random random;
    private SimulatedMesh mesh;
    private final List<Long> grantTimesMs = new ArrayList<>();
    /** Machines that are down, cut off or frozen, and when that ends. */
    private final Map<String, Long> faultyUntilMs = new HashMap<>();

    private final Set<String> leaving = new HashSet<>();

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 16));
    }

    private void request(String peer) {
        DataPlaneNode proxy = mesh.sidecars.get(peer);
        if (proxy == null || mesh.simulator.machine(peer).isFrozen()) {
            return;
        }
        proxy.requestAdmission.admit(
                new RequestAdmission.AdmissionRequest(TENANT.name(), TENANT, 1, null, 0),
                300,
                new RequestAdmission.AdmissionHandler() {
                    @Override
                    public void proceed(IdempotencyTable.Operation operation) {
                        grantTimesMs.add(mesh.simulator.nowMs());
                    }

                    @Override
                    public void reject(int status, long retryMs, String reason) {}

                    @Override
                    public void replay(StoredResponse response) {}
                });
    }

    /** The sidecar that holds buckets, mostly, so that it is hit often; else any machine. */
    private String randomVictim() {
        int choice = random.nextInt(3);
        if (choice == 0) {
            return SimulatedMesh.controllerPeer(random.nextInt(CONTROLLERS));
        }
        if (choice == 1) {
            return SimulatedMesh.sidecarPeer(random.nextInt(SIDECARS));
        }
        return mesh.sidecars.entrySet().stream()
                .filter(entry -> holdsBuckets(entry.getValue()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(SimulatedMesh.sidecarPeer(0));
    }

    private static boolean holdsBuckets(DataPlaneNode proxy) {
        return statusOf(proxy).path("bucketGroups").asInt() > 0;
    }

    private static JsonNode statusOf(PeerTransport.RequestHandler daemon) {
        ObjectNode[] status = new ObjectNode[1];
        daemon.handleRequest("status", JsonNodeFactory.instance.objectNode(), answer -> status[0] = answer);
        return status[0];
    }

    private boolean isController(String peer) {
        return peer.startsWith("10.0.0.");
    }

    private void fail(String peer) {
        long nowMs = mesh.simulator.nowMs();
        boolean isControllerFaulty = faultyUntilMs.keySet().stream().anyMatch(this::isController);
        if (faultyUntilMs.containsKey(peer) || isController(peer) && isControllerFaulty) {
            return;
        }
        long durationMs = 200 + random.nextInt(4000);
        faultyUntilMs.put(peer, nowMs + durationMs);
        SimulatedMachine machine = mesh.simulator.machine(peer);
        switch (random.nextInt(isController(peer) ? 4 : 5)) {
            case 0 -> {
                if (isController(peer)) {
                    mesh.killController(peer, random.nextBoolean());
                } else {
                    mesh.killSidecar(peer);
                }
            }
            case 1 -> mesh.simulator.setIsolated(peer, true);
            case 2 -> machine.freeze(durationMs, random.nextBoolean());
            case 4 -> loseControllers(peer, isControllerFaulty);
            default -> {
                // It leaves in order: what it holds goes back.
                leaving.add(peer);
                if (isController(peer)) {
                    mesh.controllers.get(peer).leave();
                } else {
                    mesh.sidecars.get(peer).shutDownGracefully(durationMs);
                }
            }
        }
    }

    /** All other proxies still reach it, but no controller does; the owner of the shard, if it can go, goes as well. */
    private void loseControllers(String peer, boolean isControllerFaulty) {
        mesh.controllers.keySet().forEach(controller -> {
            mesh.simulator.setLinkCut(peer, controller, true);
            mesh.simulator.setLinkCut(controller, peer, true);
        });
        Optional<String> owner = mesh.controllers.entrySet().stream()
                .filter(entry -> statusOf(entry.getValue()).path("slices").asInt() > 0)
                .map(Map.Entry::getKey)
                .findFirst();
        if (owner.isPresent() && !isControllerFaulty) {
            faultyUntilMs.put(owner.get(), mesh.simulator.nowMs() + random.nextInt(4000));
            mesh.killController(owner.get(), true);
        }
    }

    private void recover() {
        long nowMs = mesh.simulator.nowMs();
        for (String peer : List.copyOf(faultyUntilMs.keySet())) {
            if (faultyUntilMs.get(peer) > nowMs) {
                continue;
            }
            faultyUntilMs.remove(peer);
            mesh.simulator.setIsolated(peer, false);
            restart(peer);
        }
    }

    /** Who was cut off or stood still may go on or end; who left has to end. */
    private void restart(String peer) {
        boolean isUp = mesh.simulator.machine(peer).isUp();
        if (isUp && !leaving.remove(peer) && random.nextBoolean()) {
            return;
        }
        if (isController(peer)) {
            if (isUp) {
                mesh.killController(peer, false);
            }
            mesh.startController(peer, false);
        } else {
            if (isUp) {
                mesh.killSidecar(peer);
            }
            mesh.startSidecar(peer);
        }
    }

    private void assertLimitHeld(int seed) {
        for (int from = 0, to = 0; to < grantTimesMs.size(); to++) {
            while (grantTimesMs.get(to) - grantTimesMs.get(from) > WINDOW_MS) {
                from++;
            }
            int granted = to - from + 1;
            assertTrue(granted <= LIMIT_IN_WINDOW, "seed " + seed + ": " + granted + " in a window");
        }
    }

    /** Guards against QUOTA: a bucket that two proxies hold, or one that is filled again by changing hands. */
    @ParameterizedTest
    @MethodSource("seeds")
    void limitHoldsInEveryWindowWhoeverHoldsTheBucket(int seed) {
        random = new Random(seed);
        mesh = new SimulatedMesh(seed, CONTROLLERS, SIDECARS);
        mesh.simulator.run(5000);
        long startMs = mesh.simulator.nowMs();
        for (int step = 0; step < STEPS; step++) {
            for (int i = 0; i < 8; i++) {
                request(SimulatedMesh.sidecarPeer(random.nextInt(SIDECARS)));
            }
            if (random.nextInt(60) == 0) {
                fail(randomVictim());
            }
            mesh.simulator.run(STEP_MS);
            recover();
        }
        assertLimitHeld(seed);
        double seconds = (mesh.simulator.nowMs() - startMs) / 1000.0;
        assertTrue(
                grantTimesMs.size() > seconds * TENANT.ratePerSecond() / 2,
                "seed " + seed + ": " + grantTimesMs.size() + " in " + seconds + " s");
    }
}
