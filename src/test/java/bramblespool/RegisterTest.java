package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.register.RegisterProposer.Outcome;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
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
import org.junit.jupiter.params.provider.ValueSource;

/** The registers under losses: histories are checked for linearizability, and that what was claimed is never lost. */
class RegisterTest {
    /** One change as its caller saw it. An unsure one may have taken effect at any time from its beginning on, or never. */
    private static final class Op {
        final String value;
        final String instead;
        final long from;
        long to = Long.MAX_VALUE;
        Outcome outcome = Outcome.UNKNOWN;

        Op(String value, String instead, long from) {
            this.value = value;
            this.instead = instead;
            this.from = from;
        }

        boolean from(String state) {
            return state == null || state.equals(value) || state.equals(instead);
        }
    }

    /**
     * Whether the changes can be put in one order that agrees with the times they were seen at, and in which each that was
     * won found what it asked for. (Wing and Gong's search; the histories are short.)
     */
    static boolean linearizable(List<Op> ops) {
        return search(ops, 0, null, new HashSet<>());
    }

    private static boolean search(List<Op> ops, int done, String state, Set<String> seen) {
        boolean rest = false;
        long first = Long.MAX_VALUE;
        for (int i = 0; i < ops.size(); i++) {
            if ((done & 1 << i) == 0 && ops.get(i).outcome == Outcome.CHOSEN) {
                rest = true;
                first = Math.min(first, ops.get(i).to);
            }
        }
        if (!rest) {
            return true;
        }
        if (!seen.add(done + " " + state)) {
            return false;
        }
        for (int i = 0; i < ops.size(); i++) {
            Op o = ops.get(i);
            if ((done & 1 << i) == 0 && o.from <= first && o.from(state) && search(ops, done | 1 << i, o.value, seen)) {
                return true;
            }
        }
        return false;
    }

    private static List<Op> history(Object... words) {
        List<Op> out = new ArrayList<>();
        for (int i = 0; i < words.length; i += 5) {
            Op o = new Op((String) words[i], (String) words[i + 1], (Integer) words[i + 2]);
            o.to = (Integer) words[i + 3];
            o.outcome = (Outcome) words[i + 4];
            out.add(o);
        }
        return out;
    }

    @Test
    void theCheckerTellsHistoriesApart() {
        assertTrue(linearizable(history("a", null, 0, 5, Outcome.CHOSEN, "b", "a", 6, 9, Outcome.CHOSEN)));
        assertTrue(
                !linearizable(history("a", null, 0, 5, Outcome.CHOSEN, "b", null, 6, 9, Outcome.CHOSEN)),
                "two claims won");
        assertTrue(
                !linearizable(history("b", "a", 0, 5, Outcome.CHOSEN, "a", null, 6, 9, Outcome.CHOSEN)),
                "in the wrong order");
        assertTrue(linearizable(history(
                "a", null, 0, 5, Outcome.UNKNOWN, "b", "a", 6, 9, Outcome.CHOSEN, "c", "b", 10, 12, Outcome.CHOSEN)));
        assertTrue(
                !linearizable(history(
                        "a",
                        null,
                        0,
                        5,
                        Outcome.UNKNOWN,
                        "b",
                        null,
                        6,
                        9,
                        Outcome.CHOSEN,
                        "c",
                        "a",
                        10,
                        12,
                        Outcome.CHOSEN)),
                "an unsure one cannot have come between what it does not fit");
    }

    private final Map<String, List<Op>> histories = new HashMap<>();
    private SimMesh mesh;
    private int values;

