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
    private static final long SEED_OF_A_REFUSED_REPEAT = 316;
    private static final long DURATION_OF_A_REFUSED_REPEAT_MS = 20_000;

    @TempDir
    Path directory;

    @Test
    void everyInvariantHoldsUnderOverlappingFaults() throws Exception {
        Soak.Report report = Soak.play(SEED, DURATION_MS, directory);
        assertEquals(List.of(), report.violations());
        assertTrue(report.answered() > 0 && report.left() > 0 && report.keyed() > 0, report.toString());
        assertTrue(report.faults() > 0 && report.changes() > 0, report.toString());
    }

    /** Guards against 502 for a repeat of an answered key, seen once on a busy machine. */
    @Test
    void repeatsOfAnsweredKeysAreNotRefused() throws Exception {
        Soak.Report report = Soak.play(SEED_OF_A_REFUSED_REPEAT, DURATION_OF_A_REFUSED_REPEAT_MS, directory);
        assertEquals(List.of(), report.violations());
        assertTrue(report.keyed() > 0, report.toString());
    }
}
