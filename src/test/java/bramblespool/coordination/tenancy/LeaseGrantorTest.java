package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.tenancy.LeaseRequest.Kind;
import bramblespool.testing.FakeClock;
import org.junit.jupiter.api.Test;

class LeaseGrantorTest {
    private static final LeaseTimings TIMINGS = new LeaseTimings(100, 30, 1000);
    private final FakeClock clock = new FakeClock();
    private final LeaseGrantor grantor = new LeaseGrantor(clock, TIMINGS);

    private boolean decide(Kind kind, String holder) {
        return grantor.decide(new LeaseRequest(kind, holder));
    }

    @Test
    void refusesUntilAllThatWasGrantedBeforeItsStartOrByFormerVotersHasLapsed() {
        clock.advance(199);
        assertFalse(decide(Kind.RENEW, "a"));
        assertFalse(decide(Kind.BAR, "a"));
        clock.advance(1);
        assertTrue(decide(Kind.RENEW, "a"));
        grantor.onVotersChanged(true);
        assertFalse(decide(Kind.RENEW, "a"), "a new voter");
        clock.advance(200);
        grantor.onVotersChanged(true);
        assertTrue(decide(Kind.RENEW, "a"), "a voter as before");
    }

    @Test
    void barsOnlyOnceItsLastGrantHasLapsed() {
        clock.advance(200);
        assertTrue(decide(Kind.RENEW, "a"));
        clock.advance(99);
        assertFalse(decide(Kind.BAR, "a"));
        assertFalse(grantor.hasLapsed("a"));
        clock.advance(1);
        assertTrue(grantor.hasLapsed("a"));
        assertTrue(decide(Kind.BAR, "a"));
    }

    @Test
    void grantsNothingToABarredController() {
        clock.advance(200);
        assertTrue(decide(Kind.BAR, "a"));
        assertTrue(decide(Kind.RENEW, "b"), "others may");
        clock.advance(199);
        assertFalse(decide(Kind.RENEW, "a"));
        clock.advance(1);
        assertTrue(decide(Kind.RENEW, "a"));
    }

    @Test
    void grantOfAnotherVoterEndsTheBar() {
        clock.advance(200);
        assertTrue(decide(Kind.BAR, "a"));
        grantor.markGrantedElsewhere("a");
        assertFalse(grantor.hasLapsed("a"));
        assertTrue(decide(Kind.RENEW, "a"));
    }
}
