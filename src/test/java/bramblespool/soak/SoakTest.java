package bramblespool.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The short form of the soak: one seed, some seconds. */
class SoakTest {
    private static final long SEED = 1;
    private static final long DURATION_MS = 15_000;

    @TempDir
    Path directory;

    @Test
    void everyInvariantHoldsUnderOverlappingFaults() throws Exception {
        Soak.Report report = Soak.play(SEED, DURATION_MS, directory);
        assertEquals(List.of(), report.violations());
        assertTrue(report.answered() > 0 && report.left() > 0 && report.keyed() > 0, report.toString());
        assertTrue(report.faults() > 0 && report.changes() > 0, report.toString());
    }
}
