package bramblespool.coordination.controller;

import bramblespool.transport.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How many messages of each kind this controller has served, and how long that kept the event loop: in the last whole
 * period and in the one under way. What the network and HTTP cost is not in it. Confined to the event loop.
 */
final class MessageLoad {
    private static final long PERIOD_MS = 1000;
    /** So many kinds are described, those that took longest. */
    private static final int DESCRIBED_KINDS = 6;

    private static final long NANOS_PER_MS = 1_000_000;

    private static final class KindLoad {
        private long count;
        private long nanos;
    }

    private final Clock clock;
    private Map<String, KindLoad> currentPeriod = new HashMap<>();
    private Map<String, KindLoad> lastPeriod = new HashMap<>();
    private long periodStartMs;

    MessageLoad(Clock clock) {
        this.clock = clock;
        this.periodStartMs = clock.nowMs();
    }

    /** Serves a message and counts it. */
    void measure(String kind, Runnable serve) {
        long startNanos = System.nanoTime();
        serve.run();
        startPeriodIfDue();
        KindLoad load = currentPeriod.computeIfAbsent(kind, k -> new KindLoad());
        load.count++;
        load.nanos += System.nanoTime() - startNanos;
    }

    private void startPeriodIfDue() {
        if (clock.nowMs() - periodStartMs >= PERIOD_MS) {
            periodStartMs = clock.nowMs();
            lastPeriod = currentPeriod;
            currentPeriod = new HashMap<>();
        }
    }

    /** The kinds that took longest in the last whole period, as {@code kind:count/milliseconds}. */
    String describe() {
        startPeriodIfDue();
        return lastPeriod.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, KindLoad> entry) -> entry.getValue().nanos)
                        .reversed())
                .limit(DESCRIBED_KINDS)
                .map(entry ->
                        entry.getKey() + ":" + entry.getValue().count + "/" + entry.getValue().nanos / NANOS_PER_MS)
                .collect(Collectors.joining(","));
    }
}
