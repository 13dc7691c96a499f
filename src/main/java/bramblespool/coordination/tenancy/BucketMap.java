package bramblespool.coordination.tenancy;

import java.util.Map;

/**
 * Which proxies hold the buckets that one controller has lent.
 *
 * @param version changes with each change of the map; unique among the controllers and their lives
 * @param holders the holders' peer addresses, by group
 */
public record BucketMap(long version, Map<String, String> holders) {}
