package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
        clusterClock.adoptMedian(List.of(5002L, 900_000L));
        assertEquals(5002, clusterClock.now());
        clusterClock.adoptMedian(List.of(4990L, 5010L, 0L));
        assertEquals(4995, clusterClock.now(), "between the two in the middle");
    }

    @Test
    void answerIsHalfARoundTripOld() {
        clock.advance(100);
        clusterClock.setOffset(clusterClock.offsetOf(8000, 30));
        assertEquals(8015, clusterClock.now());
    }
}
