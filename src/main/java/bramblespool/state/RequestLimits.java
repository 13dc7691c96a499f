package bramblespool.state;

/**
 * Limits for what clients send.
 *
 * @param headerBytes largest request header
 * @param bodyBytes largest request body
 * @param headerReadTimeoutMs time for a client to send its header
 * @param idleTimeoutMs how long a connection may stay idle
 */
public record RequestLimits(long headerBytes, long bodyBytes, long headerReadTimeoutMs, long idleTimeoutMs) {
    /** The limits of a configuration that sets none. */
    public static final RequestLimits DEFAULT = new RequestLimits(16384, 64L << 20, 5000, 15000);
}
