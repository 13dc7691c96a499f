package bramblespool.transport;

/** The steady clock and the event loop's timers. All protocol logic runs on the one thread behind it. */
public interface Clock {
    interface Timer {
        void cancel();
    }

    long nowMs();

    /** The time of day as this machine has it, which may be wrong and may jump. */
    long wallTimeMs();

    Timer schedule(long delayMs, Runnable task);

    /** A number between 0 and 1 from this process's own source of chance. */
    double random();

    default void execute(Runnable task) {
        schedule(0, task);
    }

    /** Runs a task again and again until the loop ends. */
    default void scheduleRepeatedly(long intervalMs, Runnable task) {
        schedule(intervalMs, () -> {
            task.run();
            scheduleRepeatedly(intervalMs, task);
        });
    }
}
