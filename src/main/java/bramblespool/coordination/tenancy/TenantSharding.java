package bramblespool.coordination.tenancy;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.register.RegisterProposer;
import java.util.function.Predicate;

/**
 * How tenants are divided: into shards, each of which one controller owns, and each shard into groups, whose token
 * buckets one proxy may hold. All daemons have to agree, so the functions never change.
 */
public final class TenantSharding {
    /** Number of shards. */
    public static final int SHARD_COUNT = 16;
    /** Number of groups in a shard. */
    public static final int GROUPS_PER_SHARD = 4;

    private static final char GROUP_SEPARATOR = '/';
    private static final long SHARD_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long GROUP_MULTIPLIER = 0xC2B2AE3D27D4EB4FL;

    private TenantSharding() {}

    /** The name of a tenant's shard. */
    public static String shardOf(String tenant) {
        return RegisterProposer.SHARD_KEY_PREFIX + hash(tenant, SHARD_MULTIPLIER, SHARD_COUNT);
    }

    /** The name of a tenant's group, which begins with that of its shard. */
    public static String groupOf(String tenant) {
        return shardOf(tenant) + GROUP_SEPARATOR + hash(tenant, GROUP_MULTIPLIER, GROUPS_PER_SHARD);
    }

    /** The name of the shard that a group belongs to. */
    public static String shardOfGroup(String group) {
        return group.substring(0, group.lastIndexOf(GROUP_SEPARATOR));
    }

    /** Whether a tenant belongs to the group. */
    static Predicate<String> isInGroup(String group) {
        return tenant -> groupOf(tenant).equals(group);
    }

    private static long hash(String tenant, long multiplier, int buckets) {
        return Long.remainderUnsigned(RendezvousHash.mix(tenant.hashCode() * multiplier), buckets);
    }
}
