package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.configuration.ShadowCommitParticipant.CandidateOutcome;
import bramblespool.state.EventLog;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A proxy's part in the shadow commit. */
class ShadowCommitParticipantTest {
    private final Simulator simulator = new Simulator(1);
    private ShadowCommitParticipant participant;

    private static RoutingConfiguration configuration(long epoch) {
        try {
            return RoutingConfigurationParser.parse(SimulatedMesh.document(epoch, 0, "p" + epoch));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    void adoptFirstVersion() {
        SimulatedMachine machine = simulator.machine("10.0.1.1:7000");
        machine.boot();
        participant = new ShadowCommitParticipant(machine, 1000, EventLog.silent());
        participant.adopt(configuration(5), true);
    }

    private long resolvedVersion(String mark) {
        ShadowCommitParticipant.ResolvedVersion choice = participant.resolve(mark);
        return choice.isKnown() ? choice.configuration().epoch() : -1;
    }

    @Test
    void commitsThroughAllFourPhases() {
        assertEquals("0", participant.currentMark());
        assertEquals(CandidateOutcome.RECORDED, participant.recordCandidate(5, 7, configuration(7), 0));
        assertEquals("0", participant.currentMark(), "tags are known, not used");
        assertEquals(7, resolvedVersion("1"));
        assertTrue(participant.resolve("1").isShadow(), "a marked test call");
        assertTrue(participant.startTagging(7, configuration(7).stamp()));
        assertEquals(configuration(5).tag(), participant.currentMark());
        assertEquals(5, resolvedVersion("0"), "an untagged call is of the old version");
        assertTrue(participant.swap(7, configuration(7).stamp()));
        assertEquals(configuration(7).tag(), participant.currentMark());
        assertEquals(5, resolvedVersion("t5"), "the tags are not swapped");
        assertEquals(5, resolvedVersion("0"), "a bit from one that has not had TAG PACKET still means C_old");
        assertTrue(participant.markShadowBit(7, configuration(7).stamp()));
        assertEquals("0", participant.currentMark());
        assertEquals(7, resolvedVersion("0"));
        assertEquals(5, resolvedVersion("1"));
    }

    @Test
    void taggedCallCountsAsTagPacket() {
        participant.recordCandidate(5, 7, configuration(7), 0);
        assertEquals(5, resolvedVersion("t5"));
        assertEquals(configuration(5).tag(), participant.currentMark());
    }

    @Test
    void candidateRevertsBeforeTagPacketButNotAfter() {
        participant.recordCandidate(5, 7, configuration(7), 0);
        simulator.run(1500);
        assertTrue(!participant.startTagging(7, configuration(7).stamp()), "the tags are forgotten");
        assertEquals(5, participant.epoch());
        participant.recordCandidate(5, 8, configuration(8), 0);
        participant.startTagging(8, configuration(8).stamp());
        simulator.run(1500);
        assertTrue(participant.swap(8, configuration(8).stamp()), "past TAG PACKET it waits for what comes");
    }

    @Test
    void abortCannotUndoSwap() {
        participant.recordCandidate(5, 7, configuration(7), 0);
        participant.startTagging(7, configuration(7).stamp());
        participant.swap(7, configuration(7).stamp());
        participant.revert(7, configuration(7).stamp());
        assertEquals(7, participant.epoch());
        participant.adopt(configuration(6), true);
        assertEquals(7, participant.epoch(), "never back within a process");
    }

    /** Two changes of one number: the one kept from an aborted commit is not the one that was decided. */
    @Test
    void candidateWithSameVersionNumberIsDistinct() throws InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfigurationParser.parse(SimulatedMesh.document(7, 0, "other"));
        participant.recordCandidate(5, 7, configuration(7), 0);
        assertEquals(-1, resolvedVersion(other.tag()));
        assertFalse(participant.startTagging(7, other.stamp()));
        assertFalse(participant.swap(7, other.stamp()));
        assertEquals(5, participant.epoch());
        assertEquals(7, resolvedVersion(configuration(7).tag()));
    }

    @Test
    void unknownMarksResolveToNothing() {
        assertEquals(-1, resolvedVersion("t99"));
        assertEquals(-1, resolvedVersion("tx"));
        assertEquals(-1, resolvedVersion("2"));
        assertEquals(-1, resolvedVersion(null));
        assertEquals(CandidateOutcome.BEHIND, participant.recordCandidate(4, 7, configuration(7), 0));
    }

    @Test
    void abortOfOneCandidateLeavesAnother() throws InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfigurationParser.parse(SimulatedMesh.document(7, 0, "other"));
        participant.recordCandidate(5, 7, other, 0);
        participant.revert(7, configuration(7).stamp());
        participant.revert(6, configuration(6).stamp());
        assertTrue(participant.startTagging(7, other.stamp()), "its tags are still there");
    }

    @Test
    void lastPhaseOfOneCommitLeavesTagsOfNext() {
        participant.recordCandidate(5, 7, configuration(7), 0);
        assertTrue(participant.markShadowBit(5, configuration(5).stamp()));
        assertTrue(participant.startTagging(7, configuration(7).stamp()));
        assertTrue(participant.markShadowBit(5, configuration(5).stamp()));
        assertEquals(configuration(5).tag(), participant.currentMark());
        assertTrue(participant.swap(7, configuration(7).stamp()));
    }

    /** In force is one document of a number; another one of it is neither confirmed nor marked. */
    @Test
    void rivalOfActiveVersionNumberIsNotAcknowledged() throws InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfigurationParser.parse(SimulatedMesh.document(5, 0, "other"));
        assertEquals(CandidateOutcome.BEHIND, participant.recordCandidate(4, 5, other, 0));
        assertFalse(participant.startTagging(5, other.stamp()));
        assertFalse(participant.swap(5, other.stamp()));
        assertFalse(participant.markShadowBit(5, other.stamp()));
        assertEquals(
                CandidateOutcome.ALREADY_REAL,
                participant.recordCandidate(4, 5, configuration(5), 0),
                "what is in force is confirmed");
    }
}
