package bramblespool.role;

import bramblespool.state.Settings;

/** What a running role is told from outside; always on the loop. */
public interface Daemon {
    void settings(Settings fresh);

    /** Ends in order within the given time. */
    void stop(long graceMs, Runnable stopped);
}
