package bramblespool.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Many schedules, in {@code mvn -Pmodel test}; from {@code -Dmodel.from}, as many as {@code -Dmodel.count} says. */
class ModelSearch {
    @Test
    void noScheduleViolatesAnInvariant() throws InterruptedException {
        List<ViolationSearch.FoundViolation> found = ViolationSearch.search(
                Long.getLong("model.from", 1),
                Integer.getInteger("model.count", 20_000),
                Integer.getInteger("model.threads", 4),
                Integer.MAX_VALUE,
                null,
                null);
        if (!found.isEmpty()) {
            ViolationSearch.FoundViolation first = found.get(0);
            Schedule shrunk =
                    ScheduleShrinker.shrink(ScheduleGenerator.schedule(first.seed()), first.violation().invariant);
            assertEquals(
                    List.of(),
                    found.stream()
                            .map(x -> x.seed() + " " + x.violation().getMessage())
                            .toList(),
                    shrunk::toString);
        }
    }
}
