package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Grants the rate-limit tokens of the shards that are owned here: one token bucket for each tenant, at the shard's
 * owner. A proxy uses a token at once, so what is executed within a window was granted in that window, and the bucket
 * alone keeps the rule. A new owner, or a restarted one, does not know what was granted before and starts with an empty
 * bucket; by then its predecessor's lease has expired. Confined to the event loop.
 */
public final class TenantRateLimiter {
    /**
     * Fraction of the rule's allowance beyond the limit that the owner grants, so that the limit is reached in full.
     */
    private static final double OWNER_SHARE = 0.2;
    /** Fraction of that allowance that all voters together grant, one share each, while there is no owner. */
    private static final double FALLBACK_SHARE = 0.75;
    /** After a denial a proxy waits at least the window divided by this before it asks again for the tenant. */
    private static final int MIN_WAIT_DIVISOR = 100;
    /** It waits longer in proportion to the ratio of denials, by up to the window divided by this. */
    private static final int MAX_WAIT_DIVISOR = 8;
    /** Weight of one answer in the moving average of the ratio of denials. */
    private static final double DENIAL_SMOOTHING = 0.05;

    private static final class TokenBucket {
        private long ownershipTerm = -1;
        private long epoch = -1;
        private double ratePerS;
        private double burst;
        private double tokens;
        private long refilledAtMs;
        private long deniedCount;
        private double denialRatio;
    }

    private final Clock clock;
    private final long windowMs;
    private final double excessRatio;
    private final double burstAllowance;
    private final long startedAtMs;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, TokenBucket> fallbackBuckets = new HashMap<>();

    /**
     * @param windowMs the rule's window
     * @param excessRatio how far the rule allows the limit to be exceeded, as a ratio of it
     * @param burstAllowance tokens that the rule allows in a window besides
     */
    public TenantRateLimiter(Clock clock, long windowMs, double excessRatio, double burstAllowance) {
        this.clock = clock;
        this.windowMs = windowMs;
        this.excessRatio = excessRatio;
        this.burstAllowance = burstAllowance;
        this.startedAtMs = clock.nowMs();
    }

    /**
     * Takes a token for a tenant in this term of owning its shard. The limit is that of the newest version under which
     * a proxy has asked.
     *
     * @param isFirstOwner whether no owner granted tokens of the shard before this term
     * @return 0 where the token is granted, else after how many milliseconds to ask again
     */
    public long takeToken(
            String tenant, long ownershipTerm, boolean isFirstOwner, long epoch, double ratePerS, double burst) {
        long nowMs = clock.nowMs();
        TokenBucket bucket = buckets.computeIfAbsent(tenant, t -> new TokenBucket());
        if (epoch >= bucket.epoch) {
            bucket.epoch = epoch;
            bucket.ratePerS = ratePerS;
            bucket.burst = burst;
        }
        if (bucket.ownershipTerm != ownershipTerm) {
            bucket.ownershipTerm = ownershipTerm;
            bucket.tokens = isFirstOwner ? capacity(bucket) : 1;
            bucket.refilledAtMs = nowMs;
        }
        bucket.tokens = Math.min(
                capacity(bucket),
                bucket.tokens
                        + (nowMs - bucket.refilledAtMs) / 1000.0 * bucket.ratePerS * (1 + excessRatio * OWNER_SHARE));
        bucket.refilledAtMs = nowMs;
        boolean isGranted = bucket.tokens >= 1;
        bucket.denialRatio += DENIAL_SMOOTHING * ((isGranted ? 0 : 1) - bucket.denialRatio);
        if (isGranted) {
            bucket.tokens--;
            return 0;
        }
        bucket.deniedCount++;
        // The further a tenant is over its limit, the longer each proxy rejects its requests by itself: one tenant's
        // excess must not take up the owner.
        long waitMs = windowMs / MIN_WAIT_DIVISOR + (long) (bucket.denialRatio * windowMs / MAX_WAIT_DIVISOR);
        return (long) (waitMs * (0.75 + clock.random() / 2));
    }

    /**
     * Takes a token of this voter's share, where the shard has no owner to ask. The bucket holds half of the share and
     * gains half of it in a window, so no window has more than the share.
     *
     * @param shareCount the number of voters
     */
    public boolean takeFallbackToken(String tenant, int shareCount, double ratePerS, double burst) {
        long nowMs = clock.nowMs();
        double share =
                ((ratePerS * windowMs / 1000 + burst) * excessRatio + burstAllowance) * FALLBACK_SHARE / shareCount;
        TokenBucket bucket = fallbackBuckets.get(tenant);
        if (bucket == null) {
            bucket = new TokenBucket();
            // Empty: a new process does not know what an earlier one has spent.
            bucket.refilledAtMs = Math.max(startedAtMs, nowMs - windowMs);
            fallbackBuckets.put(tenant, bucket);
        }
        bucket.tokens =
                Math.min(share / 2, bucket.tokens + (double) (nowMs - bucket.refilledAtMs) / windowMs * share / 2);
        bucket.refilledAtMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    private double capacity(TokenBucket bucket) {
        return Math.max(1, bucket.burst + burstAllowance * OWNER_SHARE);
    }

    /** How many tokens were denied here, by tenant; tenants without a denial are left out. */
    public Map<String, Long> deniedCounts() {
        Map<String, Long> counts = new HashMap<>();
        buckets.forEach((tenant, bucket) -> {
            if (bucket.deniedCount > 0) {
                counts.put(tenant, bucket.deniedCount);
            }
        });
        return counts;
    }
}
