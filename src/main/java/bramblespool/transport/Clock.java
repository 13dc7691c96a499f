package bramblespool.transport;

/** The steady clock and the event loop's timers. All protocol logic runs on the one thread behind it. */
public interface Clock {
    interface Timer {
        void cancel();
    }

    long now();

    /** The time of day as this machine has it, which may be wrong and may jump. */
    long wall();

    Timer after(long ms, Runnable task);

    /** A number between 0 and 1 from this process's own source of chance. */
    double chance();

    default void soon(Runnable task) {
        after(0, task);
    }

    /** Runs a task again and again until the loop ends. */
    default void every(long ms, Runnable task) {
        after(ms, () -> {
            task.run();
            every(ms, task);
        });
    }
}
