package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import bramblespool.state.EventLog;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PhaseHandlerTest {
    private static final long TERM = 3;

    private ShadowCommitParticipant participant;
    private PhaseHandler handler;
    private RoutingConfiguration candidate;
    private int behindCount;
    private long round;

    @BeforeEach
    void adoptFirstVersion() throws InvalidConfigurationException {
        SimulatedMachine machine = new Simulator(1).machine("10.0.1.1:7000");
        machine.boot();
        participant = new ShadowCommitParticipant(machine, 1000, EventLog.silent());
        participant.adopt(RoutingConfigurationParser.parse(SimulatedMesh.document(5, 0, "p5")), true);
        handler = new PhaseHandler(new TermGuard(EventLog.silent()), participant, () -> behindCount++);
        candidate = RoutingConfigurationParser.parse(SimulatedMesh.document(7, 5, "p7"));
    }

    private PhaseAcknowledgement send(CommitPhase phase, long term, long oldEpoch, String document) {
        PhaseMessage.CandidateDocument candidateDocument =
                phase == CommitPhase.TAG_DISTRIBUTION ? new PhaseMessage.CandidateDocument(0, document) : null;
        return handler.handle(
                new PhaseMessage(phase, term, ++round, oldEpoch, 7, candidate.stamp(), candidateDocument));
    }

    private PhaseAcknowledgement send(CommitPhase phase) {
        return send(phase, TERM, 5, candidate.compressedDocument());
    }

    @Test
    void eachPhaseIsAppliedAndAcknowledged() {
        PhaseAcknowledgement recorded = send(CommitPhase.TAG_DISTRIBUTION);
        assertEquals(
                new PhaseAcknowledgement.CandidateRecorded(candidate.difference(participant.realConfiguration())),
                recorded);
        assertEquals(new PhaseAcknowledgement.Applied(), send(CommitPhase.TAG_PACKET));
        assertEquals(new PhaseAcknowledgement.Applied(), send(CommitPhase.SWAP));
        assertEquals(7, participant.epoch());
        assertEquals(new PhaseAcknowledgement.Applied(), send(CommitPhase.MARK_SHADOW_BIT));
        assertEquals("0", participant.currentMark());
    }

    @Test
    void phaseOfAnUnknownCandidateIsNotApplied() {
        assertEquals(new PhaseAcknowledgement.NotApplied(""), send(CommitPhase.SWAP));
        send(CommitPhase.TAG_DISTRIBUTION);
        assertEquals(new PhaseAcknowledgement.Applied(), send(CommitPhase.ABORT));
        assertEquals(new PhaseAcknowledgement.NotApplied(""), send(CommitPhase.TAG_PACKET));
    }

    @Test
    void candidateOnAnotherBaseIsNotRecorded() {
        assertEquals(
                new PhaseAcknowledgement.NotApplied("behind"),
                send(CommitPhase.TAG_DISTRIBUTION, TERM, 6, candidate.compressedDocument()));
        assertEquals(1, behindCount);
    }

    @Test
    void invalidCandidateIsRejected() {
        assertInstanceOf(
                PhaseAcknowledgement.Rejected.class, send(CommitPhase.TAG_DISTRIBUTION, TERM, 5, "not a document"));
    }

    @Test
    void phaseOfALowerTermIsStale() {
        send(CommitPhase.TAG_DISTRIBUTION);
        assertEquals(
                new PhaseAcknowledgement.StaleMessage(TERM),
                send(CommitPhase.ABORT, TERM - 1, 5, candidate.compressedDocument()));
        assertEquals(new PhaseAcknowledgement.Applied(), send(CommitPhase.TAG_PACKET), "the tags are still there");
    }
}
