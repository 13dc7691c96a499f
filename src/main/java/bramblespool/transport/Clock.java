package bramblespool.transport;

/**
 * The monotonic clock, timers and random numbers of an event loop. All protocol logic runs on the one thread behind it;
 * tests replace it by a simulated one. To be called on the event loop only.
 */
public interface Clock {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; without effect after it has run. */
        void cancel();
    }

    /** Monotonic time in milliseconds from an arbitrary origin. */
    long nowMs();

    /** This machine's time of day in milliseconds since 1970, which may be wrong and may jump. */
    long wallTimeMs();

    /** Runs a task on the event loop after the delay; at its next turn where the delay is 0 or less. */
    Timer schedule(long delayMs, Runnable task);

    /** A random number, at least 0 and below 1. */
    double random();

    /** Runs a task at the event loop's next turn. */
    default void execute(Runnable task) {
        schedule(0, task);
    }

    /** Runs a task periodically, first after one interval, until the event loop ends. */
    default void scheduleRepeatedly(long intervalMs, Runnable task) {
        schedule(intervalMs, () -> {
            task.run();
            scheduleRepeatedly(intervalMs, task);
        });
    }
}
