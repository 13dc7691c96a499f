package bramblespool.testing;

import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A clock that stands still until the test lets time pass; tasks that are due run then, in their order. */
public final class FakeClock implements Clock {
    private record Task(long atMs, Runnable action) {}

    private final List<Task> tasks = new ArrayList<>();
    private long nowMs = 1000;

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
        return nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable action) {
        Task task = new Task(nowMs + delayMs, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Always one half. */
    @Override
    public double random() {
        return 0.5;
    }
}
