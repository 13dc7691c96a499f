package bramblespool.proxy;

import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.HeaderNames;
import bramblespool.state.Metrics;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;
import io.undertow.util.HeaderMap;

/**
 * Forwards requests to the proxies of other machines, each in one attempt. Holds what all attempts share. Confined to
 * the event loop.
 */
public final class PeerForwarder {
    /** Gets observations about other proxies. */
    public interface ProxyObserver {
        /** A request to the proxy has been waiting, and nothing else was received from it. */
        void onProxySilent(EndpointDirectory.Proxy proxy);

        /** A proxy rejected a request because of its version mark or route. */
        void onVersionMismatch();
    }

    /**
     * Who forwards.
     *
     * @param node this proxy's name
     * @param service the service of this machine's server; empty in a gateway
     */
    public record Sender(String node, String service) {}

    final Clock clock;
    final EndpointDirectory endpointDirectory;
    final UpstreamClient upstream;
    final UpstreamClient.ConnectionOptions connectionOptions;
    final ProxyObserver proxyObserver;
    final Metrics metrics;
    private final Sender sender;

    /** {@code connectionOptions}: for requests to other proxies. */
    public PeerForwarder(
            Clock clock,
            EndpointDirectory endpointDirectory,
            UpstreamClient upstream,
            UpstreamClient.ConnectionOptions connectionOptions,
            Sender sender,
            ProxyObserver proxyObserver,
            Metrics metrics) {
        this.clock = clock;
        this.endpointDirectory = endpointDirectory;
        this.upstream = upstream;
        this.connectionOptions = connectionOptions;
        this.sender = sender;
        this.proxyObserver = proxyObserver;
        this.metrics = metrics;
    }

    Sender sender() {
        return sender;
    }

    /** The headers of a request as another proxy gets it. */
    HeaderMap outgoingHeaders(ForwardedRequest request, String service, String versionMark) {
        HeaderMap headers = new HeaderMap();
        HeaderNames.copyEndToEnd(request.headers(), headers);
        headers.put(HeaderNames.DEADLINE, Math.max(1, request.deadlineMs() - clock.nowMs()));
        headers.put(HeaderNames.TARGET_SERVICE, service);
        if (!sender.service().isEmpty()) {
            headers.put(HeaderNames.CALLER_SERVICE, sender.service());
        }
        headers.put(HeaderNames.VERSION_MARK, versionMark);
        headers.put(HeaderNames.SENDER_NODE, sender.node());
        return headers;
    }
}
