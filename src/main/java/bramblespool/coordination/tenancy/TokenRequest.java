package bramblespool.coordination.tenancy;

/**
 * Asks for a token of a tenant's rate limit.
 *
 * @param shard the shard that the tenant belongs to; its owner keeps the bucket, or has lent it to a proxy
 * @param epoch the version of the configuration that the limit is taken from
 * @param ratePerSecond tokens in a second
 * @param burst tokens that may be saved up
 * @param bucketQuery null where the asker knows nothing of lent buckets, or asks their holder
 */
public record TokenRequest(
        String shard, String tenant, long epoch, double ratePerSecond, double burst, BucketQuery bucketQuery) {
    /** A request without a {@link BucketQuery}. */
    public TokenRequest(String shard, String tenant, long epoch, double ratePerSecond, double burst) {
        this(shard, tenant, epoch, ratePerSecond, burst, null);
    }

    /** The group that the tenant belongs to. */
    public String group() {
        return TenantSharding.groupOf(tenant);
    }

    TokenRequest withBucketQuery(BucketQuery query) {
        return new TokenRequest(shard, tenant, epoch, ratePerSecond, burst, query);
    }
}
