package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A hundred sidecars and six controllers in six zones, with narrow links and slow processors: what grows too fast
 * comes late.
 */
class LargeClusterTest {
    private static final int SIDECARS = Integer.getInteger("sides", 100);

    private final SimulatedMesh mesh = new SimulatedMesh(7, 6, 0, 2, null);

    LargeClusterTest() {
        for (int i = 0; i < 6; i++) {
            limitSpeed(SimulatedMesh.controllerPeer(i), 15_000);
        }
        for (int i = 0; i < SIDECARS; i++) {
            limitSpeed(SimulatedMesh.sidecarPeer(i), 270);
            mesh.startSidecar(SimulatedMesh.sidecarPeer(i));
        }
    }

    private void limitSpeed(String peer, double linkBytesPerMs) {
        SimulatedMachine machine = mesh.simulator.machine(peer);
        machine.linkBytesPerMs = linkBytesPerMs;
        machine.cpuMsPerMessage = 1;
        machine.cpuMsPerKilobyte = 0.1;
    }

    private SimulatedMachine controllerMachine(int index) {
        return mesh.simulator.machine(SimulatedMesh.controllerPeer(index));
    }

    private long sessionsAtZoneController() {
        return mesh.sidecars.entrySet().stream()
                .filter(e -> {
                    int i = new ArrayList<>(mesh.sidecars.keySet()).indexOf(e.getKey());
                    return e.getValue().hasSession()
                            && SimulatedMesh.controllerPeer(i % 6)
                                    .equals(e.getValue().controller());
                })
                .count();
    }

    private OperatorRequest.Result submit(OperatorRequest.ConfigurationChange change, long timeoutMs) {
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(change, o -> outcome[0] = o);
        for (long elapsedMs = 0; elapsedMs < timeoutMs && outcome[0] == null; elapsedMs += 20) {
            mesh.simulator.run(20);
        }
        return outcome[0];
    }

    private long countBehind(long epoch) {
        return mesh.sidecars.values().stream()
                .filter(w -> w.shadowCommit.epoch() != epoch)
                .count();
    }

    @Test
    void startupLoadIsSpreadOverControllers() {
        mesh.simulator.run(3000);
        long maxHandled = 0;
        long totalHandled = 0;
        for (int i = 0; i < 6; i++) {
            maxHandled = Math.max(maxHandled, controllerMachine(i).handledMessages);
            totalHandled += controllerMachine(i).handledMessages;
        }
        assertEquals(SIDECARS, sessionsAtZoneController(), "each has found the controller of its zone");
        assertTrue(
                maxHandled < totalHandled / 6 * 2, maxHandled + " of " + totalHandled + " messages at one controller");
    }

    @Test
    void changeCostsLeaderLittleAndEachProxyFourMessages() {
        mesh.simulator.run(8000);
        String leader = RaftNode.addressOf(mesh.leader().raft().leaderId());
        long idleMessages = -mesh.simulator.messageCount;
        double idleWork = -mesh.simulator.machine(leader).cpuMsUsed;
        mesh.simulator.run(1000);
        idleMessages += mesh.simulator.messageCount;
        idleWork += mesh.simulator.machine(leader).cpuMsUsed;
        long messagesBefore = mesh.simulator.messageCount;
        double workBefore = mesh.simulator.machine(leader).cpuMsUsed;
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
        mesh.simulator.run(1000);
        assertEquals(0, countBehind(5));
        long messages = mesh.simulator.messageCount - messagesBefore - idleMessages;
        double workMs = mesh.simulator.machine(leader).cpuMsUsed - workBefore - idleWork;
        assertTrue(messages < SIDECARS * 9, messages + " messages for a change");
        assertTrue(workMs < 300, workMs + " ms of the leader's processor for a change");
    }

    /** Calls and renewals share the link with a large document: none of them is lost to it. */
    @Test
    void manyRoutesOverSlowLinksCloseNoSession() {
        mesh.simulator.run(8000);
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
        mesh.simulator.run(1000);
        int[] maxClosedSessions = new int[1];
        OperatorRequest.Result outcome = submit(mesh.largeChange(6, 5, 2000), 5000);
        assertNotNull(outcome, "acknowledged within ack");
        assertEquals(200, outcome.status());
        for (int elapsedMs = 0; elapsedMs < 2500; elapsedMs += 50) {
            mesh.simulator.run(50);
            maxClosedSessions[0] = Math.max(maxClosedSessions[0], (int)
                    mesh.sidecars.values().stream().filter(w -> !w.hasSession()).count());
        }
        assertEquals(0, countBehind(6), "in force everywhere within apply");
        assertEquals(0, maxClosedSessions[0], "sessions lost");
    }

