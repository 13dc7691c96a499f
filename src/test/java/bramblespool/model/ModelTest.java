package bramblespool.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A few schedules of each theme; {@code Hunt} plays many. */
class ModelTest {
    private static final int SEEDS = 12;

    @ParameterizedTest
    @EnumSource(Draw.Theme.class)
    void allHoldsThroughADrawnSchedule(Draw.Theme theme) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Schedule s = Draw.schedule(seed, theme);
            assertEquals(null, Play.play(s), () -> "Schedule.parse(\"\"\"\n" + s + "\"\"\")");
        }
    }

    @Test
    void whatIsPrintedIsReadBack() {
        for (long seed = 1; seed <= 60; seed++) {
            Schedule s = Draw.schedule(seed);
            assertEquals(s, Schedule.parse(s.toString()));
            assertTrue(s.fits(), s.toString());
        }
    }
}
