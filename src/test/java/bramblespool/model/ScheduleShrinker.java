package bramblespool.model;

import java.util.ArrayList;
import java.util.List;

/** Makes a schedule that breaks an invariant as short as it can while it still breaks the same one. */
final class ScheduleShrinker {
    private static final int MAX_RUNS = 1500;
    private final String invariant;
    private int runCount;

    private ScheduleShrinker(String invariant) {
        this.invariant = invariant;
    }

    static Schedule shrink(Schedule schedule, String invariant) {
        ScheduleShrinker shrinker = new ScheduleShrinker(invariant);
        Schedule best = schedule;
        for (boolean hasImproved = true; hasImproved && shrinker.runCount < MAX_RUNS; ) {
            Schedule before = best;
            best = shrinker.removeSteps(best);
            best = shrinker.shortenSteps(best);
            hasImproved = !best.equals(before);
        }
        return best;
    }

    private boolean stillViolates(Schedule schedule) {
        if (runCount++ >= MAX_RUNS || !schedule.isWithinBudget()) {
            return false;
        }
        InvariantViolation violation = ScheduleRunner.runSchedule(schedule);
        return violation != null && violation.invariant.equals(invariant);
    }

    private Schedule removeSteps(Schedule schedule) {
        Schedule best = schedule;
        for (int chunkSize = Math.max(1, schedule.steps().size() / 2); chunkSize >= 1; chunkSize /= 2) {
            for (int start = 0; start < best.steps().size(); ) {
                List<ScheduleStep> remaining = new ArrayList<>(best.steps());
                remaining
                        .subList(start, Math.min(remaining.size(), start + chunkSize))
                        .clear();
                Schedule candidate = best.with(remaining);
                if (stillViolates(candidate)) {
                    best = candidate;
                } else {
                    start += chunkSize;
                }
            }
        }
        for (int sidecars = 0; sidecars < best.sidecars(); sidecars++) {
            Schedule candidate = new Schedule(
                    best.seed(),
                    best.controllers(),
                    sidecars,
                    best.toleratedLosses(),
                    best.isBeyondBudget(),
                    best.steps());
            if ((sidecars > 0
                            || candidate.steps().stream()
                                    .noneMatch(x -> x.kind().name().startsWith("WEFT")))
                    && stillViolates(candidate)) {
                best = candidate;
            }
        }
        for (int controllers = 3; controllers < best.controllers(); controllers++) {
            Schedule candidate = new Schedule(
                    best.seed(),
                    controllers,
                    best.sidecars(),
                    best.toleratedLosses(),
                    best.isBeyondBudget(),
                    best.steps());
            if (controllers > 2 * best.toleratedLosses() && stillViolates(candidate)) {
                best = candidate;
            }
        }
        return best;
    }

    private Schedule shortenSteps(Schedule schedule) {
        Schedule best = schedule;
        for (int i = 0; i < best.steps().size(); i++) {
            ScheduleStep step = best.steps().get(i);
            long halfDurationMs = Math.max(100, step.durationMs() / 2);
            if (step.isFault() && halfDurationMs < step.durationMs()) {
                best = replaceIfStillViolating(best, i, step.with(step.atMs(), halfDurationMs));
            }
            long earlierMs = (step.atMs() + Schedule.CATCH_UP_MS) / 2;
            if (step.atMs() > Schedule.CATCH_UP_MS && step.atMs() - earlierMs > 50) {
                best = replaceIfStillViolating(best, i, step.with(earlierMs, step.durationMs()));
            }
        }
        return best;
    }

    private Schedule replaceIfStillViolating(Schedule schedule, int index, ScheduleStep replacement) {
        List<ScheduleStep> steps = new ArrayList<>(schedule.steps());
        steps.set(index, replacement);
        Schedule candidate = schedule.with(steps);
        return stillViolates(candidate) ? candidate : schedule;
    }
}