    /** Half of all are killed at once: what they cause when they come back is in proportion to them. */
    @Test
    void massRestartCostsInProportion() {
        mesh.simulator.run(8000);
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
        mesh.simulator.run(2000);
        for (int i = 0; i < SIDECARS; i += 2) {
            mesh.killSidecar(SimulatedMesh.sidecarPeer(i));
        }
        mesh.simulator.run(1000);
        long messagesBefore = mesh.simulator.messageCount;
        for (int i = 0; i < SIDECARS; i += 2) {
            mesh.startSidecar(SimulatedMesh.sidecarPeer(i));
        }
        mesh.simulator.run(2000);
        long messages = mesh.simulator.messageCount - messagesBefore;
        for (DataPlaneNode proxy : mesh.sidecars.values()) {
            assertTrue(
                    proxy.isReady() && proxy.hasSession() && proxy.shadowCommit.epoch() == 5,
                    "back in two thirds of quiet");
        }
        assertTrue(messages < SIDECARS * 60, messages + " messages after a herd came back");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 25, 45, 65, 85, 110, 140, 180, 240})
    void leaderMayDieInAnyPhaseOfLargeCluster(int killedAfterMs) {
        mesh.simulator.run(8000);
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
        mesh.simulator.run(800);
        OperatorRequest.Result[] outcome = new OperatorRequest.Result[1];
        mesh.submitToLeader(SimulatedMesh.change(6, 5, "two"), o -> outcome[0] = o);
        mesh.simulator.run(killedAfterMs);
        mesh.killController(RaftNode.addressOf(mesh.leader().raft().leaderId()), true);
        mesh.simulator.run(5000);
        ControllerNode newLeader = mesh.leader();
        assertNotNull(newLeader, "a new leader");
        long currentVersion = newLeader.replicatedState().current().epoch();
        if (outcome[0] != null && outcome[0].status() == 200) {
            assertEquals(6, currentVersion, "acknowledged");
        }
        assertEquals(0, countBehind(currentVersion), "one version everywhere");
        assertEquals(ReplicatedState.Phase.MARKED, newLeader.replicatedState().phase());
        assertEquals(
                200,
                submit(SimulatedMesh.change(9, currentVersion, "three"), 1500).status(),
                "and changes go on");
    }

    /**
     * One controller has hardly the processor it needs: it sheds reconciliations, keeps its sessions, and the group
     * its leader.
     */
    @Test
    void overloadedControllerShedsAntiEntropyOnly() {
        mesh.simulator.run(8000);
        String slowPeer = mesh.controllers.keySet().stream()
                .filter(h -> !h.equals(RaftNode.addressOf(mesh.leader().raft().leaderId())))
                .findFirst()
                .orElseThrow();
        long term = mesh.leader().raft().currentTerm();
        mesh.simulator.machine(slowPeer).cpuMsPerMessage = 14;
        int maxClosedSessions = 0;
        boolean isOverloaded = false;
        for (int step = 0; step < 60; step++) {
            mesh.simulator.run(100);
            maxClosedSessions = Math.max(maxClosedSessions, (int)
                    mesh.sidecars.values().stream().filter(w -> !w.hasSession()).count());
            ObjectNode[] status = new ObjectNode[1];
            mesh.controllers
                    .get(slowPeer)
                    .handleRequest("status", JsonNodeFactory.instance.objectNode(), n -> status[0] = n);
            if (status[0].path("strained").asBoolean()) {
                isOverloaded = true;
                ObjectNode[] digest = new ObjectNode[] {status[0]};
                mesh.controllers
                        .get(slowPeer)
                        .handleRequest("digest", JsonNodeFactory.instance.objectNode(), n -> digest[0] = n);
                assertNull(digest[0], "a comparison waits for better times");
            }
        }
        assertTrue(isOverloaded, "it says so");
        assertEquals(0, maxClosedSessions, "sessions lost");
        assertEquals(term, mesh.leader().raft().currentTerm(), "no election");
        mesh.simulator.machine(slowPeer).cpuMsPerMessage = 14;
        mesh.simulator.run(4000);
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 1000).status());
    }

    /** A zone goes with its voter, and a voter of another zone with it: three of five are left. */
    @Test
    void quorumSurvivesLossOfZoneAndOneMoreVoter() {
        mesh.simulator.run(12_000);
        List<String> voters = mesh.leader().raft().voters();
        assertEquals(5, voters.size(), voters.toString());
        List<String> lostPeers =
                voters.stream().map(RaftNode::addressOf).limit(2).toList();
        int zone = Integer.parseInt(lostPeers.get(0).replaceAll("10.0.0.(\\d+):.*", "$1")) - 1;
        for (int i = zone; i < SIDECARS; i += 6) {
            mesh.killSidecar(SimulatedMesh.sidecarPeer(i));
        }
        lostPeers.forEach(h -> mesh.killController(h, true));
        mesh.simulator.run(3000);
        assertEquals(200, submit(SimulatedMesh.change(5, 0, "one"), 2000).status());
        mesh.simulator.run(2000);
        assertEquals(0, countBehind(5));
    }
}
