package bramblespool.coordination;

import bramblespool.coordination.tenancy.AdmissionClient;
import java.util.stream.IntStream;

/** Names of tenants that are counted together, for tests. */
public final class Neighbour {
    private Neighbour() {}

    /** Another tenant in the slice of that one: whoever owns the one's bucket owns the other's. */
    public static String of(String tenant) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "near" + i)
                .filter(t -> AdmissionClient.shardOf(t).equals(AdmissionClient.shardOf(tenant)))
                .findFirst()
                .orElseThrow();
    }
}
