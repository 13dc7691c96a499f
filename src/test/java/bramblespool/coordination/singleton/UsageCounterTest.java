package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.coordination.time.ClusterClock;
import bramblespool.testing.FakeClock;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UsageCounterTest {
    private static final long WINDOW_MS = 2000;

    private final FakeClock clock = FakeClock.readOnly(40 * WINDOW_MS);
    private final UsageCounter counter =
            new UsageCounter(new ClusterClock(clock), "p", new UsageWindows(WINDOW_MS, 2 * WINDOW_MS));

    @Test
    void windowIsSentUntilItIsAcknowledgedAsItStands() {
        counter.recordRun("acme");
        UsageUpdate first = counter.collectUnacknowledged();
        assertEquals(new UsageUpdate("p", 40, 1, Map.of(40L, Map.of("acme", 1))), first);
        counter.recordRun("acme");
        counter.acknowledge(first.change());
        UsageUpdate second = counter.collectUnacknowledged();
        assertEquals(Map.of(40L, Map.of("acme", 2)), second.runsByWindow(), "sums, not differences");
        counter.acknowledge(second.change());
        assertEquals(Map.of(), counter.collectUnacknowledged().runsByWindow());
        counter.resetAcknowledged();
        assertEquals(second.runsByWindow(), counter.collectUnacknowledged().runsByWindow());
    }

    @Test
    void undoneRunIsTakenFromItsOwnWindow() {
        long window = counter.recordRun("acme");
        clock.advance(WINDOW_MS);
        counter.recordRun("zeta");
        counter.undoRun("acme", window);
        assertEquals(
                Map.of(40L, Map.of(), 41L, Map.of("zeta", 1)),
                counter.collectUnacknowledged().runsByWindow());
    }

    @Test
    void oldestWindowsAreDropped() {
        long first = counter.recordRun("acme");
        for (int n = 0; n < 4; n++) {
            clock.advance(WINDOW_MS);
            counter.recordRun("acme");
        }
        counter.undoRun("acme", first);
        assertEquals(
                Set.of(41L, 42L, 43L, 44L),
                counter.collectUnacknowledged().runsByWindow().keySet());
    }
}
