package bramblespool.state;

import java.util.List;

/**
 * One route of a {@link RoutingConfiguration}.
 *
 * @param name unique name
 * @param authority host that the route is for
 * @param prefix path prefix on the exact bytes of the path; begins and ends with a slash
 * @param routeClass how often a request may be executed
 * @param deadlineMs time for a whole request with all its attempts, 0 where none is set
 * @param latencyTargetMs aim for the latency of a request, 0 where none is set
 * @param priority from 0 to {@link RoutingConfiguration#PRIORITY_LEVELS} - 1
 * @param weightedTargets services that the requests go to
 * @param maxAttempts attempts for each request, at least 1
 * @param isPublic whether the route may be used without a tenant's key
 */
public record Route(
        String name,
        String authority,
        String prefix,
        RouteClass routeClass,
        long deadlineMs,
        long latencyTargetMs,
        int priority,
        List<WeightedTarget> weightedTargets,
        int maxAttempts,
        boolean isPublic) {

    /** Whether a request may be executed any number of times. */
    public boolean isIdempotent() {
        return routeClass == RouteClass.IDEMPOTENT;
    }

    /** Whether requests bear an idempotency key. */
    public boolean isKeyed() {
        return routeClass == RouteClass.KEYED;
    }

    /** Whether the service gets any of the requests. */
    public boolean routesTo(String service) {
        for (WeightedTarget weightedTarget : weightedTargets) {
            if (weightedTarget.service().equals(service) && weightedTarget.weight() > 0) {
                return true;
            }
        }
        return false;
    }
}
