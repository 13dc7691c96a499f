package bramblespool.coordination.singleton;

/**
 * Keys of the singleton roles. They stand in the controllers' log and snapshots and in messages between controllers, so
 * they keep the strings of version 0.4.0.
 */
public final class SingletonRoleKeys {
    /** Reporting usage to the platform. */
    public static final String USAGE = "usage";
    /** Followed by a zone's name: reading that zone's registry. */
    public static final String REGISTRY_PREFIX = "list/";
    /** Followed by a service's name: leasing out that service's retry budget. */
    public static final String RETRY_BUDGET_PREFIX = "slack/";

    private SingletonRoleKeys() {}
}
