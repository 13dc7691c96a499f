package bramblespool.coordination.register;

/**
 * The times that the registers go by.
 *
 * @param batchDelayMs how long requests to one acceptor are gathered for one message
 * @param callTimeoutMs how long an acceptor's answer is awaited
 * @param retentionMs how long a value is held from its acceptance, and a promise from when it was given
 */
public record RegisterTimings(long batchDelayMs, long callTimeoutMs, long retentionMs) {
    /** A write is gathered for half as long as a message: it comes on top of the message in most rounds. */
    private static final int WRITE_DELAY_DIVISOR = 2;
    /** A page of registers is awaited for so many times as long as an acceptor's answer. */
    private static final int PAGE_TIMEOUT_FACTOR = 4;
    /** Part of the retention time after which a value no longer matters to anybody. */
    private static final int FORMER_USE_NUMERATOR = 13;

    private static final int FORMER_USE_DENOMINATOR = 15;
    /** The durable store removes registers by parts of the retention time. */
    private static final int RETENTION_PARTS = 4;
    /** Memory is looked through so many times in each part. */
    private static final int EXPIRY_CHECKS_PER_PART = 16;

    /**
     * What was proposed so long before another value belongs to a former use of its register: short of the retention
     * time by what clocks may differ and a proposal may take.
     */
    long formerUseMs() {
        return formerUseMs(retentionMs);
    }

    /** Same as {@link #formerUseMs()}, for a retention time. */
    public static long formerUseMs(long retentionMs) {
        return retentionMs * FORMER_USE_NUMERATOR / FORMER_USE_DENOMINATOR;
    }

    long writeDelayMs() {
        return batchDelayMs / WRITE_DELAY_DIVISOR;
    }

    long pageTimeoutMs() {
        return callTimeoutMs * PAGE_TIMEOUT_FACTOR;
    }

    /** The interval between two calls to the durable store's expiry. */
    long storeExpiryIntervalMs() {
        return retentionMs / RETENTION_PARTS;
    }

    /** How many of those intervals the durable store keeps a register for: one more, as the first one is under way. */
    int storeExpiryIntervalsRetained() {
        return RETENTION_PARTS + 1;
    }

    long memoryExpiryIntervalMs() {
        return retentionMs / (RETENTION_PARTS * EXPIRY_CHECKS_PER_PART);
    }
}
