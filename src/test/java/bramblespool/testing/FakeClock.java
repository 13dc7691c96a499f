package bramblespool.testing;

import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A clock that stands still until the test lets time pass; tasks that are due run then, in their order, and see the
 * time for which they were set.
 */
public final class FakeClock implements Clock {
    private record Task(long atMs, Runnable action) {}

    private final List<Task> tasks = new ArrayList<>();
    private final long wallOffsetMs;
    private final boolean isReadOnly;
    private long nowMs;

    /** A clock that begins at some time. */
    public FakeClock() {
        this(1000, 1000, false);
    }

    private FakeClock(long nowMs, long wallTimeMs, boolean isReadOnly) {
        this.nowMs = nowMs;
        wallOffsetMs = wallTimeMs - nowMs;
        this.isReadOnly = isReadOnly;
    }

    /** A clock at this time, by which the machine's time of day is set too. */
    public static FakeClock startingAt(long nowMs) {
        return new FakeClock(nowMs, nowMs, false);
    }

    /**
     * A clock at 0 with this time of day, for code that only reads the time: it refuses to set a timer or to draw a
     * random number.
     */
    public static FakeClock readOnly(long wallTimeMs) {
        return new FakeClock(0, wallTimeMs, true);
    }

    /** Lets time pass, and runs what is due until then. */
    public void advance(long durationMs) {
        long endMs = nowMs + durationMs;
        while (true) {
            Task next = tasks.stream()
                    .filter(task -> task.atMs <= endMs)
                    .min(Comparator.comparingLong(Task::atMs))
                    .orElse(null);
            if (next == null) {
                break;
            }
            tasks.remove(next);
            nowMs = next.atMs;
            next.action.run();
        }
        nowMs = endMs;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallTimeMs() {
        return wallOffsetMs + nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable action) {
        checkNotReadOnly();
        Task task = new Task(nowMs + delayMs, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Always one half. */
    @Override
    public double random() {
        checkNotReadOnly();
        return 0.5;
    }

    private void checkNotReadOnly() {
        if (isReadOnly) {
            throw new UnsupportedOperationException();
        }
    }
}
