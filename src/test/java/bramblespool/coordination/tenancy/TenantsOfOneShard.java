package bramblespool.coordination.tenancy;

import java.util.stream.IntStream;

/** Names of tenants in one shard, for tests. */
public final class TenantsOfOneShard {
    private TenantsOfOneShard() {}

    /** Another tenant in the same shard: both token buckets have the same owner. */
    public static String sharingShardWith(String tenant) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "near" + i)
                .filter(t -> TenantSharding.shardOf(t).equals(TenantSharding.shardOf(tenant)))
                .findFirst()
                .orElseThrow();
    }
}
