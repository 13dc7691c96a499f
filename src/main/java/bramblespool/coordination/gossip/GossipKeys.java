package bramblespool.coordination.gossip;

/**
 * Keys of the entries in the {@link GossipStore}. They are sent between processes and so keep the strings of earlier
 * versions. A prefix is followed by the name of what the entry describes.
 */
public final class GossipKeys {
    /** Followed by a node's name: a sidecar's or gateway's own record. */
    public static final String PROXY_KEY_PREFIX = "weft/";
    /** Followed by a node's name: the session of that sidecar or gateway. */
    public static final String SESSION_KEY_PREFIX = "session/";
    /** Followed by a node's name: a controller's own record. */
    public static final String CONTROLLER_KEY_PREFIX = "helm/";
    /** Followed by a zone's name: whether the zone is evacuated. */
    public static final String EVACUATION_KEY_PREFIX = "evac/";
    /** Up to which window usage has been reported to the platform. */
    public static final String REPORTED_USAGE_KEY = "usage/reported";
    /** The newest version of the routing configuration and its phase. */
    public static final String CONFIGURATION_KEY = "order";

    private GossipKeys() {}
}
