package bramblespool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.EventLog;
import bramblespool.state.RoutingConfiguration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One weft's side of the shadow commit. */
class ShadowTest {
    private final SimWorld world = new SimWorld(1);
    private ShadowCommitParticipant shadow;

    private static RoutingConfiguration config(long epoch) {
        try {
            return RoutingConfiguration.compile(SimMesh.document(epoch, 0, "p" + epoch));
        } catch (RoutingConfiguration.InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    void current() {
        SimWorld.Machine m = world.machine("10.0.1.1:7000");
        m.boot();
        shadow = new ShadowCommitParticipant(m, 1000, EventLog.silent());
        shadow.adopt(config(5), true);
    }

    private long named(String mark) {
        ShadowCommitParticipant.ResolvedVersion c = shadow.resolve(mark);
        return c == null ? -1 : c.configuration().epoch;
    }

    @Test
    void theFourPhases() {
        assertEquals("0", shadow.currentMark());
        assertNull(shadow.prepareCandidate(5, 7, config(7), 0));
        assertEquals("0", shadow.currentMark(), "tags are known, not used");
        assertEquals(7, named("1"));
        assertTrue(shadow.resolve("1").isShadow(), "a marked test call");
        assertTrue(shadow.startTagging(7, config(7).stamp));
        assertEquals(config(5).tag(), shadow.currentMark());
        assertEquals(5, named("0"), "an untagged call is of the old version");
        assertTrue(shadow.swap(7, config(7).stamp));
        assertEquals(config(7).tag(), shadow.currentMark());
        assertEquals(5, named("t5"), "the tags are not swapped");
        assertEquals(5, named("0"), "a bit from one that has not had TAG PACKET still means C_old");
        assertTrue(shadow.markShadowBit(7, config(7).stamp));
        assertEquals("0", shadow.currentMark());
        assertEquals(7, named("0"));
        assertEquals(5, named("1"));
    }

    @Test
    void aTaggedCallActsAsTagPacket() {
        shadow.prepareCandidate(5, 7, config(7), 0);
        assertEquals(5, named("t5"));
        assertEquals(config(5).tag(), shadow.currentMark());
    }

    @Test
    void withoutTagPacketItRevertsAndAfterItDoesNot() {
        shadow.prepareCandidate(5, 7, config(7), 0);
        world.run(1500);
        assertTrue(!shadow.startTagging(7, config(7).stamp), "the tags are forgotten");
        assertEquals(5, shadow.epoch());
        shadow.prepareCandidate(5, 8, config(8), 0);
        shadow.startTagging(8, config(8).stamp);
        world.run(1500);
        assertTrue(shadow.swap(8, config(8).stamp), "past TAG PACKET it waits for what comes");
    }

    @Test
    void anAbortCannotUndoWhatWasSwapped() {
        shadow.prepareCandidate(5, 7, config(7), 0);
        shadow.startTagging(7, config(7).stamp);
        shadow.swap(7, config(7).stamp);
        shadow.revert(7, config(7).stamp);
        assertEquals(7, shadow.epoch());
        shadow.adopt(config(6), true);
        assertEquals(7, shadow.epoch(), "never back within a life");
    }

    /** Two changes of one number: the one kept from an aborted commit is not the one that was decided. */
    @Test
    void aCandidateOfTheSameNumberIsAnother() throws RoutingConfiguration.InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfiguration.compile(SimMesh.document(7, 0, "other"));
        shadow.prepareCandidate(5, 7, config(7), 0);
        assertEquals(-1, named(other.tag()));
        assertFalse(shadow.startTagging(7, other.stamp));
        assertFalse(shadow.swap(7, other.stamp));
        assertEquals(5, shadow.epoch());
        assertEquals(7, named(config(7).tag()));
    }

    @Test
    void unknownMarksNameNothing() {
        assertEquals(-1, named("t99"));
        assertEquals(-1, named("tx"));
        assertEquals(-1, named("2"));
        assertEquals(-1, named(null));
        assertEquals("behind", shadow.prepareCandidate(4, 7, config(7), 0));
    }

    @Test
    void theEndOfOneCandidateIsNotAnothers() throws RoutingConfiguration.InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfiguration.compile(SimMesh.document(7, 0, "other"));
        shadow.prepareCandidate(5, 7, other, 0);
        shadow.revert(7, config(7).stamp);
        shadow.revert(6, config(6).stamp);
        assertTrue(shadow.startTagging(7, other.stamp), "its tags are still there");
    }

    @Test
    void theLastPhaseOfOneCommitLeavesTheTagsOfTheNext() {
        shadow.prepareCandidate(5, 7, config(7), 0);
        assertTrue(shadow.markShadowBit(5, config(5).stamp));
        assertTrue(shadow.startTagging(7, config(7).stamp));
        assertTrue(shadow.markShadowBit(5, config(5).stamp));
        assertEquals(config(5).tag(), shadow.currentMark());
        assertTrue(shadow.swap(7, config(7).stamp));
    }

    /** In force is one document of a number; another one of it is neither confirmed nor marked. */
    @Test
    void aRivalOfTheNumberInForceIsNotConfirmed() throws RoutingConfiguration.InvalidConfigurationException {
        RoutingConfiguration other = RoutingConfiguration.compile(SimMesh.document(5, 0, "other"));
        assertEquals("behind", shadow.prepareCandidate(4, 5, other, 0));
        assertFalse(shadow.startTagging(5, other.stamp));
        assertFalse(shadow.swap(5, other.stamp));
        assertFalse(shadow.markShadowBit(5, other.stamp));
        assertNull(shadow.prepareCandidate(4, 5, config(5), 0), "what is in force is confirmed");
    }
}
