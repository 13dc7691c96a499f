package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReportBackoffTest {
    private final FakeClock clock = FakeClock.readOnly(0);

    /** How long the backoff pauses from now on. */
    private long pauseOf(ReportBackoff backoff) {
        long pauseMs = 0;
        while (backoff.isPaused()) {
            clock.advance(1);
            pauseMs++;
        }
        return pauseMs;
    }

    @Test
    void pausesDoubleUpToTheLongest() {
        ReportBackoff backoff = new ReportBackoff(clock, 100, 500, 1000);
        assertFalse(backoff.isPaused());
        for (long expectedMs : List.of(100L, 200L, 400L, 500L, 500L)) {
            backoff.onFailure();
            assertEquals(expectedMs, pauseOf(backoff));
        }
        backoff.onSuccess();
        backoff.onFailure();
        assertEquals(100, pauseOf(backoff));
    }

    @Test
    void pauseKeepsTheCallRate() {
        ReportBackoff slow = new ReportBackoff(clock, 100, 500, 2);
        slow.onFailure();
        assertEquals(500, pauseOf(slow));
        ReportBackoff unlimited = new ReportBackoff(clock, 100, 500, 0);
        unlimited.onFailure();
        assertEquals(10_000, pauseOf(unlimited), "a rate of nearly nothing is taken for one call in ten seconds");
    }

    @Test
    void fixedPauseDoesNotCountAsAFailure() {
        ReportBackoff backoff = new ReportBackoff(clock, 100, 500, 1000);
        backoff.pauseFor(40);
        assertTrue(backoff.isPaused());
        assertEquals(40, pauseOf(backoff));
        backoff.onFailure();
        assertEquals(100, pauseOf(backoff));
    }

    @Test
    void platformAnswersAreToldApart() {
        assertEquals(new ReportSender.Accepted(), ReportSender.outcomeOf(200));
        assertEquals(new ReportSender.Fenced(), ReportSender.outcomeOf(409));
        assertEquals(new ReportSender.Failed("no answer"), ReportSender.outcomeOf(0));
        assertEquals(new ReportSender.Failed("answered 503"), ReportSender.outcomeOf(503));
    }
}
