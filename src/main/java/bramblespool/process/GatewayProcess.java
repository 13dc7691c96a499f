package bramblespool.process;

import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.transport.EventLoop;
import java.io.IOException;

/** The proxy for outside clients; some of the zone's servers are assigned to it. Confined to the event loop. */
public final class GatewayProcess extends ProxyProcess {
    /**
     * Opens the listeners and starts.
     *
     * @throws IOException where an address cannot be bound
     */
    public GatewayProcess(Settings settings, EventLoop eventLoop, EventLog log) throws IOException {
        super(settings, null, eventLoop, log);
        startServing();
    }
}
