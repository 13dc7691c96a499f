package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A shard's owner lends the token buckets of its tenants to proxies, a group at a time, so that the work of granting
 * tokens is spread over the fleet and not over the controllers. A group's buckets are at one place at a time: with the
 * owner, or with one proxy until its lease has lapsed or it has given them back.
 *
 * <p>An owner that has taken the shard from another one does not know to whom that one lent. Until all that it can have
 * lent has lapsed, the new owner lends nothing and grants nothing; only a proxy whose lease has not lapsed may have it
 * renewed. Two proxies cannot have such a lease, see {@link BucketLeaseTimings}.
 *
 * <p>The calls are for shards that this controller owns at that moment. Confined to the event loop.
 */
public final class BucketLender {
    /** Separates a proxy's peer address from what names the run of its process. */
    private static final char PROCESS_SEPARATOR = ' ';

    private static final class Lease {
        private String holder;
        private long expiresAtMs;

        boolean isOf(String otherHolder) {
            return otherHolder.equals(holder);
        }
    }

    /** A shard in one term of owning it. */
    private static final class Shard {
        private final long term;
        private final long sinceMs;
        private final Map<String, Lease> leases = new HashMap<>();

        Shard(long term, long sinceMs) {
            this.term = term;
            this.sinceMs = sinceMs;
        }
    }

    private final Clock clock;
    private final TenantRateLimiter rateLimiter;
    private final long leaseMs;
    private final Map<String, Shard> shards = new HashMap<>();
    private long mapVersion;

    /**
     * @param rateLimiter has the buckets that are with the owner
     * @param leaseMs the length of a lease
     */
    public BucketLender(Clock clock, TenantRateLimiter rateLimiter, long leaseMs) {
        this.clock = clock;
        this.rateLimiter = rateLimiter;
        this.leaseMs = leaseMs;
        this.mapVersion = clock.wallTimeMs();
    }

    private Shard shard(ShardOwnership ownership) {
        Shard shard = shards.get(ownership.shard());
        if (shard == null || shard.term != ownership.term()) {
            shard = new Shard(ownership.term(), clock.nowMs());
            shards.put(ownership.shard(), shard);
            mapVersion++;
        }
        return shard;
    }

    private boolean isLive(Lease lease) {
        return lease != null && lease.holder != null && clock.nowMs() < lease.expiresAtMs;
    }

    /** When this term of owning the shard was first seen here. */
    public long ownedSinceMs(ShardOwnership ownership) {
        return shard(ownership).sinceMs;
    }

    /** Who has the buckets of the group now, as peer address; empty where no proxy has. */
    public Optional<String> holderAddress(ShardOwnership ownership, String group) {
        Lease lease = shard(ownership).leases.get(group);
        return isLive(lease) ? Optional.of(addressOf(lease.holder)) : Optional.empty();
    }

    /** Whether a proxy may have the buckets by a lease of a former owner, of which nothing is known here. */
    public boolean mayBeLentByFormerOwner(ShardOwnership ownership, String group) {
        return !ownership.isFirst()
                && !shard(ownership).leases.containsKey(group)
                && clock.nowMs() < ownership.formerOwnerEndedMs() + leaseMs;
    }

    /**
     * The time at the whole rate that comes to what the owner may grant, between two times, beside a holder that does
     * not renew its lease, or may be there without being known.
     */
    public double ownerShareMs(ShardOwnership ownership, String group, long fromMs, long toMs) {
        Lease lease = shard(ownership).leases.get(group);
        long renewedAtMs = isLive(lease) ? lease.expiresAtMs - leaseMs : ownership.formerOwnerEndedMs();
        return BucketLeaseTimings.ownerShareMs(fromMs - renewedAtMs, toMs - renewedAtMs, leaseMs);
    }

    /** Whether nobody has granted tokens of the group, neither this owner nor a holder: its buckets are full. */
    public boolean isUntouched(ShardOwnership ownership, String group) {
        return ownership.isFirst() && !shard(ownership).leases.containsKey(group);
    }

