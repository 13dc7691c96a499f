package bramblespool.coordination;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Handing out the tokens of the slices that are owned here: one bucket for each tenant, whole, with the slice's one owner.
 * A token is used at once by the side that asked for it, so what is sent and runs within a window was granted in that window,
 * and the bucket alone keeps the rule. A new owner, or a new life of one, does not know what was granted before it and starts with an empty
 * bucket; by then the other's lease has run out.
 */
public final class Quota {
    /**
     * Of what the rule allows beyond the limit, a part is granted by the owner, so that a limit is reached in full, and a
     * part by the other voters together, one share each, while there is no owner.
     */
    private static final double OWNER_SHARE = 0.2;

    private static final double SPARE_SHARE = 0.75;
    /**
     * A side that was denied a token asks for that tenant again after a part of the window: this where denials are few, and
     * up to as much more as the second says where they are all there is.
     */
    private static final int LEAST_WAIT = 100;

    private static final int MOST_WAIT = 8;
    /** How much one answer weighs in the share of denials. */
    private static final double PRESS = 0.05;

    private static final class Bucket {
        private long term = -1;
        private long epoch = -1;
        private double ratePerS;
        private double burst;
        private double tokens;
        private long at;
        private long denied;
        private double press;
    }

    private final Clock clock;
    private final long windowMs;
    private final double excess;
    private final double slack;
    private final long born;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Bucket> spares = new HashMap<>();

    public Quota(Clock clock, long windowMs, double excess, double slack) {
        this.clock = clock;
        this.windowMs = windowMs;
        this.excess = excess;
        this.slack = slack;
        this.born = clock.now();
    }

    /**
     * Takes a token for a tenant in this term of owning its slice: 0 where it is granted, else in how many milliseconds to ask
     * again. The limit is that of the newest version anybody has asked under. {@code fresh}: nobody granted
     * anything of the slice before.
     */
    public long take(String tenant, long term, boolean fresh, long epoch, double ratePerS, double burst) {
        long now = clock.now();
        Bucket b = buckets.computeIfAbsent(tenant, t -> new Bucket());
        if (epoch >= b.epoch) {
            b.epoch = epoch;
            b.ratePerS = ratePerS;
            b.burst = burst;
        }
        if (b.term != term) {
            b.term = term;
            b.tokens = fresh ? cap(b) : 1;
            b.at = now;
        }
        b.tokens = Math.min(cap(b), b.tokens + (now - b.at) / 1000.0 * b.ratePerS * (1 + excess * OWNER_SHARE));
        b.at = now;
        boolean granted = b.tokens >= 1;
        b.press += PRESS * ((granted ? 0 : 1) - b.press);
        if (granted) {
            b.tokens--;
            return 0;
        }
        b.denied++;
        // The further a tenant is over its limit, the longer each side answers for itself: one tenant's excess must not
        // be the owner's whole work.
        long wait = windowMs / LEAST_WAIT + (long) (b.press * windowMs / MOST_WAIT);
        return (long) (wait * (0.75 + clock.chance() / 2));
    }

    /**
     * Takes a token where there is no owner to ask: one of this voter's share, which is filled again once in each window.
     * What is saved up and what comes in a window are half of the share each, so no window sees more than the share.
     */
    public boolean spare(String tenant, int sharers, double ratePerS, double burst) {
        long now = clock.now();
        double share = ((ratePerS * windowMs / 1000 + burst) * excess + slack) * SPARE_SHARE / sharers;
        Bucket b = spares.get(tenant);
        if (b == null) {
            b = new Bucket();
            // Empty: a new process does not know what an earlier one has spent.
            b.at = Math.max(born, now - windowMs);
            spares.put(tenant, b);
        }
        b.tokens = Math.min(share / 2, b.tokens + (double) (now - b.at) / windowMs * share / 2);
        b.at = now;
        if (b.tokens < 1) {
            return false;
        }
        b.tokens--;
        return true;
    }

    private double cap(Bucket b) {
        return Math.max(1, b.burst + slack * OWNER_SHARE);
    }

    /** How often tenants were over their limit here. */
    public Map<String, Long> denied() {
        Map<String, Long> out = new HashMap<>();
        buckets.forEach((t, b) -> {
            if (b.denied > 0) {
                out.put(t, b.denied);
            }
        });
        return out;
    }
}
