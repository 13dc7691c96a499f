package bramblespool.role;

import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.transport.Loop;
import java.io.IOException;

/** The data plane's process at the edge: outside clients come to it, and it is steward of some of the zone's servers. */
public final class Hem extends Side {
    public Hem(Settings s, Loop loop, EventLog log) throws IOException {
        super(s, null, loop, log);
        begin();
    }
}
