package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.ReplicatedState;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A hundred wefts and six helms in six zones, with narrow links and slow processors: what grows too fast comes late. */
class HundredsTest {
    private static final int SIDES = Integer.getInteger("sides", 100);

    private final SimMesh mesh = new SimMesh(7, 6, 0, 2, null);

    HundredsTest() {
        for (int i = 0; i < 6; i++) {
            slow(SimMesh.helmPeer(i), 15_000);
        }
        for (int i = 0; i < SIDES; i++) {
            slow(SimMesh.weftPeer(i), 270);
            mesh.startWeft(SimMesh.weftPeer(i));
        }
    }

    private void slow(String peer, double linkRate) {
        SimWorld.Machine m = mesh.world.machine(peer);
        m.linkRate = linkRate;
        m.messageMs = 1;
        m.kilobyteMs = 0.1;
    }

    private SimWorld.Machine helm(int i) {
        return mesh.world.machine(SimMesh.helmPeer(i));
    }

    private long sessionsAtHome() {
        return mesh.wefts.entrySet().stream()
                .filter(e -> {
                    int i = new ArrayList<>(mesh.wefts.keySet()).indexOf(e.getKey());
                    return e.getValue().hasSession()
                            && SimMesh.helmPeer(i % 6).equals(e.getValue().controller());
                })
                .count();
    }

    private OperatorRequest.Result order(OperatorRequest.ConfigurationChange change, long withinMs) {
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(change, o -> got[0] = o);
        for (long t = 0; t < withinMs && got[0] == null; t += 20) {
            mesh.world.run(20);
        }
        return got[0];
    }

    private long behind(long epoch) {
        return mesh.wefts.values().stream()
                .filter(w -> w.shadowCommit.epoch() != epoch)
                .count();
    }

    @Test
    void aStartIsSpreadOverTheHelms() {
        mesh.world.run(3000);
        long most = 0;
        long sum = 0;
        for (int i = 0; i < 6; i++) {
            most = Math.max(most, helm(i).handled);
            sum += helm(i).handled;
        }
        assertEquals(SIDES, sessionsAtHome(), "each has found the helm of its zone");
        assertTrue(most < sum / 6 * 2, most + " of " + sum + " messages at one helm");
    }

