package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Grants rate-limit tokens: one token bucket for each tenant, with the owner of its shard or with the proxy to which
 * the owner has lent it. A proxy uses a token at once, so what is executed within a window was granted in that window,
 * and the bucket alone keeps the rule. Who does not know what was granted before starts with an empty bucket; by then
 * the predecessor's lease has expired. Confined to the event loop.
 */
public final class TenantRateLimiter {
    /**
     * Fraction of the rule's allowance beyond the limit that the owner grants, so that the limit is reached in full.
     */
    private static final double OWNER_SHARE = 0.2;
    /** Fraction of that allowance that all voters together grant, one share each, while there is no owner. */
    private static final double VOTERS_FALLBACK_SHARE = 0.15;
    /** Fraction of that allowance that the shard's owner grants while it cannot know or reach the bucket's holder. */
    private static final double OWNER_FALLBACK_SHARE = 0.6;
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
        private double denialRatio;
    }

    private final Clock clock;
    private final long windowMs;
    private final double excessRatio;
    private final double burstAllowance;
    private final long startedAtMs;
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, TokenBucket> votersFallbackBuckets = new HashMap<>();
    private final Map<String, TokenBucket> ownersFallbackBuckets = new HashMap<>();
    private final Map<String, Long> deniedCounts = new HashMap<>();

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
     * @param rateShare the part of the rate that is granted here now
     * @return 0 where the token is granted, else after how many milliseconds to ask again
     */
    public long takeToken(
            String tenant,
            long ownershipTerm,
            boolean isFirstOwner,
            long epoch,
            double ratePerS,
            double burst,
            double rateShare) {
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
        refill(bucket, rateShare);
        boolean isGranted = bucket.tokens >= 1;
        bucket.denialRatio += DENIAL_SMOOTHING * ((isGranted ? 0 : 1) - bucket.denialRatio);
        if (isGranted) {
            bucket.tokens--;
            return 0;
        }
        deniedCounts.merge(tenant, 1L, Long::sum);
        // The further a tenant is over its limit, the longer each proxy rejects its requests by itself: one tenant's
        // excess must not take up the owner.
        long waitMs = windowMs / MIN_WAIT_DIVISOR + (long) (bucket.denialRatio * windowMs / MAX_WAIT_DIVISOR);
        return (long) (waitMs * (0.75 + clock.random() / 2));
    }

    private void refill(TokenBucket bucket, double rateShare) {
        long nowMs = clock.nowMs();
        double ratePerS = bucket.ratePerS * (1 + excessRatio * OWNER_SHARE) * rateShare;
        double gained = (nowMs - bucket.refilledAtMs) / 1000.0 * ratePerS;
        if (bucket.epoch < 0) {
            // Taken over, and not asked for yet: its limit is not known.
            bucket.refilledAtMs = nowMs;
            return;
        }
        bucket.tokens = Math.min(capacity(bucket), bucket.tokens + gained);
        bucket.refilledAtMs = nowMs;
    }

    /**
     * Gives up the buckets of some tenants, whose tokens are granted elsewhere from now on.
     *
     * @return what is left in those that were used in this term
     */
    Map<String, Double> removeBuckets(Predicate<String> isRemoved, long ownershipTerm, double rateShare) {
        Map<String, Double> tokens = new HashMap<>();
        buckets.entrySet().removeIf(entry -> {
            TokenBucket bucket = entry.getValue();
            if (!isRemoved.test(entry.getKey())) {
                return false;
            }
            if (bucket.ownershipTerm == ownershipTerm) {
                refill(bucket, rateShare);
                tokens.put(entry.getKey(), bucket.tokens);
            }
            return true;
        });
        return tokens;
    }

    /** Adds to some tenants' buckets what they have gained at this part of the rate, before another part counts. */
    void refillBuckets(Predicate<String> isRefilled, double rateShare) {
        buckets.forEach((tenant, bucket) -> {
            if (isRefilled.test(tenant)) {
                refill(bucket, rateShare);
            }
        });
    }

    /** Takes over what another one has left in buckets; from now on they are granted here, in this term. */
    void putBuckets(Map<String, Double> tokens, long ownershipTerm) {
        tokens.forEach((tenant, left) -> {
            TokenBucket bucket = new TokenBucket();
            bucket.ownershipTerm = ownershipTerm;
            bucket.tokens = left;
            bucket.refilledAtMs = clock.nowMs();
            buckets.put(tenant, bucket);
        });
    }

    /**
     * Takes a token of this voter's share, where the shard has no owner to ask.
     *
     * @param shareCount the number of voters
     */
    public boolean takeVoterFallbackToken(String tenant, int shareCount, double ratePerS, double burst) {
        double share = allowance(ratePerS, burst) * VOTERS_FALLBACK_SHARE / shareCount;
        // Empty: a new process does not know what an earlier one has spent.
        return takeShareToken(shareBucket(votersFallbackBuckets, tenant, 0, startedAtMs), share);
    }

    /**
     * Takes a token of the share of the shard's owner, where a proxy has the bucket and cannot be reached, or is not
     * known.
     *
     * @param ownershipTerm the term of owning the shard
     * @param ownedSinceMs when that began; what a former owner has spent before is not known
     * @param ownerShare what the holder leaves of the rate to the owner
     */
    public boolean takeOwnerFallbackToken(
            String tenant,
            long ownershipTerm,
            long ownedSinceMs,
            OwnerShare ownerShare,
            double ratePerS,
            double burst) {
        double share = allowance(ratePerS, burst) * OWNER_FALLBACK_SHARE;
        TokenBucket bucket = shareBucket(ownersFallbackBuckets, tenant, ownershipTerm, ownedSinceMs);
        bucket.tokens += ownerShare.wholeRateMs(bucket.refilledAtMs, clock.nowMs()) / 1000.0 * ratePerS;
        return takeShareToken(bucket, share);
    }

    /** How many tokens the rule allows in a window beyond the limit. */
    private double allowance(double ratePerS, double burst) {
        return (ratePerS * windowMs / 1000 + burst) * excessRatio + burstAllowance;
    }

    private TokenBucket shareBucket(
            Map<String, TokenBucket> shareBuckets, String tenant, long term, long emptySinceMs) {
        TokenBucket bucket = shareBuckets.get(tenant);
        if (bucket == null || bucket.ownershipTerm != term) {
            bucket = new TokenBucket();
            bucket.ownershipTerm = term;
            bucket.refilledAtMs = Math.max(emptySinceMs, clock.nowMs() - windowMs);
            shareBuckets.put(tenant, bucket);
        }
        return bucket;
    }

    /** The bucket holds half of the share and gains half of it in a window, so no window has more than the share. */
    private boolean takeShareToken(TokenBucket bucket, double share) {
        long nowMs = clock.nowMs();
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
        return Map.copyOf(deniedCounts);
    }
}
