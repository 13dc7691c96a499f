package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import bramblespool.coordination.configuration.PhaseAcknowledgement;
import bramblespool.coordination.configuration.PhaseCodec;
import bramblespool.protocol.OperatorRequest;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Every order that a leader has read is answered once, whatever becomes of the leader meanwhile. */
class OrderAnswerTest {
    private static final int CONTROLLERS = 3;
    /** Longer than an election, an abort and every time-out of a commit. */
    private static final long SETTLE_MS = 20_000;

    private final SimulatedMesh mesh = new SimulatedMesh(11, CONTROLLERS, 3);
    private final Simulator simulator = mesh.simulator;
    private final List<OperatorRequest.Result> answers = new ArrayList<>();

    @BeforeEach
    void commitFirstVersion() {
        simulator.run(SETTLE_MS);
        mesh.submitToLeader(SimulatedMesh.change(2, 0, "first"), answers::add);
        simulator.run(SETTLE_MS);
        assertEquals(200, answers.remove(0).status());
    }

    private String leaderPeer() {
        return mesh.controllers.entrySet().stream()
                .filter(entry -> entry.getValue() == mesh.leader())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** From now on a sidecar finds every candidate invalid; {@code onRejected} runs when it says so. */
    private void rejectCandidates(Runnable onRejected) {
        String peer = SimulatedMesh.sidecarPeer(0);
        var sidecar = mesh.sidecars.get(peer);
        simulator.machine(peer).serve((kind, body, callback) -> {
            if (kind.equals(PhaseCodec.PHASE_KIND)) {
                callback.accept(PhaseCodec.encodeAcknowledgement(new PhaseAcknowledgement.Rejected("test")));
                onRejected.run();
            } else {
                sidecar.handleRequest(kind, body, callback);
            }
        });
    }

    @Test
    void rejectedOrderIsAnsweredByLeaderThatStays() {
        rejectCandidates(() -> {});
        mesh.submitToLeader(SimulatedMesh.change(4, 2, "second"), answers::add);
        simulator.run(SETTLE_MS);
        assertEquals(1, answers.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2, 5, 10, 20})
    void orderIsAnsweredThoughLeadIsLostWhileItIsAborted(long cutAfterMs) {
        String leader = leaderPeer();
        rejectCandidates(() -> simulator.scheduleEvent(cutAfterMs, () -> simulator.setIsolated(leader, true)));
        mesh.submitToLeader(SimulatedMesh.change(4, 2, "second"), answers::add);
        simulator.run(SETTLE_MS);
        assertEquals(1, answers.size(), "answers of a leader that was cut off " + cutAfterMs + " ms after a rejection");
        assertNotNull(answers.get(0));
    }

    @Test
    void ordersThatWaitAreAnsweredWhenLeaderLeaves() {
        for (int epoch = 4; epoch < 12; epoch++) {
            mesh.submitToLeader(SimulatedMesh.change(epoch, 2, "p" + epoch), answers::add);
        }
        mesh.leader().leave();
        simulator.run(SETTLE_MS);
        assertEquals(8, answers.size());
    }
}
