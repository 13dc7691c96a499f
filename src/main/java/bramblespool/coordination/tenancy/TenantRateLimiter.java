package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Handing out the tokens of the slices that are owned here: one bucket for each tenant, whole, with the slice's one owner.
 * A token is used at once by the side that asked for it, so what is sent and runs within a window was granted in that window,
 * and the bucket alone keeps the rule. A new owner, or a new life of one, does not know what was granted before it and starts with an empty
 * bucket; by then the other's lease has run out.
 */
public final class TenantRateLimiter {
    /**
     * Of what the rule allows beyond the limit, a part is granted by the owner, so that a limit is reached in full, and a
     * part by the other voters together, one share each, while there is no owner.
     */
    private static final double OWNER_SHARE = 0.2;

    private static final double FALLBACK_SHARE = 0.75;
    /**
     * A side that was denied a token asks for that tenant again after a part of the window: this where denials are few, and
     * up to as much more as the second says where they are all there is.
     */
    private static final int MIN_WAIT_DIVISOR = 100;

    private static final int MAX_WAIT_DIVISOR = 8;
    /** How much one answer weighs in the share of denials. */
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

    public TenantRateLimiter(Clock clock, long windowMs, double excessRatio, double burstAllowance) {
        this.clock = clock;
        this.windowMs = windowMs;
        this.excessRatio = excessRatio;
        this.burstAllowance = burstAllowance;
        this.startedAtMs = clock.nowMs();
    }

    /**
     * Takes a token for a tenant in this term of owning its slice: 0 where it is granted, else in how many milliseconds to ask
     * again. The limit is that of the newest version anybody has asked under. {@code fresh}: nobody granted
     * anything of the slice before.
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
        // The further a tenant is over its limit, the longer each side answers for itself: one tenant's excess must not
        // be the owner's whole work.
        long waitMs = windowMs / MIN_WAIT_DIVISOR + (long) (bucket.denialRatio * windowMs / MAX_WAIT_DIVISOR);
        return (long) (waitMs * (0.75 + clock.random() / 2));
    }

    /**
     * Takes a token where there is no owner to ask: one of this voter's share, which is filled again once in each window.
     * What is saved up and what comes in a window are half of the share each, so no window sees more than the share.
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

    /** How often tenants were over their limit here. */
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
