package bramblespool.coordination.tenancy;

import java.util.stream.IntStream;

/** Names of tenants that are counted together, for tests. */
public final class TenantsOfOneShard {
    private TenantsOfOneShard() {}

    /** Another tenant in the shard of that one: whoever owns the one's bucket owns the other's. */
    public static String sharingShardWith(String tenant) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "near" + i)
                .filter(t -> AdmissionClient.shardOf(t).equals(AdmissionClient.shardOf(tenant)))
                .findFirst()
                .orElseThrow();
    }
}
