package bramblespool.coordination.tenancy;

/** How much of a tenant's rate the owner of its shard may grant beside the proxy that holds the bucket. */
public interface OwnerShare {
    /** The time at the whole rate, in milliseconds, that comes to what may be granted between two times. */
    double wholeRateMs(long fromMs, long toMs);
}
