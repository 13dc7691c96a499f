package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.SimulatedPlatform;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Usage reports against a platform that checks them: one content a window, one owner a fencing token, no return to a
 * former owner.
 */
class UsageReportingTest {
    private static final int SIDECARS = 8;
    private static final long WINDOW_MS = 5000;
    private static final long LEASE_MS = 3000;

    private final SimulatedPlatform platform = new SimulatedPlatform();
    private SimulatedMesh mesh;
    private Random random;
    private final Map<Long, Map<String, Integer>> expectedCounts = new TreeMap<>();

    private void start(long seed) {
        random = new Random(seed);
        mesh = SimulatedMesh.withUsageReports(seed, 4, SIDECARS, platform);
        mesh.simulator.run(4000);
    }

    private long wallClockMs() {
        return 1_000_000_000L + mesh.simulator.nowMs();
    }

    /** Some runs begin somewhere. */
    private void generateTraffic() {
        for (int i = 0; i < 3; i++) {
            DataPlaneNode proxy = mesh.sidecars.get(SimulatedMesh.sidecarPeer(random.nextInt(SIDECARS)));
            if (proxy != null) {
                String tenant = "t" + random.nextInt(4);
                proxy.usageCounter.recordRun(tenant);
                expectedCounts
                        .computeIfAbsent(wallClockMs() / WINDOW_MS, k -> new HashMap<>())
                        .merge(tenant, 1, Integer::sum);
            }
        }
    }

