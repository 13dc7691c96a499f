package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import bramblespool.transport.Clock;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AdaptiveThrottleTest {
    private static final int CALLS = 400;

    private final FakeClock clock = new FakeClock();
    private final AdaptiveThrottle throttle = new AdaptiveThrottle(new RandomClock(clock, new Random(5)), 1000);

    /** The time of another clock, and random numbers of a seed. */
    private record RandomClock(FakeClock time, Random numbers) implements Clock {
        @Override
        public long nowMs() {
            return time.nowMs();
        }

        @Override
        public long wallTimeMs() {
            return time.wallTimeMs();
        }

        @Override
        public Timer schedule(long delayMs, Runnable task) {
            return time.schedule(delayMs, task);
        }

        @Override
        public double random() {
            return numbers.nextDouble();
        }
    }

    /** So many calls are wanted over two seconds, and each one that is made is answered by this chance in a hundred. */
    private long callsMade(int answeredInHundred) {
        return IntStream.range(0, CALLS)
                .filter(i -> {
                    clock.advance(5);
                    boolean isMade = throttle.admitCall();
                    if (isMade && i % 100 < answeredInHundred) {
                        throttle.onAnswered();
                    }
                    return isMade;
                })
                .count();
    }

    @Test
    void callsThatAreAnsweredAreAllMade() {
        assertEquals(CALLS, callsMade(100));
        assertTrue(throttle.mayRepeat());
    }

    /** Guards against SHORT: load that a failure makes keeps the failure going. */
    @Test
    void callsThatFailAreMostlyNotMade() {
        long made = callsMade(0);
        assertTrue(made < CALLS / 10, made + " of " + CALLS);
        assertFalse(throttle.mayRepeat());
    }

    @Test
    void callsAreMadeFreelyAgainOnceTheyAreAnswered() {
        callsMade(0);
        clock.advance(1000);
        callsMade(100);
        callsMade(100);
        assertEquals(CALLS, callsMade(100));
    }

    @Test
    void fewFailuresSayNothing() {
        for (int i = 0; i < 4; i++) {
            assertTrue(throttle.admitCall());
        }
        assertTrue(throttle.mayRepeat());
    }
}