    /**
     * Lends the buckets of a group; empty where another proxy has them, or may have them, or where the candidate has as
     * many groups as it may.
     *
     * @param candidate the proxy that asks, and the run of its process
     * @param maxGroups how many groups one proxy may have from this owner
     */
    public Optional<BucketGrant> lend(ShardOwnership ownership, String group, String candidate, int maxGroups) {
        endFormerRun(candidate);
        Shard shard = shard(ownership);
        Lease lease = shard.leases.get(group);
        boolean isOwn = lease != null && lease.isOf(candidate);
        boolean isHeldByOther = isLive(lease) && !isOwn;
        if (isHeldByOther || mayBeLentByFormerOwner(ownership, group) || !isOwn && groupsOf(candidate) >= maxGroups) {
            return Optional.empty();
        }
        boolean isFull = isUntouched(ownership, group);
        Map<String, Double> tokens = rateLimiter.removeBuckets(TenantSharding.isInGroup(group), ownership.term(), 1);
        put(shard, group, candidate);
        return Optional.of(new BucketGrant(leaseMs, isOwn, isFull, tokens));
    }

    /** A process that was at this address before has ended, whatever its leases say: the address was free. */
    private void endFormerRun(String candidate) {
        String address = addressOf(candidate);
        for (Shard shard : shards.values()) {
            for (Lease lease : shard.leases.values()) {
                if (lease.holder != null
                        && !lease.isOf(candidate)
                        && addressOf(lease.holder).equals(address)) {
                    lease.holder = null;
                    mapVersion++;
                }
            }
        }
    }

    private static String addressOf(String holder) {
        int end = holder.indexOf(PROCESS_SEPARATOR);
        return end < 0 ? holder : holder.substring(0, end);
    }

    private int groupsOf(String candidate) {
        int count = 0;
        for (Shard shard : shards.values()) {
            for (Lease lease : shard.leases.values()) {
                count += isLive(lease) && lease.isOf(candidate) ? 1 : 0;
            }
        }
        return count;
    }

    private void put(Shard shard, String group, String holder) {
        Lease lease = shard.leases.computeIfAbsent(group, g -> new Lease());
        if (!lease.isOf(holder)) {
            lease.holder = holder;
            mapVersion++;
        }
        lease.expiresAtMs = clock.nowMs() + leaseMs;
    }

    /**
     * Renews a lease that has not lapsed by its holder's clock, whether this owner granted it or a former one did.
     *
     * @return whether it is renewed
     */
    public boolean renew(ShardOwnership ownership, String group, String holder) {
        Shard shard = shard(ownership);
        Lease lease = shard.leases.get(group);
        boolean isOwn = lease != null && lease.isOf(holder);
        if (!isOwn && !mayBeLentByFormerOwner(ownership, group)) {
            return false;
        }
        put(shard, group, holder);
        return true;
    }

    /** Takes buckets back from their holder; what others say they hold is passed over. */
    public void takeBack(ShardOwnership ownership, BucketReturn returned) {
        Lease lease = shard(ownership).leases.get(returned.group());
        if (lease != null && lease.isOf(returned.holder())) {
            lease.holder = null;
            mapVersion++;
            rateLimiter.putBuckets(returned.tokens(), ownership.term());
        }
    }

    /** Notes that the owner grants tokens of the group itself: whoever had them before begins anew. */
    public void markTouched(ShardOwnership ownership, String group) {
        Lease lease = shard(ownership).leases.get(group);
        if (lease != null) {
            lease.holder = null;
        }
    }

    /** Who has which buckets of the shards, as far as they were lent here. */
    public BucketMap map(Set<ShardOwnership> ownerships) {
        Map<String, String> holders = new HashMap<>();
        for (ShardOwnership ownership : new HashSet<>(ownerships)) {
            shard(ownership).leases.forEach((group, lease) -> {
                if (isLive(lease)) {
                    holders.put(group, addressOf(lease.holder));
                }
            });
        }
        return new BucketMap(mapVersion, holders);
    }

    /** The version of the present map. */
    public long mapVersion() {
        return mapVersion;
    }
}
