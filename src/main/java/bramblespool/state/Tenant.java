package bramblespool.state;

/**
 * A caller of the mesh, known by its API keys.
 *
 * @param name unique name, printable ASCII without spaces
 * @param priority from 0 to {@link RoutingConfiguration#PRIORITY_LEVELS} - 1, or {@link #ROUTE_PRIORITY}
 * @param ratePerSecond rate limit in requests a second, 0 for none
 * @param burst requests that may come at once above the rate
 */
public record Tenant(String name, int priority, double ratePerSecond, double burst) {
    /** Priority of a tenant that has none of its own: the route's counts. */
    static final int ROUTE_PRIORITY = -1;

    /** Whether the tenant's priority counts in place of the route's. */
    public boolean hasOwnPriority() {
        return priority != ROUTE_PRIORITY;
    }
}
