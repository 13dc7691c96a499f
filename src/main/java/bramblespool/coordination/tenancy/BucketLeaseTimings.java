package bramblespool.coordination.tenancy;

/**
 * The times that leases of token buckets go by. A lease is long, so that holders outlast a restart of all controllers.
 * The longer ago its last renewal is, the less of the rate a holder grants, and the more the owner may grant beside it:
 * first all and nothing, then half and half, then a tenth and the rest.
 *
 * @param leaseMs for how long an owner lends buckets to nobody else, from when it lent them
 * @param renewalMs the interval at which a holder asks for its leases again
 * @param retryMs how soon it asks another controller after one that did not renew them
 * @param callTimeoutMs how long it waits for the answer
 */
public record BucketLeaseTimings(long leaseMs, long renewalMs, long retryMs, long callTimeoutMs) {
    /** Ratio to the quiet period, the time after which a member counts as silent. */
    private static final int LEASE_FACTOR = 2;
    /** Ratios to the length of a lease: until when the holder has the whole rate, and until when half of it. */
    private static final double FULL_RATE_FRACTION = 0.2;

    private static final double HALF_RATE_FRACTION = 0.3;
    private static final double RENEWAL_FRACTION = 0.075;
    /** The shares of the rate that a holder has after that. */
    private static final double SECOND_SHARE = 0.5;

    private static final double THIRD_SHARE = 0.1;
    /** Ratios to the quiet period. */
    private static final int RETRY_DIVISOR = 20;

    private static final int CALL_TIMEOUT_DIVISOR = 16;
    /**
     * A holder counts its rights for this part of them, from when it asked. The rest is longer than a call's time-out:
     * a renewal that was asked for in time is answered before anybody else can get the buckets, or grant from them.
     */
    private static final double HOLDER_FRACTION = 0.8;

    /** The times for a quiet period, after which a member counts as silent. */
    public static BucketLeaseTimings of(long quietPeriodMs) {
        long leaseMs = quietPeriodMs * LEASE_FACTOR;
        return new BucketLeaseTimings(
                leaseMs,
                (long) (leaseMs * RENEWAL_FRACTION),
                quietPeriodMs / RETRY_DIVISOR,
                quietPeriodMs / CALL_TIMEOUT_DIVISOR);
    }

    /** How long a holder may grant tokens after it asked for a lease of this length. */
    static long holderLeaseMs(long leaseMs) {
        return (long) (leaseMs * HOLDER_FRACTION);
    }

    /** The part of the rate that a holder grants so long after it asked for its last renewal. */
    static double holderShare(long ageMs, long leaseMs) {
        double ownersAgeMs = ageMs / HOLDER_FRACTION;
        if (ownersAgeMs < leaseMs * FULL_RATE_FRACTION) {
            return 1;
        }
        return ownersAgeMs < leaseMs * HALF_RATE_FRACTION ? SECOND_SHARE : THIRD_SHARE;
    }

    /**
     * The time at the whole rate that comes to what an owner may grant beside a holder between two times, both counted
     * from when it answered the holder's last renewal.
     */
    static double ownerShareMs(long fromAgeMs, long toAgeMs, long leaseMs) {
        double halfFromMs = leaseMs * FULL_RATE_FRACTION;
        double mostFromMs = leaseMs * HALF_RATE_FRACTION;
        return (1 - SECOND_SHARE) * overlapMs(fromAgeMs, toAgeMs, halfFromMs, mostFromMs)
                + (1 - THIRD_SHARE) * overlapMs(fromAgeMs, toAgeMs, mostFromMs, Double.MAX_VALUE);
    }

    private static double overlapMs(double from, double to, double start, double end) {
        return Math.max(0, Math.min(to, end) - Math.max(from, start));
    }

    /** How long after its start a proxy takes no buckets. */
    long startDelayMs() {
        return (long) (leaseMs * FULL_RATE_FRACTION);
    }
}