    private void runWithTraffic(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
            generateTraffic();
            mesh.simulator.run(20);
        }
    }

    private void assertReportsConsistent(String description) {
        platform.acceptedReports.forEach(
                (w, r) -> assertTrue(!r.contains(" AND "), description + ": two reports of window " + w + ": " + r));
        Map<Long, String> ownerByToken = new HashMap<>();
        String previousOwner = "";
        long previousOwnerMs = 0;
        String lastOwner = "";
        long lastOwnerMs = 0;
        for (SimulatedPlatform.ReceivedReport report : platform.receivedReports) {
            assertEquals(
                    report.owner(),
                    ownerByToken.computeIfAbsent(report.fencingToken(), f -> report.owner()),
                    description + ": one owner to a fencing token");
            if (report.code() != 200) {
                continue;
            }
            if (!report.owner().equals(lastOwner)) {
                assertTrue(
                        !report.owner().equals(previousOwner) || report.atMs() - previousOwnerMs > LEASE_MS,
                        description + ": " + previousOwner + ", " + lastOwner + " and back");
                previousOwner = lastOwner;
                previousOwnerMs = lastOwnerMs;
            }
            lastOwner = report.owner();
            lastOwnerMs = report.atMs();
        }
    }

    private static JsonNode usageCounts(String report) {
        try {
            return new ObjectMapper().readTree(report).path("tallies");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The share by which any tenant's count of the windows from one on is off, at the most. */
    private double maxRelativeError(long fromWindow, long toWindow) {
        double maxError = 0;
        for (long window = fromWindow; window < toWindow; window++) {
            String report = platform.acceptedReports.get(window);
            assertTrue(
                    report != null, "window " + window + " is missing; there are " + platform.acceptedReports.keySet());
            JsonNode counts = usageCounts(report);
            for (Map.Entry<String, Integer> expected :
                    expectedCounts.getOrDefault(window, Map.of()).entrySet()) {
                maxError = Math.max(
                        maxError,
                        Math.abs(counts.path(expected.getKey()).asInt() - expected.getValue())
                                / (double) expected.getValue());
            }
        }
        return maxError;
    }

    @Test
    void everyWindowIsReportedOnceInTimeAndAccurately() {
        start(1);
        long firstWindow = wallClockMs() / WINDOW_MS + 1;
        runWithTraffic(40_000);
        long lastWindow = wallClockMs() / WINDOW_MS - 2;
        // Clocks agree to a round trip: a run at the border may be counted in the window beside.
        assertEquals(0, maxRelativeError(firstWindow, lastWindow), 0.02);
        assertReportsConsistent("calm");
        long windows = platform.acceptedReports.size();
        assertEquals(windows, platform.receivedReports.size(), "one call for each");
        for (SimulatedPlatform.ReceivedReport call : platform.receivedReports) {
            assertTrue(1_000_000_000L + call.atMs() - (call.window() + 1) * WINDOW_MS < 10_000, "in time");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 7000, 86_400_000})
    void minorityOfSkewedClocksChangesNothing(long skewMs) {
        start(2);
        mesh.simulator.machine(SimulatedMesh.controllerPeer(0)).clockSkewMs = skewMs;
        mesh.sidecars.keySet().stream().limit(3).forEach(p -> mesh.simulator.machine(p).clockSkewMs = -skewMs);
        runWithTraffic(6000);
        long firstWindow = wallClockMs() / WINDOW_MS + 1;
        runWithTraffic(30_000);
        assertEquals(0, maxRelativeError(firstWindow, wallClockMs() / WINDOW_MS - 2), 0.02);
        assertReportsConsistent("skew " + skewMs);
    }

    /**
     * How the platform may answer; what counts is that each window is said once in the end, and none is taken for
     * said.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 404, 429, 500, 503, 302})
    void everyWindowIsReportedWhateverPlatformAnswers(int status) {
        start(3);
        runWithTraffic(8000);
        long firstWindow = wallClockMs() / WINDOW_MS + 1;
        // A report that was taken and whose answer is lost, or any other answer, for two windows and more.
        if (status == 200) {
            platform.isAnswerLost = () -> true;
        } else {
            platform.statusOverride = () -> status;
        }
        int callsBefore = platform.receivedReports.size();
        runWithTraffic(12_000);
        int calls = platform.receivedReports.size() - callsBefore;
        assertTrue(calls <= 16, calls + " calls while it did not answer");
        platform.statusOverride = null;
        platform.isAnswerLost = () -> false;
        runWithTraffic(25_000);
        assertEquals(0, maxRelativeError(firstWindow, wallClockMs() / WINDOW_MS - 3), 0.02);
        assertReportsConsistent("answers " + status);
    }

    @Test
    void slowPlatformGetsOneCallAtATime() {
        start(4);
        runWithTraffic(8000);
        platform.delayMs = 2000;
        runWithTraffic(15_000);
        platform.delayMs = 4000;
        runWithTraffic(15_000);
        platform.delayMs = 0;
        runWithTraffic(20_000);
        assertReportsConsistent("slow");
        assertTrue(
                platform.acceptedReports.size() >= 9,
                platform.acceptedReports.keySet().toString());
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 16));
    }

    /** Holders die, are cut off, stand still; everything loses power; the platform is down; disks are lost. */
    @ParameterizedTest
    @MethodSource("seeds")
    void oneReportPerWindowUnderRandomFaults(int seed) {
        start(seed);
        Set<String> down = new HashSet<>();
        long wipedAtMs = -100_000;
        for (int step = 0; step < 220; step++) {
            int choice = random.nextInt(100);
            String lastOwner = platform.receivedReports.isEmpty()
                    ? ""
                    : platform.receivedReports
                            .get(platform.receivedReports.size() - 1)
                            .owner();
            // Mostly whoever acted last.
            int index = lastOwner.startsWith("helm-") && random.nextInt(3) > 0
                    ? Integer.parseInt(lastOwner.substring(5)) - 1
                    : random.nextInt(4);
            String peer = SimulatedMesh.controllerPeer(index);
            if (choice < 6 && down.isEmpty() && mesh.controllers.containsKey(peer)) {
                mesh.killController(peer, random.nextBoolean());
                if (random.nextInt(4) == 0 && mesh.simulator.nowMs() - wipedAtMs > 25_000) {
                    mesh.simulator.machine(peer).disk.wipe();
                    wipedAtMs = mesh.simulator.nowMs();
                }
                down.add(peer);
            } else if (choice < 7) {
                for (int controllerIndex = 0; controllerIndex < 4; controllerIndex++) {
                    if (down.add(SimulatedMesh.controllerPeer(controllerIndex))) {
                        mesh.killController(SimulatedMesh.controllerPeer(controllerIndex), true);
                    }
                }
            } else if (choice < 25) {
                down.forEach(p -> mesh.startController(p, false));
                down.clear();
            } else if (choice < 29) {
                mesh.simulator.setIsolated(peer, true);
            } else if (choice < 40) {
                IntStream.range(0, 4)
                        .forEach(controllerIndex ->
                                mesh.simulator.setIsolated(SimulatedMesh.controllerPeer(controllerIndex), false));
            } else if (choice < 45) {
                mesh.simulator.machine(peer).freeze(300 + random.nextInt(6000));
            } else if (choice < 48) {
                platform.statusOverride = () -> random.nextBoolean() ? 0 : 503;
            } else if (choice < 51) {
                platform.isAnswerLost = random::nextBoolean;
            } else if (choice < 60) {
                platform.statusOverride = null;
                platform.isAnswerLost = () -> false;
            } else if (choice < 62) {
                platform.delayMs = random.nextInt(3000);
            } else if (choice < 68) {
                platform.delayMs = 0;
            }
            runWithTraffic(100 + random.nextInt(500));
        }
        assertReportsConsistent("seed " + seed);
        platform.statusOverride = null;
        platform.isAnswerLost = () -> false;
        platform.delayMs = 0;
        down.forEach(p -> mesh.startController(p, false));
        IntStream.range(0, 4)
                .forEach(controllerIndex ->
                        mesh.simulator.setIsolated(SimulatedMesh.controllerPeer(controllerIndex), false));
        runWithTraffic(25_000);
        assertReportsConsistent("seed " + seed);
        long currentWindow = wallClockMs() / WINDOW_MS;
        List<Long> missing = IntStream.range(3, 5)
                .mapToObj(n -> currentWindow - n)
                .filter(w -> !platform.acceptedReports.containsKey(w))
                .toList();
        assertTrue(
                missing.isEmpty(),
                "seed " + seed + ": once all is well windows are reported again, but for " + missing);
    }
}
