package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.sim.SimMesh;
import bramblespool.state.ReplicatedState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole clusters on a simulated network, clock and disks. */
class ClusterTest {
    private static OperatorRequest.Result order(SimMesh mesh, long epoch, long base, String prefix) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(SimMesh.change(epoch, base, prefix), o -> got[0] = o);
        for (int i = 0; i < 60 && got[0] == null; i++) {
            mesh.world.run(50);
        }
        return got[0];
    }

    private static void epochs(SimMesh mesh, long wanted) {
        mesh.wefts.forEach((peer, w) -> assertEquals(wanted, w.shadowCommit.epoch(), peer));
    }

    @Test
    void aQuietClusterCommitsThroughAllFourPhases() {
        SimMesh mesh = new SimMesh(1, 3, 6);
        mesh.world.run(4000);
        assertEquals(200, order(mesh, 5, 0, "one").status());
        mesh.world.run(1000);
        assertEquals(200, order(mesh, 9, 5, "two").status());
        mesh.world.run(1000);
        epochs(mesh, 9);
        ControllerNode leader = mesh.leader();
        assertEquals(ReplicatedState.Phase.MARKED, leader.replicatedState().phase());
        assertTrue(leader.commitCoordinator.unconfirmed().isEmpty(), "all confirmed");
        for (DataPlaneNode w : mesh.wefts.values()) {
            assertEquals("0", w.shadowCommit.currentMark(), "marking is back to the bit");
            assertEquals(5, w.shadowCommit.shadowConfiguration().epoch, "the old version is the shadow");
        }
    }

    @Test
    void staleInvalidAndRepeatedChangesAreToldApart() {
        SimMesh mesh = new SimMesh(2, 3, 3);
        mesh.world.run(4000);
        assertEquals(200, order(mesh, 5, 0, "one").status());
        assertEquals(200, order(mesh, 5, 0, "one").status(), "an exact repeat");
        assertEquals(412, order(mesh, 7, 0, "two").status(), "a stale base");
        assertEquals(400, order(mesh, 5, 5, "two").status(), "an epoch not above the current one");
        assertEquals(200, order(mesh, 8, 5, "two").status());
    }

    @Test
    void aSilentWeftDoesNotHoldUpTheCommitAndCatchesUp() {
        SimMesh mesh = new SimMesh(3, 3, 6);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        mesh.world.run(500);
        String away = SimMesh.weftPeer(2);
        mesh.world.isolate(away, true);
        assertEquals(200, order(mesh, 6, 5, "two").status());
        mesh.world.run(3000);
        assertEquals(5, mesh.wefts.get(away).shadowCommit.epoch());
        assertFalse(mesh.leader().commitCoordinator.unconfirmed().isEmpty(), "left unconfirmed");
        mesh.world.isolate(away, false);
        mesh.world.run(2500);
        epochs(mesh, 6);
    }

    @Test
    void theNextLeaderTakesUpThePhase() {
        for (int cutAt = 2; cutAt < 120; cutAt += 9) {
            SimMesh mesh = new SimMesh(100 + cutAt, 3, 4);
            mesh.world.run(4000);
            order(mesh, 5, 0, "one");
            mesh.world.run(500);
            OperatorRequest.Result[] got = new OperatorRequest.Result[1];
            mesh.order(SimMesh.change(6, 5, "two"), o -> got[0] = o);
            mesh.world.run(cutAt);
            String led = mesh.leader().raft.localId().split("#")[0];
            boolean acknowledged = got[0] != null && got[0].status() == 200;
            mesh.killHelm(led, true);
            mesh.world.run(8000);
            assertNotNull(mesh.leader(), "a new leader");
            long now = mesh.leader().replicatedState().current().epoch();
            if (acknowledged) {
                assertEquals(6, now, "acknowledged, killed after " + cutAt);
            }
            epochs(mesh, now);
            assertEquals(
                    ReplicatedState.Phase.MARKED,
                    mesh.leader().replicatedState().phase());
            assertEquals(200, order(mesh, 9, now, "three").status(), "the group goes on");
        }
    }

    @Test
    void aWipedHelmComesBackAsANewMember() {
        SimMesh mesh = new SimMesh(4, 3, 3);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        String peer = SimMesh.helmPeer(1);
        mesh.killHelm(peer, true);
        mesh.world.machine(peer).disk.wipe();
        mesh.world.run(500);
        mesh.startHelm(peer, false);
        mesh.world.run(6000);
        List<String> voters = mesh.leader().raft.voters();
        assertEquals(3, voters.size(), voters.toString());
        assertFalse(voters.contains(peer + "#0"), "the wiped incarnation is out: " + voters);
        // With its place taken the group bears the loss of another.
        mesh.killHelm(SimMesh.helmPeer(0), true);
        mesh.world.run(5000);
        assertEquals(5, mesh.leader().replicatedState().current().epoch());
    }

    @Test
    void aFullDiskAcknowledgesNothingAndRecovers() {
        SimMesh mesh = new SimMesh(5, 3, 3);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        String led = mesh.leader().raft.localId().split("#")[0];
        mesh.world.machine(led).disk.full = true;
        mesh.order(SimMesh.change(6, 5, "two"), o -> {});
        mesh.world.run(4000);
        assertFalse(mesh.helms.get(led).raft.isLeader(), "a helm that cannot sync gives up the lead");
        long now = mesh.leader().replicatedState().current().epoch();
        assertEquals(200, order(mesh, 8, now, "three").status());
        mesh.world.machine(led).disk.full = false;
        mesh.world.run(3000);
        assertEquals(8, mesh.helms.get(led).replicatedState().current().epoch());
    }

    @Test
    void sessionsMoveWhenAHelmIsLostAndNewsStillTravels() {
        SimMesh mesh = new SimMesh(6, 3, 6);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        mesh.killHelm(SimMesh.helmPeer(0), true);
        mesh.world.run(4000);
        mesh.wefts.forEach((p, w) -> assertTrue(w.hasSession(), p));
        mesh.helms.keySet().stream().toList().forEach(h -> mesh.killHelm(h, true));
        mesh.killWeft(SimMesh.weftPeer(0));
        mesh.startWeft(SimMesh.weftPeer(0));
        mesh.world.run(6000);
        DataPlaneNode back = mesh.wefts.get(SimMesh.weftPeer(0));
        assertEquals(5, back.shadowCommit.epoch(), "with the whole core gone the other wefts tell the version");
        assertTrue(back.isReady());
    }

    /**
     * A candidate reaches the wefts and its leader dies before the decision; one weft is cut off before it hears of the
     * end, and another change with the same number is decided without it. It must not take the one it kept.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 9, 12, 15, 18, 21, 24})
    void aCandidateThatWasAbortedIsNotTakenForAnotherOfItsNumber(int killedAfter) {
        SimMesh mesh = new SimMesh(40 + killedAfter, 3, 6);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        mesh.world.run(500);
        mesh.order(SimMesh.change(7, 5, "lost"), o -> {});
        mesh.world.run(killedAfter);
        mesh.killHelm(RaftNode.addressOf(mesh.leader().raft.leaderId()), true);
        String away = SimMesh.weftPeer(1);
        mesh.world.isolate(away, true);
        for (int i = 0;
                i < 200
                        && (mesh.leader() == null
                                || mesh.leader().replicatedState().candidate() != null);
                i++) {
            mesh.world.run(20);
        }
        boolean won = mesh.leader().replicatedState().current().epoch() == 5;
        if (won) {
            assertEquals(200, order(mesh, 7, 5, "won").status());
            mesh.world.run(300);
        }
        mesh.world.isolate(away, false);
        for (int i = 0; i < 200; i++) {
            mesh.world.run(20);
            mesh.wefts.forEach((p, w) -> assertTrue(
                    w.shadowCommit.epoch() < 7
                            || (w.shadowCommit.realConfiguration().route("x.example", "/won/") != null) == won,
                    p + " has a version that lost"));
        }
        epochs(mesh, 7);
    }

    /** Its last life had sessions of higher numbers: it is a member again, with the version in force, in a few messages. */
    @Test
    void aWeftThatComesBackIsAMemberAtOnce() {
        SimMesh mesh = new SimMesh(9, 3, 4);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        for (int again = 0; again < 3; again++) {
            mesh.world.run(700);
            mesh.killWeft(SimMesh.weftPeer(2));
            mesh.startWeft(SimMesh.weftPeer(2));
            mesh.world.run(60);
            DataPlaneNode back = mesh.wefts.get(SimMesh.weftPeer(2));
            assertTrue(back.hasSession() && back.shadowCommit.epoch() == 5, "after restart " + again);
        }
    }

    /** A cell is cut off from the other helms, its sides are not: they follow the others' version and evacuations in time. */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54, 55, 56, 57, 58})
    void sidesOfACellThatIsCutOffFollowInTime(long seed) {
        SimMesh mesh = new SimMesh(seed, 4, 8);
        mesh.world.run(6000);
        order(mesh, 5, 0, "one");
        mesh.world.run(1000);
        String cut = mesh.helms.keySet().stream()
                .filter(h -> !h.equals(RaftNode.addressOf(mesh.leader().raft.leaderId())))
                .findFirst()
                .orElseThrow();
        for (String h : mesh.helms.keySet()) {
            mesh.world.cut(cut, h, !h.equals(cut));
            mesh.world.cut(h, cut, !h.equals(cut));
        }
        mesh.world.run(mesh.world.random.nextInt(1500));
        assertEquals(200, order(mesh, 6, 5, "two").status());
        assertEquals(200, order(mesh, 7, 6, "three").status());
        mesh.world.run(2000);
        epochs(mesh, 7);
        boolean[] ok = new boolean[1];
        mesh.leader().evacuate("b", true, r -> ok[0] = r);
        mesh.world.run(3500);
        assertTrue(ok[0]);
        mesh.wefts.forEach(
                (p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p + " has not heard of the evacuation"));
    }

    /** A rolling restart ends the weft, not its server: others send to it until shortly before, and nobody after. */
    @Test
    void aWeftThatIsToEndLendsItsServerUntilShortlyBefore() {
        SimMesh mesh = new SimMesh(8, 3, 3);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        mesh.world.run(500);
        DataPlaneNode ending = mesh.wefts.get(SimMesh.weftPeer(0));
        DataPlaneNode other = mesh.wefts.get(SimMesh.weftPeer(1));
        ending.shutDownGracefully(2400);
        assertFalse(ending.isReady(), "no new clients");
        mesh.world.run(1300);
        assertTrue(offers(other, "weft-1"), "its server is still used");
        mesh.world.run(300);
        assertFalse(offers(other, "weft-1"), "told before it ends");
    }

    /** Whether a weft would send a request to that one's server. */
    private static boolean offers(DataPlaneNode from, String node) {
        Set<EndpointDirectory.Endpoint> seen = new HashSet<>();
        for (EndpointDirectory.Endpoint d = from.endpointDirectory.chooseEndpoint("desk", seen);
                d != null;
                d = from.endpointDirectory.chooseEndpoint("desk", seen)) {
            if (d.proxy.node.equals(node)) {
                return true;
            }
            seen.add(d);
        }
        return false;
    }

    @Test
    void anEvacuationOutlivesEveryHelm() {
        SimMesh mesh = new SimMesh(7, 3, 6);
        mesh.world.run(4000);
        order(mesh, 5, 0, "one");
        boolean[] ok = new boolean[1];
        mesh.leader().evacuate("b", true, r -> ok[0] = r);
        mesh.world.run(300);
        assertTrue(ok[0]);
        mesh.wefts.forEach((p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p));
        mesh.helms.keySet().stream().toList().forEach(h -> mesh.killHelm(h, true));
        mesh.wefts.keySet().stream().toList().forEach(mesh::killWeft);
        for (int i = 0; i < 3; i++) {
            mesh.startHelm(SimMesh.helmPeer(i), false);
        }
        for (int i = 0; i < 6; i++) {
            mesh.startWeft(SimMesh.weftPeer(i));
        }
        mesh.world.run(3000);
        mesh.wefts.forEach((p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p));
        epochs(mesh, 5);
    }

    /** Whoever owns a service's slack dies, and the leader with it: somebody else owns it then, under a higher fence. */
    @Test
    void leasesOfTheSlackOutliveTheirOwnerAndTheLeader() {
        SimMesh mesh = new SimMesh(4, 3, 4);
        mesh.world.run(4000);
        DataPlaneNode weft = mesh.wefts.get(SimMesh.weftPeer(0));
        ReplicatedState.SingletonRole first = leased(mesh, weft);
        mesh.killHelm(first.owner(), true);
        String leader = mesh.leader() == null
                ? null
                : RaftNode.addressOf(mesh.leader().raft.leaderId());
        if (leader != null) {
            mesh.killHelm(leader, true);
            mesh.startHelm(leader, false);
        }
        mesh.world.run(8000);
        ReplicatedState.SingletonRole next = leased(mesh, weft);
        assertTrue(
                next.fencingToken() > first.fencingToken() && !next.owner().equals(first.owner()),
                first + " then " + next);
    }

    /** Lets a weft want tries until it has some, and says who owns the slack. */
    private static ReplicatedState.SingletonRole leased(SimMesh mesh, DataPlaneNode weft) {
        boolean got = false;
        for (int i = 0; i < 60 && !got; i++) {
            while (weft.retryBudget.tryAcquire("desk", mesh.world.now())) {
                got = i > 0;
            }
            mesh.world.run(600);
        }
        assertTrue(got, "tries are leased");
        return mesh.leader().replicatedState().singletonRoles().get("slack/desk");
    }

    /** The leader is cut off with one operator, the other operator reaches the rest; both send on top of one version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void duringACutNoTwoChangesOnOneVersionAreConfirmed(long seed) {
        int helms = seed % 2 == 0 ? 5 : 3;
        SimMesh mesh = new SimMesh(seed, helms, 4, helms / 2, null);
        mesh.world.run(6000);
        assertEquals(200, order(mesh, 5, 0, "one").status());
        String leader = RaftNode.addressOf(mesh.leader().raft.leaderId());
        List<Long> confirmed = new ArrayList<>();
        Random r = mesh.world.random;
        mesh.world.run(r.nextInt(400));
        for (int i = 0; i < 120; i++) {
            if (i == 10) {
                for (String h : mesh.helms.keySet()) {
                    boolean oneWay = seed % 3 == 0;
                    mesh.world.cut(leader, h, !h.equals(leader));
                    mesh.world.cut(h, leader, !h.equals(leader) && !oneWay);
                }
            } else if (i == 60) {
                mesh.world.isolate(leader, false);
            }
            long mine = i % 2 == 0 ? 7 : 8;
            mesh.helms.forEach((peer, h) -> {
                if (h.raft.isLeader() && peer.equals(leader) == (mine == 7)) {
                    h.submitChange(SimMesh.change(mine, 5, "p" + mine), o -> {
                        if (o.status() == 200) {
                            confirmed.add(mine);
                        }
                    });
                }
            });
            mesh.world.run(i == 9 ? r.nextInt(30) : 50);
        }
        assertFalse(confirmed.isEmpty(), "one of the two is taken");
        assertEquals(1, confirmed.stream().distinct().count(), confirmed.toString());
        assertEquals(confirmed.get(0), mesh.leader().replicatedState().current().epoch());
    }

    /** Faults at times drawn from the seed; what was acknowledged holds, and nobody goes back. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 31, 32, 33, 34, 35})
    void nothingAcknowledgedIsLostWhateverFails(long seed) {
        int losses = seed > 30 ? 2 : 1;
        SimMesh mesh = new SimMesh(seed, losses == 2 ? 5 : seed % 2 == 0 ? 3 : 4, 5, losses, null);
        Random r = mesh.world.random;
        Map<DataPlaneNode, Long> highest = new IdentityHashMap<>();
        Map<Long, String> winners = new HashMap<>();
        Map<Long, String> inForce = new HashMap<>();
        long[] acknowledged = new long[1];
        List<String> broken = new ArrayList<>();
        mesh.world.afterEach = () -> mesh.wefts.values().forEach(w -> {
            long e = w.shadowCommit.epoch();
            if (e < highest.getOrDefault(w, 0L)) {
                broken.add("a weft went back from " + highest.get(w) + " to " + e);
            }
            highest.put(w, e);
            if (e > 0
                    && !w.shadowCommit
                            .realConfiguration()
                            .stamp
                            .equals(inForce.computeIfAbsent(e, k -> w.shadowCommit.realConfiguration().stamp))) {
                broken.add("two documents in force as " + e);
            }
        });
        mesh.world.run(4000);
        long[] epoch = {1};
        int helmCount = mesh.helms.size();
        for (int round = 0; round < 25; round++) {
            ControllerNode l = mesh.leader();
            long base = l == null ? 0 : l.replicatedState().current().epoch();
            for (int rival = 0; rival < 2; rival++) {
                // Rivals often choose the same number.
                long mine = (rival == 0 || r.nextBoolean() ? ++epoch[0] : epoch[0]) + base;
                String prefix = "p" + mine + "of" + rival;
                mesh.order(SimMesh.change(mine, base, prefix), o -> {
                    if (o.status() == 200) {
                        String other = winners.put(base, prefix);
                        if (other != null && !other.equals(prefix)) {
                            broken.add("two changes on " + base + ": " + other + " and " + prefix);
                        }
                        acknowledged[0] = Math.max(acknowledged[0], mine);
                    }
                });
            }
            mesh.world.run(r.nextInt(150));
            String peer = SimMesh.helmPeer(r.nextInt(helmCount));
            switch (r.nextInt(7)) {
                case 0 -> {
                    mesh.killHelm(peer, true);
                    mesh.world.run(r.nextInt(2500));
                    mesh.startHelm(peer, false);
                }
                case 1 -> {
                    List<String> lost = new ArrayList<>(mesh.helms.keySet());
                    java.util.Collections.shuffle(lost, r);
                    lost.subList(losses, lost.size()).clear();
                    for (String h : lost) {
                        mesh.killHelm(h, true);
                        mesh.world.machine(h).disk.wipe();
                    }
                    mesh.world.run(200 + r.nextInt(1000));
                    lost.forEach(h -> mesh.startHelm(h, false));
                    // Another loss is allowed only once this one has been made good.
                    mesh.world.run(6000);
                }
                case 2 -> {
                    mesh.world.isolate(peer, true);
                    mesh.world.run(r.nextInt(4000));
                    mesh.world.isolate(peer, false);
                }
                case 3 -> {
                    List<String> all = List.copyOf(mesh.helms.keySet());
                    all.forEach(h -> mesh.killHelm(h, r.nextBoolean()));
                    mesh.world.run(r.nextInt(1000));
                    all.forEach(h -> mesh.startHelm(h, false));
                }
                case 4 -> {
                    String w = SimMesh.weftPeer(r.nextInt(5));
                    mesh.killWeft(w);
                    mesh.world.run(r.nextInt(1500));
                    mesh.startWeft(w);
                }
                case 5 -> {
                    mesh.world.machine(peer).disk.full = true;
                    mesh.world.run(r.nextInt(3000));
                    mesh.world.machine(peer).disk.full = false;
                }
                default -> {
                    String other = SimMesh.helmPeer(r.nextInt(helmCount));
                    mesh.world.cut(peer, other, true);
                    mesh.world.run(r.nextInt(3000));
                    mesh.world.cut(peer, other, false);
                }
            }
            mesh.world.run(2500 + r.nextInt(2500));
            assertEquals(List.of(), broken, "round " + round);
            assertNotNull(mesh.leader(), "a leader in round " + round);
            long now = mesh.leader().replicatedState().current().epoch();
            assertTrue(
                    now >= acknowledged[0],
                    "round " + round + ": " + acknowledged[0] + " was acknowledged, " + now + " is in force");
        }
        mesh.world.run(5000);
        epochs(mesh, mesh.leader().replicatedState().current().epoch());
    }
}
