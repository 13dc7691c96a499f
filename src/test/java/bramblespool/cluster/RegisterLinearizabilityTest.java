package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
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
class RegisterLinearizabilityTest {
    private enum Outcome {
        CHOSEN,
        CONFLICT,
        UNKNOWN;

        static Outcome of(RegisterResult result) {
            if (result instanceof RegisterResult.Chosen) {
                return CHOSEN;
            }
            return result instanceof RegisterResult.Conflict ? CONFLICT : UNKNOWN;
        }
    }

    /**
     * One change as its caller saw it. An unsure one may have taken effect at any time from its beginning on, or
     * never.
     */
    private static final class Operation {
        final String value;
        final String replaces;
        final long startedMs;
        long endedMs = Long.MAX_VALUE;
        Outcome outcome = Outcome.UNKNOWN;

        Operation(String value, String replaces, long startedMs) {
            this.value = value;
            this.replaces = replaces;
            this.startedMs = startedMs;
        }

        boolean accepts(String state) {
            return state == null || state.equals(value) || state.equals(replaces);
        }
    }

    /**
     * Whether the changes can be put in one order that agrees with the times they were seen at, and in which each
     * that was won found what it asked for. (Wing and Gong's search; the histories are short.)
     */
    static boolean isLinearizable(List<Operation> operations) {
        return search(operations, 0, null, new HashSet<>());
    }

    private static boolean search(List<Operation> operations, int doneMask, String state, Set<String> visited) {
        boolean isUnfinished = false;
        long earliestEndMs = Long.MAX_VALUE;
        for (int i = 0; i < operations.size(); i++) {
            if ((doneMask & 1 << i) == 0 && operations.get(i).outcome == Outcome.CHOSEN) {
                isUnfinished = true;
                earliestEndMs = Math.min(earliestEndMs, operations.get(i).endedMs);
            }
        }
        if (!isUnfinished) {
            return true;
        }
        if (!visited.add(doneMask + " " + state)) {
            return false;
        }
        for (int i = 0; i < operations.size(); i++) {
            Operation operation = operations.get(i);
            if ((doneMask & 1 << i) == 0
                    && operation.startedMs <= earliestEndMs
                    && operation.accepts(state)
                    && search(operations, doneMask | 1 << i, operation.value, visited)) {
                return true;
            }
        }
        return false;
    }

    private static List<Operation> historyOf(Object... fields) {
        List<Operation> operations = new ArrayList<>();
        for (int i = 0; i < fields.length; i += 5) {
            Operation operation = new Operation((String) fields[i], (String) fields[i + 1], (Integer) fields[i + 2]);
            operation.endedMs = (Integer) fields[i + 3];
            operation.outcome = (Outcome) fields[i + 4];
            operations.add(operation);
        }
        return operations;
    }

