package bramblespool.process;

import bramblespool.state.Settings;

/** What a running role is told from outside; always on the loop. */
public interface ManagedProcess {
    void updateSettings(Settings newSettings);

    /** Ends in order within the given time. */
    void stop(long graceMs, Runnable onStopped);
}
