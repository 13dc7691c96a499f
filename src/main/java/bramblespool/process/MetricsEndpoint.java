package bramblespool.process;

import bramblespool.state.Metrics;
import bramblespool.transport.Listeners;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;

/**
 * Serves a process's counters as text, at {@link #PATH}. Optional: a process runs on where its port is taken. Confined
 * to the event loop.
 */
final class MetricsEndpoint {
    /** The one path that is served. */
    static final String PATH = "/metrics";

    private final Metrics metrics;

    private MetricsEndpoint(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Listens at the address; a failure has been logged by the listeners and has no further effect. */
    static void open(Listeners listeners, String address, Metrics metrics) {
        try {
            listeners.listen(address, new MetricsEndpoint(metrics)::handleRequest, ProxyProcess.peerListenerOptions());
        } catch (IOException e) {
            return;
        }
    }

    private void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestURI().equals(PATH)) {
            exchange.setStatusCode(404);
        } else if (!exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.setStatusCode(405);
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
            exchange.getResponseSender().send(metrics.expose());
        }
    }
}
