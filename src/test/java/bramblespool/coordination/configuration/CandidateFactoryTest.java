package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.protocol.OperatorRequest;
import bramblespool.state.CompressedDocument;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import bramblespool.testing.SimulatedMesh;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CandidateFactoryTest {
    private final ReplicatedState replicatedState = new ReplicatedState();
    private final CandidateFactory candidates = new CandidateFactory(replicatedState);
    private final OperatorRequest.ConfigurationChange committed = SimulatedMesh.change(5, 0, "p5");

    /** Version 5 is in force. */
    @BeforeEach
    void commitFirstVersion() {
        ObjectNode snapshot = JsonNodeFactory.instance.objectNode().put("phase", "MARKED");
        snapshot.putObject("current")
                .put("epoch", 5)
                .put("doc", CompressedDocument.compress(SimulatedMesh.document(5, 0, "p5")))
                .put("digest", committed.digest());
        snapshot.putObject("taken").put(committed.digest(), 5);
        replicatedState.restore(ReplicatedStateSnapshotCodec.decode(snapshot.toString()));
    }

    private CandidateFactory.Evaluation evaluate(long epoch, long base) {
        return candidates.evaluate(SimulatedMesh.change(epoch, base, "p" + epoch));
    }

    @Test
    void changeOnTheVersionInForceIsACandidate() {
        CandidateFactory.Candidate candidate = assertInstanceOf(CandidateFactory.Candidate.class, evaluate(6, 5));
        assertEquals(6, candidate.configuration().epoch());
        assertTrue(candidates.decidedOutcome(SimulatedMesh.change(6, 5, "p6")).isEmpty());
    }

    @Test
    void repeatOfACommittedChangeIsCommitted() {
        assertEquals(new CandidateFactory.Decided(new ChangeOutcome.Committed(5)), candidates.evaluate(committed));
    }

    @Test
    void changeOnAnotherVersionConflicts() {
        CandidateFactory.Evaluation evaluation = evaluate(6, 4);
        assertEquals(new CandidateFactory.Decided(new ChangeOutcome.VersionConflict(5)), evaluation);
        assertEquals(412, new ChangeOutcome.VersionConflict(5).toResult().status());
    }

    @Test
    void versionNumbersRise() {
        assertEquals(new CandidateFactory.Decided(new ChangeOutcome.Invalid("epoch: must be above 5")), evaluate(4, 5));
        assertEquals(400, new ChangeOutcome.Invalid("faults").toResult().status());
    }

    @Test
    void operatorAsksAgainWhereTheOutcomeIsUnknown() {
        assertEquals(503, new ChangeOutcome.LeadershipLost().toResult().status());
        assertEquals(503, new ChangeOutcome.NoMajority().toResult().status());
        assertEquals(200, new ChangeOutcome.Committed(5).toResult().status());
    }

    /** Guards against an acknowledged change being lost to a refused one of the same number (CONFIG). */
    @Test
    void amendmentBuildsOnTheCommittedDocumentNotOnALostCandidateOfItsNumber() {
        CandidateFactory.Candidate lost = assertInstanceOf(CandidateFactory.Candidate.class, evaluate(6, 5));
        candidates.onCandidateStored(lost.configuration());
        OperatorRequest.ConfigurationChange rival = SimulatedMesh.change(6, 5, "rival");
        replicatedState.apply(
                1,
                new ReplicatedEntry.CandidateStored(
                        6, 5, rival.digest(), CompressedDocument.compress(SimulatedMesh.document(6, 5, "rival"))));
        replicatedState.apply(2, new ReplicatedEntry.CommitDecided(6));

        CandidateFactory.Candidate amended = assertInstanceOf(
                CandidateFactory.Candidate.class, candidates.evaluate(SimulatedMesh.amendment(7, 6, "added")));

        assertNotNull(amended.configuration().route("x.example", "/rival/1"), "the committed version's route");
        assertNotNull(amended.configuration().route("x.example", "/added/1"));
        assertNull(amended.configuration().route("x.example", "/p6/1"), "the lost candidate's route");
    }
}
