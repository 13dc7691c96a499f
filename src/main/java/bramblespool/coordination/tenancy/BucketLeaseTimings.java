package bramblespool.coordination.tenancy;

/**
 * The times that leases of token buckets go by.
 *
 * @param leaseMs for how long an owner lends buckets to nobody else, from when it lent them
 * @param renewalMs the interval at which a holder asks for its leases again
 * @param retryMs how soon it asks another controller after one that did not renew them
 * @param callTimeoutMs how long it waits for the answer
 */
public record BucketLeaseTimings(long leaseMs, long renewalMs, long retryMs, long callTimeoutMs) {
    /**
     * Ratio to the quiet period: longer than a shard takes to get another owner, so that holders outlast that, and no
     * longer than needed, for so long nobody can replace a holder that was lost.
     */
    private static final double LEASE_FRACTION = 0.6;

    /** Ratio to the length of a lease. */
    private static final int RENEWAL_DIVISOR = 4;
    /** Ratios to the quiet period. */
    private static final int RETRY_DIVISOR = 20;

    private static final int CALL_TIMEOUT_DIVISOR = 16;
    /**
     * A holder counts its lease for this part of it, from when it asked. The rest is longer than a call's time-out: a
     * renewal that was asked for in time is answered before anybody else can get the buckets.
     */
    private static final double HOLDER_LEASE_FRACTION = 0.8;

    /** The times for a quiet period, after which a member counts as silent. */
    public static BucketLeaseTimings of(long quietPeriodMs) {
        long leaseMs = (long) (quietPeriodMs * LEASE_FRACTION);
        return new BucketLeaseTimings(
                leaseMs,
                leaseMs / RENEWAL_DIVISOR,
                quietPeriodMs / RETRY_DIVISOR,
                quietPeriodMs / CALL_TIMEOUT_DIVISOR);
    }

    /** How long a holder may grant tokens after it asked for a lease of this length. */
    static long holderLeaseMs(long leaseMs) {
        return (long) (leaseMs * HOLDER_LEASE_FRACTION);
    }
}