    private void propose(ControllerNode at, String id, String instead, java.util.function.Consumer<Op> then) {
        Op o = new Op("side " + ++values, instead, mesh.world.now());
        histories.computeIfAbsent(id, i -> new ArrayList<>()).add(o);
        at.registerProposer.compareAndSet(id, o.value, instead, 400, r -> {
            o.to = mesh.world.now();
            o.outcome = r.outcome();
            then.accept(o);
        });
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 24));
    }

    /** Two disks are never lost within the time a new voter takes; everything else may happen at any time. */
    @ParameterizedTest
    @MethodSource("seeds")
    void claimsAreLinearizableUnderLosses(int seed) {
        Random random = new Random(seed);
        mesh = new SimMesh(seed, 3 + seed % 3, 0);
        mesh.world.run(4000);
        List<String> peers =
                IntStream.range(0, 3 + seed % 3).mapToObj(SimMesh::helmPeer).toList();
        Map<String, String> given = new HashMap<>();
        Set<String> down = new HashSet<>();
        long wipedAt = -100_000;
        for (int step = 0; step < 500; step++) {
            String peer = peers.get(random.nextInt(peers.size()));
            SimWorld.Machine m = mesh.world.machine(peer);
            int what = random.nextInt(100);
            if (what < 3 && down.isEmpty()) {
                boolean power = random.nextBoolean();
                mesh.killHelm(peer, power);
                if (random.nextInt(3) == 0 && mesh.world.now() - wipedAt > 20_000) {
                    m.disk.wipe();
                    wipedAt = mesh.world.now();
                }
                down.add(peer);
            } else if (what < 4) {
                // Everybody loses power at once, in the middle of whatever there is.
                for (String p : peers) {
                    if (down.add(p)) {
                        mesh.killHelm(p, true);
                    }
                }
            } else if (what < 18 && !down.isEmpty()) {
                for (String p : List.copyOf(down)) {
                    mesh.startHelm(p, false);
                }
                down.clear();
            } else if (what >= 18 && what < 21) {
                mesh.world.isolate(peer, true);
            } else if (what < 30) {
                peers.forEach(p -> mesh.world.isolate(p, false));
            } else if (what < 33) {
                m.disk.slowMs = m.disk.slowMs == 0 ? 150 : 0;
            } else if (!down.contains(peer)) {
                // A handful of registers at a time, so that claims meet; none gets more than a few.
                String id = "3/r" + (step / 60 * 4 + random.nextInt(4));
                if (histories.getOrDefault(id, List.of()).size() < 9) {
                    String instead = given.get(id);
                    propose(mesh.helms.get(peer), id, instead, o -> {
                        // Some of those who won give their claim away again, for others to replace.
                        if (o.outcome == Outcome.CHOSEN && random.nextInt(3) == 0) {
                            given.put(id, o.value);
                        }
                    });
                }
            }
            mesh.world.run(random.nextInt(80));
        }
        long won = 0;
        for (Map.Entry<String, List<Op>> h : histories.entrySet()) {
            won += h.getValue().stream()
                    .filter(o -> o.outcome == Outcome.CHOSEN)
                    .count();
            assertTrue(
                    linearizable(h.getValue()),
                    () -> "seed " + seed + ", " + h.getKey() + ": "
                            + h.getValue().stream()
                                    .map(o ->
                                            o.value + " for " + o.instead + " " + o.outcome + " " + o.from + "-" + o.to)
                                    .toList());
        }
        assertTrue(won > 3, "seed " + seed + ": only " + won + " were won at all");
    }

    private Outcome set(String id, String value, String instead) {
        Outcome[] got = new Outcome[1];
        // Whoever lives may be asked.
        ControllerNode at = mesh.helms.values().iterator().next();
        at.registerProposer.compareAndSet(id, value, instead, 1500, r -> got[0] = r.outcome());
        for (int i = 0; i < 100 && got[0] == null; i++) {
            mesh.world.run(20);
        }
        return got[0];
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aClaimOutlivesTheLossOfADiskTogetherWithThePowerOfAll(boolean fast) {
        for (int lost = 0; lost < 3; lost++) {
            mesh = new SimMesh(90 + lost, 4, 0);
            mesh.world.run(4000);
            for (int i = 0; i < 12; i++) {
                assertEquals(Outcome.CHOSEN, set(i + "/k", "first " + i, fast ? null : "none"));
            }
            for (int i = 0; i < 4; i++) {
                mesh.killHelm(SimMesh.helmPeer(i), true);
            }
            mesh.world.machine(SimMesh.helmPeer(lost)).disk.wipe();
            for (int i = 0; i < 4; i++) {
                mesh.startHelm(SimMesh.helmPeer(i), false);
            }
            mesh.world.run(8000);
            for (int i = 0; i < 12; i++) {
                assertEquals(Outcome.CONFLICT, set(i + "/k", "second " + i, null), "disk " + lost + " lost");
            }
        }
    }

    /** Every voter loses its disk in its turn; each time the new one reads what the others have before it counts. */
    @Test
    void claimsAreHandedOnWhileEveryVoterIsReplaced() {
        mesh = new SimMesh(7, 3, 0);
        mesh.world.run(4000);
        for (int i = 0; i < 8; i++) {
            assertEquals(Outcome.CHOSEN, set(i + "/k", "first " + i, null));
        }
        for (int lost = 0; lost < 3; lost++) {
            mesh.killHelm(SimMesh.helmPeer(lost), true);
            mesh.world.machine(SimMesh.helmPeer(lost)).disk.wipe();
            mesh.startHelm(SimMesh.helmPeer(lost), false);
            mesh.world.run(12_000);
            assertTrue(
                    mesh.helms.get(SimMesh.helmPeer(lost)).registerProposer.isSynced(), "the new voter has read them");
            assertEquals(3, mesh.leader().raft.voters().size());
        }
        for (int i = 0; i < 8; i++) {
            assertEquals(Outcome.CONFLICT, set(i + "/k", "second " + i, null));
        }
    }

    @Test
    void aClaimIsOneRoundWhereItsHelmIsAskedAndIsForgottenAfterItsLife() {
        mesh = new SimMesh(11, 3, 0);
        mesh.world.run(4000);
        long[] least = {Long.MAX_VALUE};
        mesh.helms.values().forEach(h -> {
            long before = mesh.world.messages;
            boolean[] won = new boolean[1];
            h.registerProposer.compareAndSet(
                    "5/k" + mesh.helms.size() + h.raft.localId(),
                    "a",
                    null,
                    400,
                    r -> won[0] = r.outcome() == Outcome.CHOSEN);
            mesh.world.run(60);
            assertTrue(won[0]);
            least[0] = Math.min(least[0], mesh.world.messages - before);
        });
        // Two messages for the claim itself; the rest is what helms say to each other all the time.
        assertTrue(least[0] <= 8, least[0] + " messages");
        mesh.world.run(100_000);
        mesh.helms.values().forEach(h -> assertEquals(0, h.registerProposer.registerCount(), "forgotten"));
    }
}
