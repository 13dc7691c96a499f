package bramblespool.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Many schedules, in {@code mvn -Pmodel test}; from {@code -Dmodel.from}, as many as {@code -Dmodel.count} says. */
class ModelHunt {
    @Test
    void nothingBreaks() throws InterruptedException {
        List<Hunt.Found> found = Hunt.hunt(
                Long.getLong("model.from", 1),
                Integer.getInteger("model.count", 20_000),
                Integer.getInteger("model.threads", 4),
                Integer.MAX_VALUE,
                null,
                null);
        if (!found.isEmpty()) {
            Hunt.Found f = found.get(0);
            Schedule small = Shrink.shrink(Draw.schedule(f.seed()), f.broken().invariant);
            assertEquals(
                    List.of(),
                    found.stream()
                            .map(x -> x.seed() + " " + x.broken().getMessage())
                            .toList(),
                    small::toString);
        }
    }
}
