package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.answer.StoredResponse;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.state.Tenant;
import bramblespool.testing.SimulatedDisk;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Idempotency keys and rate limits over a simulated mesh: what runs, how often, and how repeats are answered. */
class IdempotencyAndRateLimitTest {
    private static final int SIDECARS = 9;

    private SimulatedMesh mesh;
    private Random random;
    /** What reached a server, by key, and the answer of the first that was answered. */
    private final Map<String, Integer> executionsByKey = new HashMap<>();

    private final Map<String, String> firstResponses = new HashMap<>();
    private int servedCount;
    private int repeatedCount;

    private DataPlaneNode sidecar(int i) {
        return mesh.sidecars.get(SimulatedMesh.sidecarPeer(i));
    }

    private void start(long seed, int controllers) {
        random = new Random(seed);
        mesh = new SimulatedMesh(seed, controllers, SIDECARS);
        mesh.simulator.run(5000);
    }

    /** One attempt at a proxy: what was admitted reaches a server, is rejected, or is lost. */
    private void attempt(int sidecarIndex, String key, java.util.function.IntConsumer onStatus) {
        DataPlaneNode proxy = sidecar(sidecarIndex);
        if (proxy == null) {
            return;
        }
        SimulatedMachine machine = mesh.simulator.machine(SimulatedMesh.sidecarPeer(sidecarIndex));
        proxy.requestAdmission.admit(
                new RequestAdmission.AdmissionRequest(
                        "t", null, 1, proxy.admissionClient.registerId("t", key), key.hashCode()),
                400,
                new RequestAdmission.AdmissionHandler() {
                    @Override
                    public void proceed(IdempotencyTable.Operation operation) {
                        int choice = random.nextInt(10);
                        if (choice < 2) {
                            proxy.idempotencyTable.markIdle(operation);
                            onStatus.accept(503);
                            return;
                        }
                        executionsByKey.merge(key, 1, Integer::sum);
                        // The answer, if any, comes while this process runs.
                        machine.schedule(20 + random.nextInt(200), () -> {
                            if (choice < 3) {
                                proxy.idempotencyTable.markUnknown(operation);
                                onStatus.accept(502);
                            } else {
                                String body = key + " " + mesh.simulator.nowMs();
                                firstResponses.putIfAbsent(key, body);
                                proxy.idempotencyTable.recordResponse(
                                        operation,
                                        new StoredResponse(
                                                200,
                                                List.of("X-Server-Seal", "s"),
                                                body.getBytes(StandardCharsets.UTF_8)));
                                servedCount++;
                                onStatus.accept(200);
                            }
                        });
                    }

                    @Override
                    public void reject(int status, long retryMs, String why) {
                        onStatus.accept(status);
                    }

                    @Override
                    public void replay(StoredResponse a) {
                        repeatedCount++;
                        assertEquals(
                                firstResponses.get(key),
                                new String(a.body(), StandardCharsets.UTF_8),
                                "a repeat gets the first answer");
                        onStatus.accept(200);
                    }
                });
    }

