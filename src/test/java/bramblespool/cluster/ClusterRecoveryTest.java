package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.controller.EvacuationOutcome;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.testing.SimulatedMesh;
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
class ClusterRecoveryTest {
    private static OperatorRequest.Result submit(SimulatedMesh mesh, long epoch, long base, String prefix) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.change(epoch, base, prefix), o -> outcome[0] = o);
        for (int i = 0; i < 60 && outcome[0] == null; i++) {
            mesh.simulator.run(50);
        }
        return outcome[0];
    }

    private static void assertVersions(SimulatedMesh mesh, long expected) {
        mesh.sidecars.forEach((peer, proxy) -> assertEquals(expected, proxy.shadowCommit.epoch(), peer));
    }

    @Test
    void undisturbedClusterCommitsThroughAllFourPhases() {
        SimulatedMesh mesh = new SimulatedMesh(1, 3, 6);
        mesh.simulator.run(4000);
        assertEquals(200, submit(mesh, 5, 0, "one").status());
        mesh.simulator.run(1000);
        assertEquals(200, submit(mesh, 9, 5, "two").status());
        mesh.simulator.run(1000);
        assertVersions(mesh, 9);
        ControllerNode leader = mesh.leader();
        assertEquals(ReplicatedState.Phase.MARKED, leader.replicatedState().phase());
        assertTrue(leader.commitCoordinator().unconfirmed().isEmpty(), "all confirmed");
        for (DataPlaneNode proxy : mesh.sidecars.values()) {
            assertEquals("0", proxy.shadowCommit.currentMark(), "marking is back to the bit");
            assertEquals(5, proxy.shadowCommit.shadowConfiguration().epoch(), "the old version is the shadow");
        }
    }

    @Test
    void staleInvalidAndRepeatedChangesAreDistinguished() {
        SimulatedMesh mesh = new SimulatedMesh(2, 3, 3);
        mesh.simulator.run(4000);
        assertEquals(200, submit(mesh, 5, 0, "one").status());
        assertEquals(200, submit(mesh, 5, 0, "one").status(), "an exact repeat");
        assertEquals(412, submit(mesh, 7, 0, "two").status(), "a stale base");
        assertEquals(400, submit(mesh, 5, 5, "two").status(), "an epoch not above the current one");
        assertEquals(200, submit(mesh, 8, 5, "two").status());
    }

    @Test
    void unreachableSidecarDoesNotBlockCommitAndCatchesUp() {
        SimulatedMesh mesh = new SimulatedMesh(3, 3, 6);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        mesh.simulator.run(500);
        String away = SimulatedMesh.sidecarPeer(2);
        mesh.simulator.setIsolated(away, true);
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        mesh.simulator.run(3000);
        assertEquals(5, mesh.sidecars.get(away).shadowCommit.epoch());
        assertFalse(mesh.leader().commitCoordinator().unconfirmed().isEmpty(), "left unconfirmed");
        mesh.simulator.setIsolated(away, false);
        mesh.simulator.run(2500);
        assertVersions(mesh, 6);
    }

    @Test
    void newLeaderResumesCommitPhase() {
        for (int killedAfterMs = 2; killedAfterMs < 120; killedAfterMs += 9) {
            SimulatedMesh mesh = new SimulatedMesh(100 + killedAfterMs, 3, 4);
            mesh.simulator.run(4000);
            submit(mesh, 5, 0, "one");
            mesh.simulator.run(500);
            OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
            mesh.submitToLeader(SimulatedMesh.change(6, 5, "two"), o -> outcome[0] = o);
            mesh.simulator.run(killedAfterMs);
            String oldLeader = mesh.leader().raft().localId().split("#")[0];
            boolean acknowledged = outcome[0] != null && outcome[0].status() == 200;
            mesh.killController(oldLeader, true);
            mesh.simulator.run(8000);
            assertNotNull(mesh.leader(), "a new leader");
            long currentVersion = mesh.leader().replicatedState().current().epoch();
            if (acknowledged) {
                assertEquals(6, currentVersion, "acknowledged, killed after " + killedAfterMs);
            }
            assertVersions(mesh, currentVersion);
            assertEquals(
                    ReplicatedState.Phase.MARKED,
                    mesh.leader().replicatedState().phase());
            assertEquals(200, submit(mesh, 9, currentVersion, "three").status(), "the group goes on");
        }
    }

    @Test
    void controllerWithWipedDiskRejoinsAsNewMember() {
        SimulatedMesh mesh = new SimulatedMesh(4, 3, 3);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        String peer = SimulatedMesh.controllerPeer(1);
        mesh.killController(peer, true);
        mesh.simulator.machine(peer).disk.wipe();
        mesh.simulator.run(500);
        mesh.startController(peer, false);
        mesh.simulator.run(6000);
        List<String> voters = mesh.leader().raft().voters();
        assertEquals(3, voters.size(), voters.toString());
        assertFalse(voters.contains(peer + "#0"), "the wiped incarnation is out: " + voters);
        // With its place taken the group bears the loss of another.
        mesh.killController(SimulatedMesh.controllerPeer(0), true);
        mesh.simulator.run(5000);
        assertEquals(5, mesh.leader().replicatedState().current().epoch());
    }

    @Test
    void fullDiskAcknowledgesNothingAndRecovers() {
        SimulatedMesh mesh = new SimulatedMesh(5, 3, 3);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        String fullPeer = mesh.leader().raft().localId().split("#")[0];
        mesh.simulator.machine(fullPeer).disk.isFull = true;
        mesh.submitToLeader(SimulatedMesh.change(6, 5, "two"), o -> {});
        mesh.simulator.run(4000);
        assertFalse(mesh.controllers.get(fullPeer).raft().isLeader(), "a helm that cannot sync gives up the lead");
        long currentVersion = mesh.leader().replicatedState().current().epoch();
        assertEquals(200, submit(mesh, 8, currentVersion, "three").status());
        mesh.simulator.machine(fullPeer).disk.isFull = false;
        mesh.simulator.run(3000);
        assertEquals(
                8, mesh.controllers.get(fullPeer).replicatedState().current().epoch());
    }

    @Test
    void sessionsMoveWhenControllerIsLostAndGossipContinues() {
        SimulatedMesh mesh = new SimulatedMesh(6, 3, 6);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        mesh.killController(SimulatedMesh.controllerPeer(0), true);
        mesh.simulator.run(4000);
        mesh.sidecars.forEach((p, w) -> assertTrue(w.hasSession(), p));
        mesh.controllers.keySet().stream().toList().forEach(h -> mesh.killController(h, true));
        mesh.killSidecar(SimulatedMesh.sidecarPeer(0));
        mesh.startSidecar(SimulatedMesh.sidecarPeer(0));
        mesh.simulator.run(6000);
        DataPlaneNode back = mesh.sidecars.get(SimulatedMesh.sidecarPeer(0));
        assertEquals(5, back.shadowCommit.epoch(), "with the whole core gone the other wefts tell the version");
        assertTrue(back.isReady());
    }

    /**
     * A candidate reaches the wefts and its leader dies before the decision; one weft is cut off before it hears of the
     * end, and another change with the same number is decided without it. It must not take the one it kept.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 9, 12, 15, 18, 21, 24})
    void abortedCandidateIsNotMistakenForAnotherOfSameVersion(int killedAfterMs) {
        SimulatedMesh mesh = new SimulatedMesh(40 + killedAfterMs, 3, 6);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        mesh.simulator.run(500);
        mesh.submitToLeader(SimulatedMesh.change(7, 5, "lost"), o -> {});
        mesh.simulator.run(killedAfterMs);
        mesh.killController(RaftNode.addressOf(mesh.leader().raft().leaderId()), true);
        String away = SimulatedMesh.sidecarPeer(1);
        mesh.simulator.setIsolated(away, true);
        for (int i = 0;
                i < 200
                        && (mesh.leader() == null
                                || mesh.leader().replicatedState().candidate() != null);
                i++) {
            mesh.simulator.run(20);
        }
        boolean won = mesh.leader().replicatedState().current().epoch() == 5;
        if (won) {
            assertEquals(200, submit(mesh, 7, 5, "won").status());
            mesh.simulator.run(300);
        }
        mesh.simulator.setIsolated(away, false);
        for (int i = 0; i < 200; i++) {
            mesh.simulator.run(20);
            mesh.sidecars.forEach((p, w) -> assertTrue(
                    w.shadowCommit.epoch() < 7
                            || (w.shadowCommit.realConfiguration().route("x.example", "/won/") != null) == won,
                    p + " has a version that lost"));
        }
        assertVersions(mesh, 7);
    }

    /** Its last life had sessions of higher numbers: it is a member again, with the version in force, in a few messages. */
    @Test
    void restartedSidecarRejoinsAtOnce() {
        SimulatedMesh mesh = new SimulatedMesh(9, 3, 4);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        for (int again = 0; again < 3; again++) {
            mesh.simulator.run(700);
            mesh.killSidecar(SimulatedMesh.sidecarPeer(2));
            mesh.startSidecar(SimulatedMesh.sidecarPeer(2));
            mesh.simulator.run(60);
            DataPlaneNode back = mesh.sidecars.get(SimulatedMesh.sidecarPeer(2));
            assertTrue(back.hasSession() && back.shadowCommit.epoch() == 5, "after restart " + again);
        }
    }

    /** A cell is cut off from the other helms, its sides are not: they follow the others' version and evacuations in time. */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54, 55, 56, 57, 58})
    void proxiesOfPartitionedZoneControllerFollowInTime(long seed) {
        SimulatedMesh mesh = new SimulatedMesh(seed, 4, 8);
        mesh.simulator.run(6000);
        submit(mesh, 5, 0, "one");
        mesh.simulator.run(1000);
        String partitionedPeer = mesh.controllers.keySet().stream()
                .filter(peer ->
                        !peer.equals(RaftNode.addressOf(mesh.leader().raft().leaderId())))
                .findFirst()
                .orElseThrow();
        for (String peer : mesh.controllers.keySet()) {
            mesh.simulator.setLinkCut(partitionedPeer, peer, !peer.equals(partitionedPeer));
            mesh.simulator.setLinkCut(peer, partitionedPeer, !peer.equals(partitionedPeer));
        }
        mesh.simulator.run(mesh.simulator.random.nextInt(1500));
        assertEquals(200, submit(mesh, 6, 5, "two").status());
        assertEquals(200, submit(mesh, 7, 6, "three").status());
        mesh.simulator.run(2000);
        assertVersions(mesh, 7);
        boolean[] isAcknowledged = new boolean[1];
        mesh.leader().evacuate("b", true, r -> isAcknowledged[0] = r == EvacuationOutcome.COMMITTED);
        mesh.simulator.run(3500);
        assertTrue(isAcknowledged[0]);
        mesh.sidecars.forEach(
                (p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p + " has not heard of the evacuation"));
    }

    /** A rolling restart ends the weft, not its server: others send to it until shortly before, and nobody after. */
    @Test
    void terminatingSidecarServesUntilShortlyBeforeItsEnd() {
        SimulatedMesh mesh = new SimulatedMesh(8, 3, 3);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        mesh.simulator.run(500);
        DataPlaneNode terminating = mesh.sidecars.get(SimulatedMesh.sidecarPeer(0));
        DataPlaneNode other = mesh.sidecars.get(SimulatedMesh.sidecarPeer(1));
        terminating.shutDownGracefully(2400);
        assertFalse(terminating.isReady(), "no new clients");
        mesh.simulator.run(1300);
        assertTrue(wouldSendTo(other, "weft-1"), "its server is still used");
        mesh.simulator.run(300);
        assertFalse(wouldSendTo(other, "weft-1"), "told before it ends");
    }

    /** Whether a weft would send a request to that one's server. */
    private static boolean wouldSendTo(DataPlaneNode proxy, String node) {
        Set<EndpointDirectory.Endpoint> seen = new HashSet<>();
        for (EndpointDirectory.Endpoint endpoint = proxy.endpointDirectory.chooseEndpoint("desk", seen);
                endpoint != null;
                endpoint = proxy.endpointDirectory.chooseEndpoint("desk", seen)) {
            if (endpoint.proxy.node.equals(node)) {
                return true;
            }
            seen.add(endpoint);
        }
        return false;
    }

    @Test
    void evacuationSurvivesLossOfAllControllers() {
        SimulatedMesh mesh = new SimulatedMesh(7, 3, 6);
        mesh.simulator.run(4000);
        submit(mesh, 5, 0, "one");
        boolean[] isAcknowledged = new boolean[1];
        mesh.leader().evacuate("b", true, r -> isAcknowledged[0] = r == EvacuationOutcome.COMMITTED);
        mesh.simulator.run(300);
        assertTrue(isAcknowledged[0]);
        mesh.sidecars.forEach((p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p));
        mesh.controllers.keySet().stream().toList().forEach(h -> mesh.killController(h, true));
        mesh.sidecars.keySet().stream().toList().forEach(mesh::killSidecar);
        for (int i = 0; i < 3; i++) {
            mesh.startController(SimulatedMesh.controllerPeer(i), false);
        }
        for (int i = 0; i < 6; i++) {
            mesh.startSidecar(SimulatedMesh.sidecarPeer(i));
        }
        mesh.simulator.run(3000);
        mesh.sidecars.forEach((p, w) -> assertTrue(w.endpointDirectory.isEvacuated("b"), p));
        assertVersions(mesh, 5);
    }

    /** Whoever owns a service's slack dies, and the leader with it: somebody else owns it then, under a higher fence. */
    @Test
    void retryBudgetLeasesSurviveLossOfOwnerAndLeader() {
        SimulatedMesh mesh = new SimulatedMesh(4, 3, 4);
        mesh.simulator.run(4000);
        DataPlaneNode sidecar = mesh.sidecars.get(SimulatedMesh.sidecarPeer(0));
        ReplicatedState.SingletonRole first = retryBudgetRole(mesh, sidecar);
        mesh.killController(first.owner(), true);
        String leader = mesh.leader() == null
                ? null
                : RaftNode.addressOf(mesh.leader().raft().leaderId());
        if (leader != null) {
            mesh.killController(leader, true);
            mesh.startController(leader, false);
        }
        mesh.simulator.run(8000);
        ReplicatedState.SingletonRole next = retryBudgetRole(mesh, sidecar);
        assertTrue(
                next.fencingToken() > first.fencingToken() && !next.owner().equals(first.owner()),
                first + " then " + next);
    }

    /** Lets a weft want tries until it has some, and says who owns the slack. */
    private static ReplicatedState.SingletonRole retryBudgetRole(SimulatedMesh mesh, DataPlaneNode sidecar) {
        boolean isLeased = false;
        for (int i = 0; i < 60 && !isLeased; i++) {
            while (sidecar.retryBudget.tryAcquire("desk", mesh.simulator.nowMs())) {
                isLeased = i > 0;
            }
            mesh.simulator.run(600);
        }
        assertTrue(isLeased, "tries are leased");
        return mesh.leader().replicatedState().singletonRoles().get("slack/desk");
    }

    /** The leader is cut off with one operator, the other operator reaches the rest; both send on top of one version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noTwoChangesOnOneVersionAreAcknowledgedDuringPartition(long seed) {
        int controllerCount = seed % 2 == 0 ? 5 : 3;
        SimulatedMesh mesh = new SimulatedMesh(seed, controllerCount, 4, controllerCount / 2, null);
        mesh.simulator.run(6000);
        assertEquals(200, submit(mesh, 5, 0, "one").status());
        String leader = RaftNode.addressOf(mesh.leader().raft().leaderId());
        List<Long> acknowledged = new ArrayList<>();
        Random random = mesh.simulator.random;
        mesh.simulator.run(random.nextInt(400));
        for (int i = 0; i < 120; i++) {
            if (i == 10) {
                for (String controller : mesh.controllers.keySet()) {
                    boolean oneWay = seed % 3 == 0;
                    mesh.simulator.setLinkCut(leader, controller, !controller.equals(leader));
                    mesh.simulator.setLinkCut(controller, leader, !controller.equals(leader) && !oneWay);
                }
            } else if (i == 60) {
                mesh.simulator.setIsolated(leader, false);
            }
            long number = i % 2 == 0 ? 7 : 8;
            mesh.controllers.forEach((peer, controller) -> {
                if (controller.raft().isLeader() && peer.equals(leader) == (number == 7)) {
                    controller.submitChange(SimulatedMesh.change(number, 5, "p" + number), outcome -> {
                        if (outcome.status() == 200) {
                            acknowledged.add(number);
                        }
                    });
                }
            });
            mesh.simulator.run(i == 9 ? random.nextInt(30) : 50);
        }
        assertFalse(acknowledged.isEmpty(), "one of the two is taken");
        assertEquals(1, acknowledged.stream().distinct().count(), acknowledged.toString());
        assertEquals(
                acknowledged.get(0), mesh.leader().replicatedState().current().epoch());
    }

    /** Faults at times drawn from the seed; what was acknowledged holds, and nobody goes back. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 31, 32, 33, 34, 35})
    void acknowledgedChangesSurviveRandomFaults(long seed) {
        int toleratedDiskLosses = seed > 30 ? 2 : 1;
        SimulatedMesh mesh = new SimulatedMesh(
                seed, toleratedDiskLosses == 2 ? 5 : seed % 2 == 0 ? 3 : 4, 5, toleratedDiskLosses, null);
        Random random = mesh.simulator.random;
        Map<DataPlaneNode, Long> highest = new IdentityHashMap<>();
        Map<Long, String> winners = new HashMap<>();
        Map<Long, String> inForce = new HashMap<>();
        long[] acknowledged = new long[1];
        List<String> violations = new ArrayList<>();
        mesh.simulator.afterEach = () -> mesh.sidecars.values().forEach(sidecar -> {
            long version = sidecar.shadowCommit.epoch();
            if (version < highest.getOrDefault(sidecar, 0L)) {
                violations.add("a weft went back from " + highest.get(sidecar) + " to " + version);
            }
            highest.put(sidecar, version);
            if (version > 0
                    && !sidecar.shadowCommit
                            .realConfiguration()
                            .stamp()
                            .equals(inForce.computeIfAbsent(
                                    version,
                                    k -> sidecar.shadowCommit
                                            .realConfiguration()
                                            .stamp()))) {
                violations.add("two documents in force as " + version);
            }
        });
        mesh.simulator.run(4000);
        long[] epoch = {1};
        int controllerCount = mesh.controllers.size();
        for (int round = 0; round < 25; round++) {
            ControllerNode leader = mesh.leader();
            long base = leader == null ? 0 : leader.replicatedState().current().epoch();
            for (int rival = 0; rival < 2; rival++) {
                // Rivals often choose the same number.
                long number = (rival == 0 || random.nextBoolean() ? ++epoch[0] : epoch[0]) + base;
                String prefix = "p" + number + "of" + rival;
                mesh.submitToLeader(SimulatedMesh.change(number, base, prefix), outcome -> {
                    if (outcome.status() == 200) {
                        String other = winners.put(base, prefix);
                        if (other != null && !other.equals(prefix)) {
                            violations.add("two changes on " + base + ": " + other + " and " + prefix);
                        }
                        acknowledged[0] = Math.max(acknowledged[0], number);
                    }
                });
            }
            mesh.simulator.run(random.nextInt(150));
            String peer = SimulatedMesh.controllerPeer(random.nextInt(controllerCount));
            switch (random.nextInt(7)) {
                case 0 -> {
                    mesh.killController(peer, true);
                    mesh.simulator.run(random.nextInt(2500));
                    mesh.startController(peer, false);
                }
                case 1 -> {
                    List<String> lost = new ArrayList<>(mesh.controllers.keySet());
                    java.util.Collections.shuffle(lost, random);
                    lost.subList(toleratedDiskLosses, lost.size()).clear();
                    for (String controllerPeer : lost) {
                        mesh.killController(controllerPeer, true);
                        mesh.simulator.machine(controllerPeer).disk.wipe();
                    }
                    mesh.simulator.run(200 + random.nextInt(1000));
                    lost.forEach(controllerPeer -> mesh.startController(controllerPeer, false));
                    // Another loss is allowed only once this one has been made good.
                    mesh.simulator.run(6000);
                }
                case 2 -> {
                    mesh.simulator.setIsolated(peer, true);
                    mesh.simulator.run(random.nextInt(4000));
                    mesh.simulator.setIsolated(peer, false);
                }
                case 3 -> {
                    List<String> all = List.copyOf(mesh.controllers.keySet());
                    all.forEach(controllerPeer -> mesh.killController(controllerPeer, random.nextBoolean()));
                    mesh.simulator.run(random.nextInt(1000));
                    all.forEach(controllerPeer -> mesh.startController(controllerPeer, false));
                }
                case 4 -> {
                    String sidecar = SimulatedMesh.sidecarPeer(random.nextInt(5));
                    mesh.killSidecar(sidecar);
                    mesh.simulator.run(random.nextInt(1500));
                    mesh.startSidecar(sidecar);
                }
                case 5 -> {
                    mesh.simulator.machine(peer).disk.isFull = true;
                    mesh.simulator.run(random.nextInt(3000));
                    mesh.simulator.machine(peer).disk.isFull = false;
                }
                default -> {
                    String other = SimulatedMesh.controllerPeer(random.nextInt(controllerCount));
                    mesh.simulator.setLinkCut(peer, other, true);
                    mesh.simulator.run(random.nextInt(3000));
                    mesh.simulator.setLinkCut(peer, other, false);
                }
            }
            mesh.simulator.run(2500 + random.nextInt(2500));
            assertEquals(List.of(), violations, "round " + round);
            assertNotNull(mesh.leader(), "a leader in round " + round);
            long now = mesh.leader().replicatedState().current().epoch();
            assertTrue(
                    now >= acknowledged[0],
                    "round " + round + ": " + acknowledged[0] + " was acknowledged, " + now + " is in force");
        }
        mesh.simulator.run(5000);
        assertVersions(mesh, mesh.leader().replicatedState().current().epoch());
    }
}
