package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UsageWindowsTest {
    private final UsageWindows windows = new UsageWindows(2000, 10_000);

    @Test
    void windowsFollowEachOtherWithoutGaps() {
        assertEquals(0, windows.windowAt(1999));
        assertEquals(1, windows.windowAt(2000));
        assertEquals(-1, windows.windowAt(-1), "a clock before the epoch");
        assertEquals(0, windows.elapsedSinceEnd(0, 2000));
        assertEquals(-500, windows.elapsedSinceEnd(1, 3500));
    }

    @Test
    void windowsAreKeptWhileTheyMayBeReported() {
        assertEquals(7, windows.retained());
        assertEquals(2, new UsageWindows(2000, 1999).retained());
    }

    @Test
    void completeWindowIsReportedBeforeAnIncompleteOne() {
        assertFalse(windows.isSettled(1499));
        assertTrue(windows.isSettled(1500));
        assertFalse(windows.mayReportIncomplete(4999));
        assertTrue(windows.mayReportIncomplete(5000));
    }
}
