package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimPlatform;
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

/** Usage reports against a platform that checks them: one content a window, one holder a fence, no change of hands and back. */
class MeteringTest {
    private static final int SIDES = 8;
    private static final long WINDOW = 5000;
    private static final long LEASE = 3000;

    private final SimPlatform platform = new SimPlatform();
    private SimMesh mesh;
    private Random random;
    private final Map<Long, Map<String, Integer>> truth = new TreeMap<>();

    private void start(long seed) {
        random = new Random(seed);
        mesh = SimMesh.metered(seed, 4, SIDES, platform);
        mesh.world.run(4000);
    }

    private long now() {
        return 1_000_000_000L + mesh.world.now();
    }

    /** Some runs begin somewhere. */
    private void traffic() {
        for (int i = 0; i < 3; i++) {
            DataPlaneNode w = mesh.wefts.get(SimMesh.weftPeer(random.nextInt(SIDES)));
            if (w != null) {
                String tenant = "t" + random.nextInt(4);
                w.usageCounter.recordRun(tenant);
                truth.computeIfAbsent(now() / WINDOW, k -> new HashMap<>()).merge(tenant, 1, Integer::sum);
            }
        }
    }

    private void run(long ms) {
        for (long t = 0; t < ms; t += 20) {
            traffic();
            mesh.world.run(20);
        }
    }

    private void check(String what) {
        platform.accepted.forEach(
                (w, r) -> assertTrue(!r.contains(" AND "), what + ": two reports of window " + w + ": " + r));
        Map<Long, String> holders = new HashMap<>();
        String before = "";
        long beforeAt = 0;
        String last = "";
        long lastAt = 0;
        for (SimPlatform.Call c : platform.reports) {
            assertEquals(
                    c.holder(), holders.computeIfAbsent(c.fence(), f -> c.holder()), what + ": one holder to a fence");
            if (c.code() != 200) {
                continue;
            }
            if (!c.holder().equals(last)) {
                assertTrue(
                        !c.holder().equals(before) || c.at() - beforeAt > LEASE,
                        what + ": " + before + ", " + last + " and back");
                before = last;
                beforeAt = lastAt;
            }
            last = c.holder();
            lastAt = c.at();
        }
    }

