package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.ReplicatedEntry.CandidateStored;
import bramblespool.state.ReplicatedEntry.CommitAborted;
import bramblespool.state.ReplicatedEntry.CommitDecided;
import bramblespool.state.ReplicatedEntry.PhaseReached;
import bramblespool.state.ReplicatedEntry.SingletonRoleAssigned;
import bramblespool.state.ReplicatedEntry.VotersChanged;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What each kind of entry does to the replicated state. */
class ReplicatedStateTest {
    private final ReplicatedState state = new ReplicatedState();
    private long index;

    private void apply(ReplicatedEntry... entries) {
        for (ReplicatedEntry entry : entries) {
            state.apply(++index, entry);
        }
    }

    @Test
    void decisionMakesTheCandidateCurrent() {
        apply(new CandidateStored(5, 0, "d5", "five"), new CommitDecided(5));
        apply(new PhaseReached(5, ReplicatedState.Phase.MARKED));
        apply(new CandidateStored(6, 5, "d6", "six"), new CommitDecided(6));
        assertEquals(new ReplicatedState.Version(6, "six", "d6"), state.current());
        assertEquals(new ReplicatedState.Version(5, "five", "d5"), state.previous());
        assertNull(state.candidate());
        assertEquals(ReplicatedState.Phase.DECIDED, state.phase());
        assertTrue(state.isCommitted("d5") && state.isCommitted("d6"));
    }

    @Test
    void decisionThatDoesNotFitChangesNothing() {
        apply(new CandidateStored(5, 0, "d5", "five"), new CommitDecided(6));
        assertEquals(0, state.current().epoch(), "another epoch is decided");
        apply(new CommitDecided(5), new CandidateStored(6, 4, "d6", "six"), new CommitDecided(6));
        assertEquals(5, state.current().epoch(), "its base is not current");
        apply(new CommitAborted(6), new CandidateStored(5, 5, "again", "five"), new CommitDecided(5));
        assertEquals("d5", state.current().digest(), "its epoch is not above the current one");
        assertFalse(state.isCommitted("d6") || state.isCommitted("again"));
    }

    @Test
    void firstCandidateStaysUntilItIsAborted() {
        apply(new CandidateStored(5, 0, "a", "one"), new CandidateStored(6, 0, "b", "two"), new CommitAborted(6));
        assertEquals("a", state.candidate().digest());
        apply(new CommitAborted(5), new CandidateStored(6, 0, "b", "two"));
        assertEquals("b", state.candidate().digest());
    }

    @Test
    void phaseOfAnotherVersionIsIgnored() {
        apply(new CandidateStored(5, 0, "d5", "five"), new CommitDecided(5));
        apply(new PhaseReached(4, ReplicatedState.Phase.MARKED));
        assertEquals(ReplicatedState.Phase.DECIDED, state.phase());
    }

    @Test
    void voterThatStaysKeepsItsIndex() {
        apply(new VotersChanged(VoterSet.decode(List.of("a", "b"))));
        apply(new VotersChanged(VoterSet.decode(List.of("a", "-b", "+c"))));
        apply(new VotersChanged(VoterSet.decode(List.of("a", "c"))));
        assertEquals(Map.of("a", 1L, "c", 2L), state.voterSinceIndexes());
        assertEquals(3, state.votersChangedIndex());
    }

    @Test
    void fencingTokenOfSingletonRoleRises() {
        apply(new SingletonRoleAssigned("k", "a"), new SingletonRoleAssigned("k", "a"));
        assertEquals(
                new ReplicatedState.SingletonRole("a", 2, false),
                state.singletonRoles().get("k"));
    }

    @Test
    void onlyNewestDigestsAreKept() {
        for (long epoch = 1; epoch <= 4097; epoch++) {
            apply(new CandidateStored(epoch, epoch - 1, "d" + epoch, "x"), new CommitDecided(epoch));
        }
        assertFalse(state.isCommitted("d1"));
        assertTrue(state.isCommitted("d2") && state.isCommitted("d4097"));
    }
}
