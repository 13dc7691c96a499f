package bramblespool.coordination.tenancy;

import java.util.List;

/**
 * A proxy asks a controller to renew its leases on token buckets; by the proxy's own clock they have not lapsed.
 *
 * @param holder the proxy and the run of its process
 * @param groups the groups of tenants whose buckets it holds
 */
public record BucketRenewal(String holder, List<String> groups) {}
