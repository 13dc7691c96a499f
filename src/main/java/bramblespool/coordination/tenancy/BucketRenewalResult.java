package bramblespool.coordination.tenancy;

import java.util.Map;
import java.util.Set;

/**
 * The answer to a {@link BucketRenewal}.
 *
 * @param renewedGroups the groups whose leases last for another term from when the answer was given
 * @param shardOwners for groups of shards that another controller owns, that one's peer address, as far as it is known
 */
public record BucketRenewalResult(Set<String> renewedGroups, Map<String, String> shardOwners) {}
