package bramblespool.process;

import bramblespool.state.Settings;

/** The life cycle of a running role. Confined to the event loop. */
public interface ManagedProcess {
    /** Takes reloaded settings. */
    void updateSettings(Settings newSettings);

    /** Serves the process's counters at this address, where it is free. */
    void exposeMetrics(String address);

    /** Shuts down gracefully within the given time, then runs {@code onStopped} once. */
    void stop(long graceMs, Runnable onStopped);
}
