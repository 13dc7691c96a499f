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
    @EnumSource(ScheduleGenerator.Theme.class)
    void invariantsHoldForGeneratedSchedules(ScheduleGenerator.Theme theme) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Schedule schedule = ScheduleGenerator.schedule(seed, theme);
            assertEquals(
                    null, ScheduleRunner.runSchedule(schedule), () -> "Schedule.parse(\"\"\"\n" + schedule + "\"\"\")");
        }
    }

    @Test
    void printedScheduleIsParsedBack() {
        for (long seed = 1; seed <= 60; seed++) {
            Schedule schedule = ScheduleGenerator.schedule(seed);
            assertEquals(schedule, Schedule.parse(schedule.toString()));
            assertTrue(schedule.isWithinBudget(), schedule.toString());
        }
    }
}
