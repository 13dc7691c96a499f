package bramblespool.state;

/**
 * One service of a {@link RoutingConfiguration}.
 *
 * @param name unique name
 * @param probePath path of the health check
 * @param maxConnections connections to one server that the configuration allows, 0 where it sets none; read and not
 *     enforced
 * @param slowStartMs how long a server that has just started is slow
 * @param slowStartRatePerSecond requests a second that a server can take at first
 * @param deduplicatesItself whether the service keeps its own record of idempotency keys
 */
public record Service(
        String name,
        String probePath,
        int maxConnections,
        long slowStartMs,
        double slowStartRatePerSecond,
        boolean deduplicatesItself) {}
