package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.testing.FakeClock;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class UsageCollectorTest {
    private static final UsageWindows WINDOWS = new UsageWindows(2000, 4000);

    private final FakeClock clock = FakeClock.readOnly(0);
    private final UsageCollector collector = new UsageCollector(clock, WINDOWS);

    private void add(String node, String incarnation, long window, int runs) {
        collector.add(node, new UsageUpdate(incarnation, window, 1, Map.of(window, Map.of("acme", runs))));
    }

    @Test
    void laterSumsReplaceEarlierOnes() {
        add("w1", "p", 40, 3);
        add("w1", "p", 40, 4);
        add("w1", "q", 40, 2);
        assertEquals(
                Map.of(
                        "w1 p", new ProcessUsage("w1", 40, Optional.of(Map.of("acme", 4))),
                        "w1 q", new ProcessUsage("w1", 40, Optional.of(Map.of("acme", 2)))),
                collector.usageOf(40));
    }

    @Test
    void finalWindowsStayFinal() {
        add("w1", "p", 42, 3);
        add("w1", "p", 41, 3);
        assertEquals(Map.of("w1 p", new ProcessUsage("w1", 42, Optional.empty())), collector.usageOf(40));
    }

    @Test
    void oldWindowsAndSilentProcessesAreForgotten() {
        for (long window = 40; window < 47; window++) {
            add("w1", "p", window, 1);
        }
        assertEquals(Optional.empty(), collector.usageOf(40).get("w1 p").runsByTenant());
        assertEquals(
                Optional.of(Map.of("acme", 1)),
                collector.usageOf(41).get("w1 p").runsByTenant());
        clock.advance(2 * WINDOWS.lateMs());
        collector.removeSilentProcesses();
        assertEquals(1, collector.processCount());
        clock.advance(1);
        collector.removeSilentProcesses();
        assertEquals(0, collector.processCount());
    }
}
