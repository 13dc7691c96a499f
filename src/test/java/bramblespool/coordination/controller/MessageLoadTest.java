package bramblespool.coordination.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import org.junit.jupiter.api.Test;

class MessageLoadTest {
    private final FakeClock clock = new FakeClock();
    private final MessageLoad load = new MessageLoad(clock);

    private void serve(String kind, int count) {
        for (int i = 0; i < count; i++) {
            load.measure(kind, () -> {});
        }
    }

    @Test
    void describesTheLastWholePeriodByKind() {
        serve("admit", 3);
        serve("vote", 1);
        assertEquals("", load.describe(), "the first period is under way");
        clock.advance(1000);
        assertTrue(load.describe().matches("admit:3/\\d+,vote:1/\\d+|vote:1/\\d+,admit:3/\\d+"), load.describe());
        serve("vote", 2);
        clock.advance(1000);
        assertTrue(load.describe().matches("vote:2/\\d+"), load.describe());
    }
}
