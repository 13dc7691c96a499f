package bramblespool.process;

import bramblespool.state.Settings;

/** The life cycle of a running role. Confined to the event loop. */
public interface ManagedProcess {
    /** Takes reloaded settings. */
    void updateSettings(Settings newSettings);

    /** Shuts down gracefully within the given time, then runs {@code onStopped} once. */
    void stop(long graceMs, Runnable onStopped);
}
