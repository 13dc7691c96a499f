package bramblespool.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What happens to one mesh, as a value; all else follows from the seed. {@code losses}: the fault budget's machines;
 * {@code beyond}: more machines than that may be lost while their disks are kept.
 */
record Schedule(
        long seed,
        int controllers,
        int sidecars,
        int toleratedLosses,
        boolean isBeyondBudget,
        List<ScheduleStep> steps) {
    /**
     * How long after its start a mesh or a machine owes everything, and how long the controllers get to become
     * stable.
     */
    static final long CATCH_UP_MS = 4000;

    static final long QUIET_MS = 3000;
    static final long ACKNOWLEDGEMENT_MS = 5000;
    static final long APPLICATION_MS = 2500;

    Schedule {
        steps = steps.stream()
                .sorted(Comparator.comparingLong(ScheduleStep::atMs))
                .toList();
    }

    Schedule with(List<ScheduleStep> newSteps) {
        return new Schedule(seed, controllers, sidecars, toleratedLosses, isBeyondBudget, newSteps);
    }

    long endMs() {
        long latestMs = CATCH_UP_MS;
        for (ScheduleStep step : steps) {
            latestMs = Math.max(latestMs, step.endMs());
        }
        return latestMs;
    }

    /** Whether no more is lost at one time than the budget allows. */
    boolean isWithinBudget() {
        for (ScheduleStep step : steps) {
            if (step.atMs() < CATCH_UP_MS && step.isFault()) {
                return false;
            }
            if (step.losses(controllers) > 0
                    && (!isBeyondBudget || step.losesDisk())
                    && machinesLostAt(step.atMs()) > toleratedLosses) {
                return false;
            }
        }
        return true;
    }

    /** A machine is lost until {@link #CATCH_UP_MS} after it is back, or its successor has started. */
    private int machinesLostAt(long atMs) {
        int lost = 0;
        Set<String> named = new HashSet<>();
        for (ScheduleStep step : steps) {
            int lostMachines = step.losses(controllers);
            if (lostMachines == 0 || step.atMs() > atMs || step.endMs() + CATCH_UP_MS <= atMs) {
                continue;
            }
            boolean isNumbered = lostMachines == 1
                    && Character.isDigit(step.target().charAt(0))
                    && step.kind() != ScheduleStep.Kind.REPLACE;
            if (!isNumbered || named.add(step.target())) {
                lost += lostMachines < 0 ? toleratedLosses : lostMachines;
            }
        }
        return lost;
    }

    /** Whether the core has been untroubled for so long before a moment and stays so for that long after it. */
    boolean isQuiet(long fromMs, long untilMs) {
        for (ScheduleStep step : steps) {
            if (step.isFault() && step.atMs() <= untilMs && step.endMs() + QUIET_MS > fromMs) {
                return false;
            }
        }
        return true;
    }

    /** As a test can take it. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder()
                .append(seed)
                .append(' ')
                .append(controllers)
                .append(' ')
                .append(sidecars)
                .append(' ')
                .append(toleratedLosses)
                .append(isBeyondBudget ? " beyond" : "");
        steps.forEach(s -> text.append('\n').append(s));
        return text.toString();
    }

    static Schedule parse(String text) {
        String[] lines = text.strip().split("\n");
        String[] header = lines[0].trim().split(" ");
        List<ScheduleStep> steps = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            steps.add(ScheduleStep.parse(lines[i]));
        }
        return new Schedule(
                Long.parseLong(header[0]),
                Integer.parseInt(header[1]),
                Integer.parseInt(header[2]),
                Integer.parseInt(header[3]),
                header.length > 4,
                steps);
    }
}
