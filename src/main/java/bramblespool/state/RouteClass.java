package bramblespool.state;

/** How often a route's requests may be executed. The names in lower case are the values in the configuration. */
public enum RouteClass {
    /** Any number of times. */
    IDEMPOTENT,
    /** At most once for each attempt of the client. */
    MUTATING,
    /** At most once for each idempotency key. */
    KEYED
}
