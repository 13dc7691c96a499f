package bramblespool.process;

import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.transport.EventLoop;
import java.io.IOException;

/** The data plane's process at the edge: outside clients come to it, and it is steward of some of the zone's servers. */
public final class GatewayProcess extends ProxyProcess {
    public GatewayProcess(Settings settings, EventLoop eventLoop, EventLog log) throws IOException {
        super(settings, null, eventLoop, log);
        startServing();
    }
}
