package bramblespool.proxy;

import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.state.Metrics;
import bramblespool.transport.Clock;
import bramblespool.transport.UpstreamClient;

/**
 * Forwards requests through a server's admission to the server, each in one attempt. Holds what all attempts share.
 * Source: PROTOCOL-bramblespool.md, "Servers". Confined to the event loop.
 */
public final class ServerForwarder {
    /** Bodies up to this size are buffered, so that a response that breaks off can still be followed by a retry. */
    public static final int MAX_BUFFERED_BYTES = AdmissionClient.FINGERPRINT_BODY_BYTES;
    /** Fraction of the server's keep-alive time within which an idle connection is reused. */
    private static final double IDLE_REUSE_FRACTION = 0.5;

    private static final long MS_PER_SECOND = 1000;

    final Clock clock;
    final UpstreamClient upstream;
    /** Counts the executed requests of each tenant; null without usage reporting. */
    final UsageCounter usageCounter;

    final Metrics metrics;
    private final long connectTimeoutMs;
    /** How long an idle connection to a server is reused, from the last Keep-Alive header received. */
    private long idleReuseMs;

    /**
     * @param usageCounter counts the executed requests of each tenant; null without usage reporting
     * @param idleReuseMs how long an idle connection to a server is reused as long as no server has announced a time
     */
    public ServerForwarder(
            Clock clock,
            UpstreamClient upstream,
            UsageCounter usageCounter,
            Metrics metrics,
            long connectTimeoutMs,
            long idleReuseMs) {
        this.clock = clock;
        this.upstream = upstream;
        this.usageCounter = usageCounter;
        this.metrics = metrics;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleReuseMs = idleReuseMs;
    }

    /**
     * Forwards a request to the server of an admission; the listener is called once, possibly before this returns,
     * unless the request is cancelled before.
     */
    ServerAttempt forward(RouteResolution resolution, ForwardedRequest request, AttemptResult.Listener listener) {
        ServerAttempt attempt = new ServerAttempt(this, resolution.serverAdmission(), request, listener);
        attempt.start(resolution.route(), resolution.rank());
        return attempt;
    }

    UpstreamClient.ConnectionOptions connectionOptions() {
        return new UpstreamClient.ConnectionOptions(connectTimeoutMs, idleReuseMs, MAX_BUFFERED_BYTES);
    }

    /** A server has announced for how long it keeps idle connections; 0 or less: it has not. */
    void onKeepAlive(int keepAliveSeconds) {
        if (keepAliveSeconds > 0) {
            idleReuseMs = (long) (keepAliveSeconds * MS_PER_SECOND * IDLE_REUSE_FRACTION);
        }
    }
}
