package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.sim.SimMesh;
import bramblespool.state.ReplicatedState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a helm may say, and what the group bears, while helms are cut off, lost, replaced and leave. */
class MajorityTest {
    private static final int SEEDS = 10;

    private static OperatorRequest.Result order(SimMesh mesh, long epoch, long base) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        for (int i = 0; i < 60 && (got[0] == null || got[0].status() == 503); i++) {
            got[0] = null;
            mesh.order(SimMesh.change(epoch, base, "v" + epoch), o -> got[0] = o);
            mesh.world.run(100);
        }
        return got[0];
    }

    private static SimMesh mesh(long seed, int helms, int losses) {
        SimMesh mesh = new SimMesh(seed, helms, 2, losses, null);
        mesh.world.run(4000);
        assertEquals(200, order(mesh, 5, 0).status());
        mesh.world.run(1000);
        return mesh;
    }

    private static String leader(SimMesh mesh) {
        return RaftNode.addressOf(mesh.leader().raft.localId());
    }

    /**
     * The old leader has not noticed yet that it is cut off, and another one has acknowledged a version. What the old one is
     * asked then it does not know, and may neither refuse nor confirm.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLeaderThatIsCutOffSaysNothingOfWhatIsDecided(boolean oneWay) {
        int asked = 0;
        for (long seed = 1; seed <= 4 * SEEDS; seed++) {
            SimMesh mesh = mesh(seed, 3, 1);
            String old = leader(mesh);
            ControllerNode cutOff = mesh.helms.get(old);
            mesh.world.run(mesh.world.random.nextInt(300));
            for (String h : mesh.helms.keySet()) {
                mesh.world.cut(old, h, !h.equals(old));
                mesh.world.cut(h, old, !h.equals(old) && !oneWay);
            }
            OperatorRequest.Result[] taken = new OperatorRequest.Result[1];
            for (int i = 0; i < 400 && (taken[0] == null || taken[0].status() != 200); i++) {
                for (ControllerNode h : mesh.helms.values()) {
                    if (h != cutOff && h.raft.isLeader()) {
                        h.submitChange(SimMesh.change(6, 5, "v6"), o -> taken[0] = o);
                    }
                }
                mesh.world.run(10);
            }
            assertEquals(200, taken[0].status(), "the others go on, seed " + seed);
            List<Integer> said = new ArrayList<>();
            if (cutOff.raft.isLeader()) {
                asked++;
            }
            cutOff.submitChange(SimMesh.change(7, 6, "v7"), o -> said.add(o.status()));
            cutOff.submitChange(SimMesh.change(8, 5, "v8"), o -> said.add(o.status()));
            cutOff.submitChange(SimMesh.change(5, 0, "v5"), o -> said.add(o.status()));
            cutOff.readConfiguration(v -> said.add(v == null ? 503 : 200));
            cutOff.evacuate("a", false, ok -> said.add(ok ? 200 : 503));
            mesh.world.run(4000);
            assertEquals(List.of(503, 503, 503, 503, 503), said, "seed " + seed);
            mesh.world.isolate(old, false);
            mesh.world.run(3000);
            assertEquals(6, mesh.leader().replicatedState().current().epoch());
        }
        assertTrue(oneWay || asked > SEEDS, "it still took itself for the leader in " + asked);
    }

    /** Nobody is sent to a helm that was the leader a while ago, nor to oneself. */
    @Test
    void theKnownLeaderLapses() {
        SimMesh mesh = mesh(3, 3, 1);
        String old = leader(mesh);
        ControllerNode other = mesh.helms.values().stream()
                .filter(h -> !h.raft.isLeader())
                .findFirst()
                .orElseThrow();
        assertNotNull(other.raft.leaderControlAddress());
        mesh.helms.keySet().stream()
                .filter(h -> mesh.helms.get(h) != other)
                .toList()
                .forEach(h -> mesh.killHelm(h, true));
        mesh.world.run(2000);
        assertEquals(null, other.raft.leaderControlAddress(), old + " is no longer known to lead");
    }

    /** Four helms, three voters: one is lost for good and another one after so long; what is there then agrees on things. */
    @ParameterizedTest
    @CsvSource({"2000, false", "3000, true", "4000, false", "4000, true", "6000, false", "8000, false"})
    void aSpareTakesTheLostPlaceBeforeTheNextLoss(long later, boolean leaderFirst) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertTrue(bears(seed, later, leaderFirst), "a majority is left, seed " + seed);
        }
    }

    /** Prints in how many of 40 seeds the next loss is borne so long after the last one. */
    public static void main(String[] args) {
        for (boolean leaderFirst : new boolean[] {false, true}) {
            for (long later : new long[] {500, 750, 1000, 1250, 1500, 1750, 2000, 2500, 3000, 4000}) {
                int borne = 0;
                for (long seed = 1; seed <= 4 * SEEDS; seed++) {
                    borne += bears(seed, later, leaderFirst) ? 1 : 0;
                }
                System.out.printf(
                        "%s lost, the next leader %4d ms later: borne in %d of %d%n",
                        leaderFirst ? "leader" : "voter", later, borne, 4 * SEEDS);
            }
        }
    }

    private static boolean bears(long seed, long later, boolean leaderFirst) {
        SimMesh mesh = mesh(seed, 4, 1);
        String first = mesh.leader().raft.voters().stream()
                .map(RaftNode::addressOf)
                .filter(v -> v.equals(leader(mesh)) == leaderFirst)
                .findFirst()
                .orElseThrow();
        mesh.killHelm(first, true);
        mesh.world.run(later);
        String next = mesh.leader() == null ? mesh.helms.keySet().iterator().next() : leader(mesh);
        mesh.killHelm(next, true);
        mesh.world.run(4000);
        OperatorRequest.Result o = order(mesh, 6, 5);
        return mesh.leader() != null && o != null && o.status() == 200;
    }

    /** Disks lost in turn, each the time {@code catchUp} after the last one's successor has started. */
    @ParameterizedTest
    @CsvSource({"3, 1", "4, 1", "5, 1", "5, 2", "6, 2"})
    void disksMayBeLostInTurn(int helms, int losses) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimMesh mesh = mesh(seed, helms, losses);
            for (int turn = 0; turn < 4; turn++) {
                List<String> lost = new ArrayList<>(mesh.leader().raft.voters().stream()
                        .map(RaftNode::addressOf)
                        .toList());
                java.util.Collections.shuffle(lost, mesh.world.random);
                lost.subList(losses, lost.size()).clear();
                for (String h : lost) {
                    mesh.killHelm(h, true);
                    mesh.world.machine(h).disk.wipe();
                }
                mesh.world.run(300 + mesh.world.random.nextInt(700));
                lost.forEach(h -> mesh.startHelm(h, false));
                mesh.world.run(4000);
                assertNotNull(mesh.leader(), "seed " + seed + " turn " + turn);
                assertEquals(200, order(mesh, 6 + turn, 5 + turn).status(), "seed " + seed + " turn " + turn);
            }
        }
    }

    /** It was replaced while it was away, and cannot know that from what lies on its disk. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whoWasReplacedWhileItWasAwayFollowsAgain(long seed) {
        SimMesh mesh = mesh(seed, 4, 1);
        String away = mesh.leader().raft.voters().stream()
                .map(RaftNode::addressOf)
                .filter(v -> !v.equals(leader(mesh)))
                .findFirst()
                .orElseThrow();
        mesh.world.isolate(away, true);
        mesh.world.run(20_000);
        assertEquals(200, order(mesh, 6, 5).status());
        assertFalse(
                mesh.leader().raft.voters().stream()
                        .map(RaftNode::addressOf)
                        .toList()
                        .contains(away),
                "its place is taken");
        mesh.world.isolate(away, false);
        mesh.world.run(3000);
        assertEquals(6, mesh.helms.get(away).replicatedState().current().epoch());
        assertEquals(200, order(mesh, 7, 6).status());
        mesh.world.run(500);
        assertEquals(7, mesh.helms.get(away).replicatedState().current().epoch());
    }

    /** SIGTERM: the lead goes to another one at once, and the leaver's place to a spare one where there is one. */
    @ParameterizedTest
    @CsvSource({"3, true", "3, false", "4, true", "4, false"})
    void whoLeavesHandsOverFirst(int helms, boolean leads) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimMesh mesh = mesh(seed, helms, 1);
            String leaver = mesh.leader().raft.voters().stream()
                    .map(RaftNode::addressOf)
                    .filter(v -> v.equals(leader(mesh)) == leads)
                    .findFirst()
                    .orElseThrow();
            ControllerNode h = mesh.helms.get(leaver);
            long term = mesh.leader().raft.currentTerm();
            h.leave();
            for (int i = 0; i < 200 && !h.hasLeft(); i++) {
                mesh.world.run(10);
            }
            assertTrue(h.hasLeft(), "it may go, seed " + seed);
            assertEquals(leads ? term + 1 : term, mesh.leader().raft.currentTerm(), "one election at most");
            mesh.killHelm(leaver, true);
            mesh.world.machine(leaver).disk.wipe();
            assertEquals(200, order(mesh, 6, 5).status(), "no pause, seed " + seed);
            if (helms == 4) {
                assertFalse(
                        mesh.leader().raft.voters().stream()
                                .map(RaftNode::addressOf)
                                .toList()
                                .contains(leaver),
                        "seed " + seed);
                // The group bears the next loss at once.
                mesh.killHelm(leader(mesh), true);
                mesh.world.run(3000);
                assertNotNull(mesh.leader(), "seed " + seed);
                assertEquals(200, order(mesh, 7, 6).status(), "seed " + seed);
            }
        }
    }

    /** Eight orders at once and a repeat: who can't win any more hears so at the decision, not after the phases. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void whatIsDecidedIsToldToAllThatWait(long seed) {
        SimMesh mesh = mesh(seed, 3, 1);
        mesh.world.isolate(SimMesh.weftPeer(1), true);
        List<Integer> said = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            mesh.order(SimMesh.change(6, 5, "rival" + i), o -> said.add(o.status()));
        }
        mesh.order(SimMesh.change(6, 5, "rival0"), o -> said.add(o.status()));
        for (int i = 0; i < 4000 && mesh.leader().replicatedState().current().epoch() < 6; i++) {
            mesh.world.run(1);
        }
        mesh.world.run(50);
        assertTrue(mesh.leader().replicatedState().phase() != ReplicatedState.Phase.MARKED, "phases are still to come");
        assertEquals(
                List.of(200, 200, 412, 412, 412, 412, 412, 412, 412),
                said.stream().sorted().toList());
    }

    /** The opposite of what is in force is under way: a repeat of the first order comes after it, and counts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anEvacuationThatWasConfirmedLastIsInForce(long seed) {
        SimMesh mesh = mesh(seed, 3, 1);
        List<Boolean> said = new ArrayList<>();
        for (boolean on : new boolean[] {true, false, true, false, true}) {
            mesh.leader().evacuate("a", on, said::add);
            if (said.isEmpty()) {
                mesh.world.run(100);
            }
        }
        mesh.world.run(200);
        assertEquals(List.of(true, true, true, true, true), said);
        assertTrue(mesh.leader().replicatedState().evacuations().get("a").isEvacuated());
    }

    /** However the votes fall, somebody leads soon after a leader's loss. */
    @Test
    void splitVotesAreSoonOver() {
        for (long seed = 1; seed <= 12 * SEEDS; seed++) {
            SimMesh mesh = mesh(seed, 5, 2);
            mesh.killHelm(leader(mesh), true);
            mesh.killHelm(mesh.helms.keySet().iterator().next(), true);
            long lost = mesh.world.now();
            while (mesh.leader() == null && mesh.world.now() - lost < 9000) {
                mesh.world.run(10);
            }
            // Three elections' times, of 600 ms each; every vote that is left is needed.
            assertTrue(mesh.world.now() - lost <= 1800, "seed " + seed + ": " + (mesh.world.now() - lost));
        }
    }
}
