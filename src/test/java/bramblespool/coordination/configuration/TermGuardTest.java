package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import org.junit.jupiter.api.Test;

class TermGuardTest {
    private final TermGuard guard = new TermGuard(EventLog.silent());

    private boolean accepts(long term, long round) {
        return guard.accept(
                PhaseCodec.PHASE_KIND, new PhaseMessage(CommitPhase.TAG_PACKET, term, round, 5, 6, "", null));
    }

    @Test
    void lowerTermIsStale() {
        assertTrue(accepts(3, 1));
        assertFalse(accepts(2, 9));
        guard.observeTerm(5);
        assertFalse(accepts(4, 10));
        assertTrue(accepts(5, 1));
        assertEquals(5, guard.highestTerm());
    }

    @Test
    void earlierRoundOfTheSameTermIsStale() {
        assertTrue(accepts(3, 4));
        assertTrue(accepts(3, 4), "the same message may arrive twice");
        assertFalse(accepts(3, 3));
        assertTrue(accepts(3, 5));
    }

    @Test
    void newTermStartsItsRoundsAnew() {
        assertTrue(accepts(3, 40));
        assertTrue(accepts(4, 1));
        guard.observeTerm(4);
        assertFalse(accepts(4, 0), "a term that is known already keeps its rounds");
    }
}
