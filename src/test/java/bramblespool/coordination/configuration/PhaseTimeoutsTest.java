package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PhaseTimeoutsTest {
    @Test
    void timeoutsAreRatiosToTheRules() {
        assertEquals(new PhaseTimeouts(60, 240, 60), PhaseTimeouts.of(1000, 3000));
        assertEquals(new PhaseTimeouts(5, 7, 1), PhaseTimeouts.of(99, 99));
    }
}
