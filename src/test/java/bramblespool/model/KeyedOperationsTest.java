package bramblespool.model;

import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Orders of events in which a key ran twice, or a repeat was refused, as schedules of the model. */
class KeyedOperationsTest {
    private static final int REFUSED = KeyedClients.ServerOutcome.REFUSED.ordinal();
    private static final int ANSWERED = KeyedClients.ServerOutcome.ANSWERED.ordinal();
    private static final int KEYS = 30;

    /** The same steps for each of some keys; {@code %k} stands for the key's argument with an outcome. */
    private static Schedule schedule(String faults, long spreadMs, String... tries) {
        StringBuilder text = new StringBuilder("7 3 4 1");
        for (int key = 0; key < KEYS; key++) {
            for (String step : tries) {
                String[] fields = step.split(" ");
                long atMs = Long.parseLong(fields[0]) + spreadMs * key / KEYS;
                int argument = key * KeyedClients.ServerOutcome.values().length + Integer.parseInt(fields[2]);
                text.append('\n').append(atMs + " TRY " + fields[1] + " 0 " + argument);
            }
        }
        return Schedule.parse(text + "\n" + faults);
    }

    /** Guards against a second run 49 s after the first (TWICE): the first run was by a reservation 30 s old. */
    @Test
    void reservationIsNotUsedLate() {
        assertNull(ScheduleRunner.runSchedule(
                schedule("5000 READ ? 0 0", 1000, "5000 0 " + REFUSED, "35000 0 " + ANSWERED, "84000 1 " + ANSWERED)));
    }

    /**
     * Guards against a second run 2 s after the first (TWICE): a restarted voter kept an old copy of the reservation
     * for longer than the others, and its number was above that of the next one.
     */
    @ParameterizedTest
    @CsvSource({"1,2", "1,3", "2,1", "2,3", "3,1", "3,2"})
    void copyOfAFormerReservationIsNotTakenForTheNewestAfterRestarts(int firstKilled, int secondKilled) {
        assertNull(ScheduleRunner.runSchedule(schedule(
                "43000 KILL " + firstKilled + " 3000 0\n88500 KILL " + secondKilled + " 3000 0",
                400,
                "5000 0 " + REFUSED,
                "8000 1 " + ANSWERED,
                "87000 2 " + ANSWERED,
                "89500 3 " + ANSWERED)));
    }

    /**
     * Guards against a second run (TWICE) after the voters have changed: the new preferred proposer, which had missed
     * the reservation, reserved the key without a prepare phase at itself only, and took that for the newest.
     */
    @Test
    void reservationUnderFormerVotersIsNotReplacedByAnUnpreparedOne() {
        assertNull(ScheduleRunner.runSchedule(Schedule.parse("""
                1913 5 2 1
                5292 WEFT_KILLED - 1863 1
                5645 TRY 0 0 7
                6530 ALL_KILLED 4 1894 0
                8347 TRY 3 0 37
                15984 KILL 1 1569 0
                17348 TRY 0 0 37""")));
    }

    /** Guards against 409 for answered keys (DENIED) once the proxy that answered was restarted. */
    @Test
    void answerOutlivesItsProxy() {
        assertNull(ScheduleRunner.runSchedule(schedule(
                "12000 WEFT_KILLED - 1000 0\n15000 WEFT_KILLED - 500 1",
                1000,
                "5000 0 " + ANSWERED,
                "6000 1 " + ANSWERED,
                "20000 2 " + ANSWERED,
                "50000 0 " + ANSWERED)));
    }

    /** Guards against 409 for answered keys (DENIED) after all processes were killed, or lost power, at once. */
    @ParameterizedTest
    @ValueSource(strings = {"ALL_KILLED", "ALL_POWER", "CLOSING"})
    void answersSurviveTheLossOfAllProcesses(String kind) {
        String sidecars = "12000 WEFT_KILLED - 1000 0\n12000 WEFT_KILLED - 1000 1\n12000 WEFT_KILLED - 1000 2\n"
                + "12000 WEFT_KILLED - 1000 3\n";
        assertNull(ScheduleRunner.runSchedule(schedule(
                sidecars + "12000 " + kind + " - 1000 1",
                1000,
                "5000 0 " + ANSWERED,
                "6000 1 " + ANSWERED,
                "25000 2 " + ANSWERED,
                "50000 0 " + ANSWERED)));
    }

    /**
     * Guards against 502 for answered keys: the proxy that executed the operation ends before anybody has a copy, and
     * another one, which has given the answer as well, is in touch.
     */
    @Test
    void answerGivenByAnotherProxyOutlivesTheOneThatExecuted() {
        assertNull(ScheduleRunner.runSchedule(schedule(
                "5240 WEFT_KILLED - 1000 0", 40, "5000 0 " + ANSWERED, "5140 1 " + ANSWERED, "12000 2 " + ANSWERED)));
    }

    /** Two tries of an answered key at one proxy at the same time get the answer, not 409 for each other. */
    @Test
    void repeatThatFindsAnotherOneUnderWayWaitsForItsOutcome() {
        assertNull(ScheduleRunner.runSchedule(Schedule.parse("""
                702 3 2 1
                4076 TRY 2 0 22
                25400 TRY 3 0 22
                25401 TRY 3 0 22""")));
    }

    /** Guards against 502 for answered keys once their proxy and then, in turn, both disks with copies were lost. */
    @Test
    void answerSurvivesTheLossOfItsDisksInTurn() {
        assertNull(ScheduleRunner.runSchedule(Schedule.parse("""
                1827 3 1 1
                4071 TRY 3 0 19
                6494 WEFT_KILLED - 1607 3
                6651 WIPE 1 100 0
                10795 WIPE 2 100 0
                19922 TRY 1 0 19""")));
    }
}
