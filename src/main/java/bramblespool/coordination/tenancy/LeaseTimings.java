package bramblespool.coordination.tenancy;

/**
 * The times that leases on shards go by.
 *
 * @param leaseMs how long a voter's grant lasts, counted from when it was given
 * @param renewalMs the interval at which a holder asks for its lease again
 * @param refreshMs the interval at which an owner writes its shards' registers anew, well within their retention time
 */
public record LeaseTimings(long leaseMs, long renewalMs, long refreshMs) {
    /** Ratios to the quiet period, the time after which a member counts as silent. */
    private static final int LEASE_DIVISOR = 7;

    private static final int RENEWAL_DIVISOR = 24;
    /** Ratio to the retention time of registers. */
    private static final int REFRESH_DIVISOR = 4;
    /** A holder counts its lease for this part of it only: clocks run alike, but not quite. */
    private static final double HOLDER_LEASE_FRACTION = 0.9;
    /**
     * A barred controller is granted nothing for so many leases: as long as what it asked for before may still arrive.
     */
    private static final int BARRED_LEASES = 2;
    /** A lease is renewed for so many leases after a token was last asked for. */
    private static final int REQUESTED_LEASES = 20;

    /** The times for a quiet period, after which a member counts as silent, and a retention time of registers. */
    public static LeaseTimings of(long quietPeriodMs, long registerRetentionMs) {
        return new LeaseTimings(
                quietPeriodMs / LEASE_DIVISOR, quietPeriodMs / RENEWAL_DIVISOR, registerRetentionMs / REFRESH_DIVISOR);
    }

    /** How long a holder may act after it asked a majority for its lease. */
    double holderLeaseMs() {
        return leaseMs * HOLDER_LEASE_FRACTION;
    }

    long barredMs() {
        return leaseMs * BARRED_LEASES;
    }

    long requestedMs() {
        return leaseMs * REQUESTED_LEASES;
    }
}