    @Test
    void checkerDistinguishesLinearizableHistories() {
        assertTrue(isLinearizable(historyOf("a", null, 0, 5, Outcome.CHOSEN, "b", "a", 6, 9, Outcome.CHOSEN)));
        assertTrue(
                !isLinearizable(historyOf("a", null, 0, 5, Outcome.CHOSEN, "b", null, 6, 9, Outcome.CHOSEN)),
                "two claims won");
        assertTrue(
                !isLinearizable(historyOf("b", "a", 0, 5, Outcome.CHOSEN, "a", null, 6, 9, Outcome.CHOSEN)),
                "in the wrong order");
        assertTrue(isLinearizable(historyOf(
                "a", null, 0, 5, Outcome.UNKNOWN, "b", "a", 6, 9, Outcome.CHOSEN, "c", "b", 10, 12, Outcome.CHOSEN)));
        assertTrue(
                !isLinearizable(historyOf(
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

    private final Map<String, List<Operation>> histories = new HashMap<>();
    private SimulatedMesh mesh;
    private int valueCount;

    private void propose(
            ControllerNode controller, String id, String replaces, java.util.function.Consumer<Operation> onDone) {
        Operation operation = new Operation("side " + ++valueCount, replaces, mesh.simulator.nowMs());
        histories.computeIfAbsent(id, i -> new ArrayList<>()).add(operation);
        controller.registerProposer().compareAndSet(id, operation.value, replaces, 400, result -> {
            operation.endedMs = mesh.simulator.nowMs();
            operation.outcome = Outcome.of(result);
            onDone.accept(operation);
        });
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("seeds", 24));
    }

    /** Two disks are never lost within the time a new voter takes; everything else may happen at any time. */
    @ParameterizedTest
    @MethodSource("seeds")
    void claimsAreLinearizableUnderRandomFaults(int seed) {
        Random random = new Random(seed);
        mesh = new SimulatedMesh(seed, 3 + seed % 3, 0);
        mesh.simulator.run(4000);
        List<String> peers = IntStream.range(0, 3 + seed % 3)
                .mapToObj(SimulatedMesh::controllerPeer)
                .toList();
        Map<String, String> released = new HashMap<>();
        Set<String> down = new HashSet<>();
        long wipedAtMs = -100_000;
        for (int step = 0; step < 500; step++) {
            String peer = peers.get(random.nextInt(peers.size()));
            SimulatedMachine machine = mesh.simulator.machine(peer);
            int choice = random.nextInt(100);
            if (choice < 3 && down.isEmpty()) {
                boolean losesPower = random.nextBoolean();
                mesh.killController(peer, losesPower);
                if (random.nextInt(3) == 0 && mesh.simulator.nowMs() - wipedAtMs > 20_000) {
                    machine.disk.wipe();
                    wipedAtMs = mesh.simulator.nowMs();
                }
                down.add(peer);
            } else if (choice < 4) {
                // Everybody loses power at once, in the middle of whatever there is.
                for (String votingPeer : peers) {
                    if (down.add(votingPeer)) {
                        mesh.killController(votingPeer, true);
                    }
                }
            } else if (choice < 18 && !down.isEmpty()) {
                for (String votingPeer : List.copyOf(down)) {
                    mesh.startController(votingPeer, false);
                }
                down.clear();
            } else if (choice >= 18 && choice < 21) {
                mesh.simulator.setIsolated(peer, true);
            } else if (choice < 30) {
                peers.forEach(votingPeer -> mesh.simulator.setIsolated(votingPeer, false));
            } else if (choice < 33) {
                machine.disk.extraSyncMs = machine.disk.extraSyncMs == 0 ? 150 : 0;
            } else if (!down.contains(peer)) {
                // A handful of registers at a time, so that claims meet; none gets more than a few.
                String id = "3/r" + (step / 60 * 4 + random.nextInt(4));
                if (histories.getOrDefault(id, List.of()).size() < 9) {
                    String replaces = released.get(id);
                    propose(mesh.controllers.get(peer), id, replaces, operation -> {
                        // Some of those who won give their claim away again, for others to replace.
                        if (operation.outcome == Outcome.CHOSEN && random.nextInt(3) == 0) {
                            released.put(id, operation.value);
                        }
                    });
                }
            }
            mesh.simulator.run(random.nextInt(80));
        }
        long won = 0;
        for (Map.Entry<String, List<Operation>> history : histories.entrySet()) {
            won += history.getValue().stream()
                    .filter(operation -> operation.outcome == Outcome.CHOSEN)
                    .count();
            assertTrue(
                    isLinearizable(history.getValue()),
                    () -> "seed " + seed + ", " + history.getKey() + ": "
                            + history.getValue().stream()
                                    .map(operation -> operation.value + " for " + operation.replaces + " "
                                            + operation.outcome + " " + operation.startedMs + "-" + operation.endedMs)
                                    .toList());
        }
        assertTrue(won > 3, "seed " + seed + ": only " + won + " were won at all");
    }

    private Outcome setAndAwait(String id, String value, String replaces) {
        Outcome[] outcome = new Outcome[1];
        // Any running process may be asked.
        ControllerNode at = mesh.controllers.values().iterator().next();
        at.registerProposer().compareAndSet(id, value, replaces, 1500, r -> outcome[0] = Outcome.of(r));
        for (int i = 0; i < 100 && outcome[0] == null; i++) {
            mesh.simulator.run(20);
        }
        return outcome[0];
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void claimSurvivesDiskLossWithPowerLossOfAll(boolean usesFastPath) {
        for (int lostIndex = 0; lostIndex < 3; lostIndex++) {
            mesh = new SimulatedMesh(90 + lostIndex, 4, 0);
            mesh.simulator.run(4000);
            for (int i = 0; i < 12; i++) {
                assertEquals(Outcome.CHOSEN, setAndAwait(i + "/k", "first " + i, usesFastPath ? null : "none"));
            }
            for (int i = 0; i < 4; i++) {
                mesh.killController(SimulatedMesh.controllerPeer(i), true);
            }
            mesh.simulator.machine(SimulatedMesh.controllerPeer(lostIndex)).disk.wipe();
            for (int i = 0; i < 4; i++) {
                mesh.startController(SimulatedMesh.controllerPeer(i), false);
            }
            mesh.simulator.run(8000);
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        Outcome.CONFLICT, setAndAwait(i + "/k", "second " + i, null), "disk " + lostIndex + " lost");
            }
        }
    }

    /** Every voter loses its disk in its turn; each time the new one reads what the others have before it counts. */
    @Test
    void claimsSurviveReplacementOfEveryVoter() {
        mesh = new SimulatedMesh(7, 3, 0);
        mesh.simulator.run(4000);
        for (int i = 0; i < 8; i++) {
            assertEquals(Outcome.CHOSEN, setAndAwait(i + "/k", "first " + i, null));
        }
        for (int lostIndex = 0; lostIndex < 3; lostIndex++) {
            mesh.killController(SimulatedMesh.controllerPeer(lostIndex), true);
            mesh.simulator.machine(SimulatedMesh.controllerPeer(lostIndex)).disk.wipe();
            mesh.startController(SimulatedMesh.controllerPeer(lostIndex), false);
            mesh.simulator.run(12_000);
            assertTrue(
                    mesh.controllers
                            .get(SimulatedMesh.controllerPeer(lostIndex))
                            .registers()
                            .isSynced(),
                    "the new voter has read them");
            assertEquals(3, mesh.leader().raft().voters().size());
        }
        for (int i = 0; i < 8; i++) {
            assertEquals(Outcome.CONFLICT, setAndAwait(i + "/k", "second " + i, null));
        }
    }

    @Test
    void claimTakesOneRoundAtItsControllerAndExpires() {
        mesh = new SimulatedMesh(11, 3, 0);
        mesh.simulator.run(4000);
        long[] minMessages = {Long.MAX_VALUE};
        mesh.controllers.values().forEach(controller -> {
            long messagesBefore = mesh.simulator.messageCount;
            boolean[] isWon = new boolean[1];
            controller
                    .registerProposer()
                    .compareAndSet(
                            "5/k" + mesh.controllers.size() + controller.raft().localId(),
                            "a",
                            null,
                            400,
                            r -> isWon[0] = r instanceof RegisterResult.Chosen);
            mesh.simulator.run(60);
            minMessages[0] = Math.min(minMessages[0], mesh.simulator.messageCount - messagesBefore);
            // Whoever prepares first takes two phases, each with a batch and a write.
            mesh.simulator.run(60);
            assertTrue(isWon[0]);
        });
        // Two messages for the claim itself; the rest is what controllers send each other all the time.
        assertTrue(minMessages[0] <= 8, minMessages[0] + " messages");
        mesh.simulator.run(100_000);
        mesh.controllers
                .values()
                .forEach(controller -> assertEquals(0, controller.registers().registerCount(), "forgotten"));
    }
}
