package bramblespool.coordination.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClusterClockTest {
    private final FakeClock clock = FakeClock.readOnly(5000);
    private final ClusterClock clusterClock = new ClusterClock(clock);

    @Test
    void startsAsTheMachinesOwnClock() {
        clock.advance(7);
        assertEquals(5007, clusterClock.now());
    }

    @Test
    void minorityWithAWrongClockChangesNothing() {
        clusterClock.adoptMedian(List.of(5002L, 900_000L), 2);
        assertEquals(5002, clusterClock.now());
        clusterClock.adoptMedian(List.of(4990L, 5010L, 0L), 3);
        assertEquals(4995, clusterClock.now(), "between the two in the middle");
    }

    @Test
    void answerIsHalfARoundTripOld() {
        clock.advance(100);
        clusterClock.setOffset(clusterClock.offsetOf(8000, 30));
        assertEquals(8015, clusterClock.now());
    }

    @Test
    void timeIsAgreedOnceEnoughClocksAreClose() {
        int[] agreements = new int[1];
        clusterClock.onAgreed(() -> agreements[0]++);
        clusterClock.adoptMedian(List.of(), 2);
        clusterClock.adoptMedian(List.of(9000L), 2);
        assertFalse(clusterClock.isAgreed(), "neither of two that differ by seconds is known to be right");
        clusterClock.adoptMedian(List.of(5400L, 90_000L), 2);
        assertTrue(clusterClock.isAgreed());
        clusterClock.adoptMedian(List.of(9000L), 2);
        assertTrue(clusterClock.isAgreed(), "from then on");
        assertEquals(1, agreements[0]);
    }
}