    @Test
    void oneChangeCostsTheLeaderLittleAndEachSideFourMessages() {
        mesh.world.run(8000);
        String leader = RaftNode.addressOf(mesh.leader().raft.leaderId());
        long idle = -mesh.world.messages;
        double idleWork = -mesh.world.machine(leader).worked;
        mesh.world.run(1000);
        idle += mesh.world.messages;
        idleWork += mesh.world.machine(leader).worked;
        long before = mesh.world.messages;
        double worked = mesh.world.machine(leader).worked;
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 1000).status());
        mesh.world.run(1000);
        assertEquals(0, behind(5));
        long messages = mesh.world.messages - before - idle;
        double work = mesh.world.machine(leader).worked - worked - idleWork;
        assertTrue(messages < SIDES * 9, messages + " messages for a change");
        assertTrue(work < 300, work + " ms of the leader's processor for a change");
    }

    /** Calls and renewals share the link with a large document: none of them is lost to it. */
    @Test
    void manyRoutesOverNarrowLinksCloseNoSession() {
        mesh.world.run(8000);
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 1000).status());
        mesh.world.run(1000);
        int[] most = new int[1];
        OperatorRequest.Result got = order(mesh.large(6, 5, 2000), 5000);
        assertNotNull(got, "acknowledged within ack");
        assertEquals(200, got.status());
        for (int t = 0; t < 2500; t += 50) {
            mesh.world.run(50);
            most[0] = Math.max(most[0], (int)
                    mesh.wefts.values().stream().filter(w -> !w.hasSession()).count());
        }
        assertEquals(0, behind(6), "in force everywhere within apply");
        assertEquals(0, most[0], "sessions lost");
    }

    /** Half of all are killed at once: what they cause when they come back is in proportion to them. */
    @Test
    void aHerdThatComesBackIsHeardInProportion() {
        mesh.world.run(8000);
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 1000).status());
        mesh.world.run(2000);
        for (int i = 0; i < SIDES; i += 2) {
            mesh.killWeft(SimMesh.weftPeer(i));
        }
        mesh.world.run(1000);
        long before = mesh.world.messages;
        for (int i = 0; i < SIDES; i += 2) {
            mesh.startWeft(SimMesh.weftPeer(i));
        }
        mesh.world.run(2000);
        long messages = mesh.world.messages - before;
        for (DataPlaneNode w : mesh.wefts.values()) {
            assertTrue(w.isReady() && w.hasSession() && w.shadowCommit.epoch() == 5, "back in two thirds of quiet");
        }
        assertTrue(messages < SIDES * 60, messages + " messages after a herd came back");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 25, 45, 65, 85, 110, 140, 180, 240})
    void theLeaderDiesInAnyPhaseAmongHundreds(int killedAfter) {
        mesh.world.run(8000);
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 1000).status());
        mesh.world.run(800);
        OperatorRequest.Result[] got = new OperatorRequest.Result[1];
        mesh.order(SimMesh.change(6, 5, "two"), o -> got[0] = o);
        mesh.world.run(killedAfter);
        mesh.killHelm(RaftNode.addressOf(mesh.leader().raft.leaderId()), true);
        mesh.world.run(5000);
        ControllerNode next = mesh.leader();
        assertNotNull(next, "a new leader");
        long now = next.replicatedState().current().epoch();
        if (got[0] != null && got[0].status() == 200) {
            assertEquals(6, now, "acknowledged");
        }
        assertEquals(0, behind(now), "one version everywhere");
        assertEquals(ReplicatedState.Phase.MARKED, next.replicatedState().phase());
        assertEquals(200, order(SimMesh.change(9, now, "three"), 1500).status(), "and changes go on");
    }

    /** One helm has hardly the processor it needs: it sheds comparisons, keeps its sessions, and the group its leader. */
    @Test
    void aHelmThatDoesNotKeepUpShedsComparisonsAndNothingElse() {
        mesh.world.run(8000);
        String slow = mesh.helms.keySet().stream()
                .filter(h -> !h.equals(RaftNode.addressOf(mesh.leader().raft.leaderId())))
                .findFirst()
                .orElseThrow();
        long term = mesh.leader().raft.currentTerm();
        mesh.world.machine(slow).messageMs = 14;
        int lost = 0;
        boolean strained = false;
        for (int t = 0; t < 60; t++) {
            mesh.world.run(100);
            lost = Math.max(lost, (int)
                    mesh.wefts.values().stream().filter(w -> !w.hasSession()).count());
            ObjectNode[] status = new ObjectNode[1];
            mesh.helms.get(slow).handleRequest("status", JsonNodeFactory.instance.objectNode(), n -> status[0] = n);
            if (status[0].path("strained").asBoolean()) {
                strained = true;
                ObjectNode[] digest = new ObjectNode[] {status[0]};
                mesh.helms.get(slow).handleRequest("digest", JsonNodeFactory.instance.objectNode(), n -> digest[0] = n);
                assertNull(digest[0], "a comparison waits for better times");
            }
        }
        assertTrue(strained, "it says so");
        assertEquals(0, lost, "sessions lost");
        assertEquals(term, mesh.leader().raft.currentTerm(), "no election");
        mesh.world.machine(slow).messageMs = 14;
        mesh.world.run(4000);
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 1000).status());
    }

    /** A zone goes with its voter, and a voter of another zone with it: three of five are left. */
    @Test
    void aZoneAndAVoterElsewhereLeaveAMajority() {
        mesh.world.run(12_000);
        List<String> voters = mesh.leader().raft.voters();
        assertEquals(5, voters.size(), voters.toString());
        List<String> lost = voters.stream().map(RaftNode::addressOf).limit(2).toList();
        int zone = Integer.parseInt(lost.get(0).replaceAll("10.0.0.(\\d+):.*", "$1")) - 1;
        for (int i = zone; i < SIDES; i += 6) {
            mesh.killWeft(SimMesh.weftPeer(i));
        }
        lost.forEach(h -> mesh.killHelm(h, true));
        mesh.world.run(3000);
        assertEquals(200, order(SimMesh.change(5, 0, "one"), 2000).status());
        mesh.world.run(2000);
        assertEquals(0, behind(5));
    }
}