    private static JsonNode tallies(String report) {
        try {
            return new ObjectMapper().readTree(report).path("tallies");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The share by which any tenant's count of the windows from one on is off, at the most. */
    private double off(long from, long to) {
        double most = 0;
        for (long w = from; w < to; w++) {
            String r = platform.accepted.get(w);
            assertTrue(r != null, "window " + w + " is missing; there are " + platform.accepted.keySet());
            JsonNode t = tallies(r);
            for (Map.Entry<String, Integer> e : truth.getOrDefault(w, Map.of()).entrySet()) {
                most = Math.max(most, Math.abs(t.path(e.getKey()).asInt() - e.getValue()) / (double) e.getValue());
            }
        }
        return most;
    }

    @Test
    void everyWindowIsReportedOnceInTimeAndRight() {
        start(1);
        long first = now() / WINDOW + 1;
        run(40_000);
        long last = now() / WINDOW - 2;
        // Clocks agree to a round trip: a run at the border may be counted in the window beside.
        assertEquals(0, off(first, last), 0.02);
        check("calm");
        long windows = platform.accepted.size();
        assertEquals(windows, platform.reports.size(), "one call for each");
        for (SimPlatform.Call c : platform.reports) {
            assertTrue(1_000_000_000L + c.at() - (c.window() + 1) * WINDOW < 10_000, "in time");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, 7000, 86_400_000})
    void aMinorityOfClocksChangesNothing(long skew) {
        start(2);
        mesh.world.machine(SimMesh.helmPeer(0)).skewMs = skew;
        mesh.wefts.keySet().stream().limit(3).forEach(p -> mesh.world.machine(p).skewMs = -skew);
        run(6000);
        long first = now() / WINDOW + 1;
        run(30_000);
        assertEquals(0, off(first, now() / WINDOW - 2), 0.02);
        check("skew " + skew);
    }

    /** How the platform may answer; what counts is that each window is said once in the end, and none is taken for said. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 404, 429, 500, 503, 302})
    void whateverThePlatformAnswers(int code) {
        start(3);
        run(8000);
        long first = now() / WINDOW + 1;
        // A report that was taken and whose answer is lost, or any other answer, for two windows and more.
        if (code == 200) {
            platform.lost = () -> true;
        } else {
            platform.answer = () -> code;
        }
        int before = platform.reports.size();
        run(12_000);
        int tries = platform.reports.size() - before;
        assertTrue(tries <= 16, tries + " calls while it did not answer");
        platform.answer = null;
        platform.lost = () -> false;
        run(25_000);
        assertEquals(0, off(first, now() / WINDOW - 3), 0.02);
        check("answers " + code);
    }

    @Test
    void aSlowPlatformIsSentNothingElseMeanwhile() {
        start(4);
        run(8000);
        platform.slowMs = 2000;
        run(15_000);
        platform.slowMs = 4000;
        run(15_000);
        platform.slowMs = 0;
        run(20_000);
        check("slow");
        assertTrue(platform.accepted.size() >= 9, platform.accepted.keySet().toString());
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 16));
    }

    /** Holders die, are cut off, stand still; everything loses power; the platform is down; disks are lost. */
    @ParameterizedTest
    @MethodSource("seeds")
    void oneReportForEachWindowWhateverIsLost(int seed) {
        start(seed);
        Set<String> down = new HashSet<>();
        long wipedAt = -100_000;
        for (int step = 0; step < 220; step++) {
            int what = random.nextInt(100);
            String holder = platform.reports.isEmpty()
                    ? ""
                    : platform.reports.get(platform.reports.size() - 1).holder();
            // Mostly whoever acted last.
            int i = holder.startsWith("helm-") && random.nextInt(3) > 0
                    ? Integer.parseInt(holder.substring(5)) - 1
                    : random.nextInt(4);
            String peer = SimMesh.helmPeer(i);
            if (what < 6 && down.isEmpty() && mesh.helms.containsKey(peer)) {
                mesh.killHelm(peer, random.nextBoolean());
                if (random.nextInt(4) == 0 && mesh.world.now() - wipedAt > 25_000) {
                    mesh.world.machine(peer).disk.wipe();
                    wipedAt = mesh.world.now();
                }
                down.add(peer);
            } else if (what < 7) {
                for (int h = 0; h < 4; h++) {
                    if (down.add(SimMesh.helmPeer(h))) {
                        mesh.killHelm(SimMesh.helmPeer(h), true);
                    }
                }
            } else if (what < 25) {
                down.forEach(p -> mesh.startHelm(p, false));
                down.clear();
            } else if (what < 29) {
                mesh.world.isolate(peer, true);
            } else if (what < 40) {
                IntStream.range(0, 4).forEach(h -> mesh.world.isolate(SimMesh.helmPeer(h), false));
            } else if (what < 45) {
                mesh.world.machine(peer).freeze(300 + random.nextInt(6000));
            } else if (what < 48) {
                platform.answer = () -> random.nextBoolean() ? 0 : 503;
            } else if (what < 51) {
                platform.lost = random::nextBoolean;
            } else if (what < 60) {
                platform.answer = null;
                platform.lost = () -> false;
            } else if (what < 62) {
                platform.slowMs = random.nextInt(3000);
            } else if (what < 68) {
                platform.slowMs = 0;
            }
            run(100 + random.nextInt(500));
        }
        check("seed " + seed);
        platform.answer = null;
        platform.lost = () -> false;
        platform.slowMs = 0;
        down.forEach(p -> mesh.startHelm(p, false));
        IntStream.range(0, 4).forEach(h -> mesh.world.isolate(SimMesh.helmPeer(h), false));
        run(25_000);
        check("seed " + seed);
        long end = now() / WINDOW;
        List<Long> late = IntStream.range(3, 5)
                .mapToObj(n -> end - n)
                .filter(w -> !platform.accepted.containsKey(w))
                .toList();
        assertTrue(late.isEmpty(), "seed " + seed + ": once all is well windows are reported again, but for " + late);
    }
}
