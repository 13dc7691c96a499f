package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WindowUsageTest {
    private final WindowUsage usage = new WindowUsage();

    private static ProcessUsage usage(String node, long finalBeforeWindow, int runs) {
        return new ProcessUsage(node, finalBeforeWindow, Optional.of(Map.of("acme", runs)));
    }

    @Test
    void eachProcessCountsOnceInItsLatestState() {
        usage.merge(Map.of("w1 a", usage("w1", 40, 3), "w1 b", usage("w1", 41, 5)));
        usage.merge(Map.of("w1 a", usage("w1", 40, 4), "w1 b", usage("w1", 40, 9)));
        assertEquals(Map.of("acme", 9), usage.totalsByTenant(), "4 of the one, and the final 5 of the other");
    }

    @Test
    void countsAreNotReplacedByNone() {
        usage.merge(Map.of("w1 a", usage("w1", 40, 3)));
        usage.merge(Map.of("w1 a", new ProcessUsage("w1", 42, Optional.empty())));
        assertEquals(Map.of("acme", 3), usage.totalsByTenant());
        usage.merge(Map.of("w1 a", usage("w1", 42, 2)));
        assertEquals(Map.of("acme", 2), usage.totalsByTenant(), "a run was taken back before the sums were final");
    }

    @Test
    void windowIsFinalOnceEachNodeHasClosedIt() {
        usage.merge(Map.of("w1 a", usage("w1", 41, 3), "w2 b", usage("w2", 40, 3)));
        assertTrue(usage.isFinalFor(List.of("w1"), 40));
        assertFalse(usage.isFinalFor(List.of("w1", "w2"), 40));
        assertFalse(usage.isFinalFor(List.of("w3"), 40));
    }
}
