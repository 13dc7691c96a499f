package bramblespool.state;

/**
 * A service that takes part of a route's requests.
 *
 * @param service name of the service
 * @param weight relative weight against the route's other targets, 0 or more
 */
public record WeightedTarget(String service, double weight) {}