    /** Retries after any answer and after a silence, sometimes elsewhere; and once more when it was served. */
    private void retryUntilServed(String key, int sidecarIndex, int remainingAttempts) {
        if (remainingAttempts == 0) {
            return;
        }
        boolean[] isAnswered = new boolean[1];
        java.util.function.IntConsumer onStatus = status -> {
            if (!isAnswered[0]) {
                isAnswered[0] = true;
                mesh.simulator.scheduleEvent(
                        random.nextInt(150),
                        () -> retryUntilServed(
                                key,
                                random.nextInt(3) > 0 ? sidecarIndex : random.nextInt(SIDECARS),
                                remainingAttempts - 1));
            }
        };
        attempt(sidecarIndex, key, onStatus);
        mesh.simulator.scheduleEvent(600, () -> onStatus.accept(0));
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 16));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void operationsRunAtMostOnceUnderRandomFaults(int seed) {
        start(seed, 3 + seed % 2);
        Set<String> down = new HashSet<>();
        long wipedAtMs = -100_000;
        int keys = 0;
        for (int step = 0; step < 400; step++) {
            int choice = random.nextInt(100);
            int controllerIndex = random.nextInt(3 + seed % 2);
            String peer = random.nextBoolean()
                    ? SimulatedMesh.controllerPeer(controllerIndex)
                    : SimulatedMesh.sidecarPeer(random.nextInt(SIDECARS));
            boolean isController = mesh.controllers.containsKey(peer);
            if (choice < 4 && down.size() < 3 && mesh.simulator.machine(peer).isUp()) {
                if (isController && down.stream().anyMatch(disk -> disk.startsWith("10.0.0."))) {
                    continue;
                }
                if (isController) {
                    mesh.killController(peer, true);
                    if (random.nextInt(4) == 0 && mesh.simulator.nowMs() - wipedAtMs > 20_000) {
                        mesh.simulator.machine(peer).disk.wipe();
                        wipedAtMs = mesh.simulator.nowMs();
                    }
                } else {
                    mesh.killSidecar(peer);
                }
                down.add(peer);
            } else if (choice < 5 && step % 100 > 80) {
                // Everything loses power at once.
                for (int i = 0; i < 3 + seed % 2; i++) {
                    if (down.add(SimulatedMesh.controllerPeer(i))) {
                        mesh.killController(SimulatedMesh.controllerPeer(i), true);
                    }
                }
                for (int i = 0; i < SIDECARS; i++) {
                    if (down.add(SimulatedMesh.sidecarPeer(i))) {
                        mesh.killSidecar(SimulatedMesh.sidecarPeer(i));
                    }
                }
            } else if (choice < 18) {
                for (String downPeer : down) {
                    if (downPeer.startsWith("10.0.0.")) {
                        mesh.startController(downPeer, false);
                    } else {
                        mesh.startSidecar(downPeer);
                    }
                }
                down.clear();
            } else if (choice < 21) {
                mesh.simulator.setIsolated(peer, true);
            } else if (choice < 27) {
                IntStream.range(0, 4).forEach(i -> mesh.simulator.setIsolated(SimulatedMesh.controllerPeer(i), false));
                IntStream.range(0, SIDECARS)
                        .forEach(i -> mesh.simulator.setIsolated(SimulatedMesh.sidecarPeer(i), false));
            } else if (choice < 30) {
                mesh.simulator.machine(peer).freeze(300 + random.nextInt(1500));
            } else if (choice < 32) {
                SimulatedDisk disk = mesh.simulator.machine(SimulatedMesh.controllerPeer(controllerIndex)).disk;
                disk.extraSyncMs = disk.extraSyncMs == 0 ? 120 : 0;
            } else {
                retryUntilServed("k" + ++keys, random.nextInt(SIDECARS), 4);
            }
            mesh.simulator.run(20 + random.nextInt(80));
        }
        executionsByKey.forEach((key, n) -> assertEquals(1, n, "seed " + seed + ": " + key + " ran more than once"));
        assertTrue(
                servedCount > 30 && repeatedCount > 30,
                "seed " + seed + ": " + servedCount + " served, " + repeatedCount + " repeated");
    }

    /** Both daemons that knew are gone: the operation stays shut, and honestly so. */
    @Test
    void operationWithLostOutcomeStaysBlocked() {
        start(5, 4);
        String key = "k";
        int[] statuses = {0, 0};
        while (executionsByKey.getOrDefault(key, 0) == 0) {
            attempt(2, key, s -> statuses[0] = s);
            mesh.simulator.run(300);
        }
        mesh.killSidecar(SimulatedMesh.sidecarPeer(2));
        mesh.simulator.run(100);
        for (int at : new int[] {3, 4}) {
            attempt(at, key, s -> statuses[1] = s);
            mesh.simulator.run(1200);
            assertEquals(502, statuses[1], "proxy gone: 409 would say that it is in progress");
        }
        mesh.startSidecar(SimulatedMesh.sidecarPeer(2));
        mesh.simulator.run(3000);
        attempt(2, key, s -> statuses[1] = s);
        mesh.simulator.run(1200);
        assertEquals(502, statuses[1], "a new incarnation of that proxy does not know either");
        assertEquals(1, executionsByKey.get(key));
    }

    // ---- limits

    private static final double RATE_PER_S = 40;
    private static final double BURST = 40;
    private final List<Long> grantTimesMs = new ArrayList<>();
    private int rejectedBelowLimit;
    private int askedCount;

    private void requestToken(int sidecarIndex, String tenant, double ratePerS, Runnable onRejected) {
        DataPlaneNode proxy = sidecar(sidecarIndex);
        if (proxy == null) {
            return;
        }
        askedCount++;
        proxy.requestAdmission.admit(
                new RequestAdmission.AdmissionRequest(tenant, new Tenant(tenant, -1, ratePerS, BURST), 1, null, 0),
                300,
                new RequestAdmission.AdmissionHandler() {
                    @Override
                    public void proceed(IdempotencyTable.Operation o) {
                        if (tenant.equals("hot")) {
                            grantTimesMs.add(mesh.simulator.nowMs());
                        }
                    }

                    @Override
                    public void reject(int status, long retryMs, String why) {
                        onRejected.run();
                    }

                    @Override
                    public void replay(StoredResponse a) {}
                });
    }

    /** How long after the last fault, with at most one controller still faulty, the others are stable. */
    private static final int SETTLING_TIME_MS = 1500;

    private static final int STEP_MS = 20;

    /**
     * One tenant sends ten times its limit from everywhere while controllers die, are partitioned, freeze and come
     * back.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void rateLimitHoldsInEveryWindowUnderRandomFaults(int seed) {
        start(seed, 4);
        Set<String> down = new HashSet<>();
        Set<String> partitioned = new HashSet<>();
        long[] frozenUntilMs = new long[4];
        long lastFaultMs = 0;
        int calmSteps = 0;
        int calmGrants = 0;
        for (int step = 0; step < 2800; step++) {
            int grantsBefore = grantTimesMs.size();
            for (int i = 0; i < 8; i++) {
                requestToken(random.nextInt(SIDECARS), "hot", RATE_PER_S, () -> {});
            }
            // The end is quiet.
            int choice = step < 2500 ? random.nextInt(500) : step == 2500 ? 9 : step == 2501 ? 19 : 500;
            int controllerIndex = random.nextInt(4);
            String peer = SimulatedMesh.controllerPeer(controllerIndex);
            if (choice < 4 && down.isEmpty()) {
                mesh.killController(peer, random.nextBoolean());
                down.add(peer);
            } else if (choice < 10) {
                down.forEach(p -> mesh.startController(p, false));
                down.clear();
            } else if (choice < 14) {
                mesh.simulator.setIsolated(peer, true);
                partitioned.add(peer);
            } else if (choice < 20) {
                IntStream.range(0, 4).forEach(i -> mesh.simulator.setIsolated(SimulatedMesh.controllerPeer(i), false));
                partitioned.clear();
            } else if (choice < 24) {
                long durationMs = 200 + random.nextInt(3000);
                mesh.simulator.machine(peer).freeze(durationMs);
                frozenUntilMs[controllerIndex] =
                        Math.max(frozenUntilMs[controllerIndex], mesh.simulator.nowMs()) + durationMs;
            }
            mesh.simulator.run(STEP_MS);
            Set<String> unhealthy = new HashSet<>(down);
            unhealthy.addAll(partitioned);
            IntStream.range(0, 4)
                    .filter(i -> frozenUntilMs[i] > mesh.simulator.nowMs())
                    .forEach(i -> unhealthy.add(SimulatedMesh.controllerPeer(i)));
            if (choice < 24 || unhealthy.size() > 1) {
                lastFaultMs = mesh.simulator.nowMs();
            }
            if (mesh.simulator.nowMs() - lastFaultMs > SETTLING_TIME_MS) {
                calmSteps++;
                calmGrants += grantTimesMs.size() - grantsBefore;
            }
        }
        // The figures of the settings: a window of 5 s, a tenth more, and 20.
        double limit = (RATE_PER_S * 5 + BURST) * 1.1 + 20;
        for (int from = 0, to = 0; to < grantTimesMs.size(); to++) {
            while (grantTimesMs.get(to) - grantTimesMs.get(from) > 5000) {
                from++;
            }
            assertTrue(
                    to - from + 1 <= limit, "seed " + seed + ": " + (to - from + 1) + " in a window, at most " + limit);
        }
        // Whatever else happens: with all controllers but one healthy for a while, who asks for more than all gets all
        // there is.
        assertTrue(
                calmGrants > RATE_PER_S * calmSteps * STEP_MS / 1000 * 0.9,
                "seed " + seed + ": " + calmGrants + " in " + calmSteps + " calm steps");
    }

    /** A tenant below its limit is served wherever it asks; and while the owner of its shard dies, mostly. */
    @Test
    void tenantBelowLimitIsServedEverywhere() {
        start(3, 4);
        mesh.simulator.run(3000);
        for (int phase = 0; phase < 2; phase++) {
            askedCount = 0;
            rejectedBelowLimit = 0;
            for (int step = 0; step < 400; step++) {
                for (String t : List.of("a", "b", "c", "d", "e", "f")) {
                    if (random.nextInt(2) == 0) {
                        requestToken(random.nextInt(SIDECARS), t, RATE_PER_S, () -> rejectedBelowLimit++);
                    }
                }
                if (phase == 1 && step == 100) {
                    mesh.killController(SimulatedMesh.controllerPeer(0), true);
                }
                mesh.simulator.run(20);
            }
            assertTrue(
                    rejectedBelowLimit <= askedCount * (phase == 0 ? 0.01 : 0.1),
                    phase + ": " + rejectedBelowLimit + " of " + askedCount + " refused");
        }
    }
}
