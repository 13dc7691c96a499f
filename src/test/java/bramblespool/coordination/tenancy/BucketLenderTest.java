package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BucketLenderTest {
    private static final long LEASE_MS = 1000;
    private static final String TENANT = "t";
    private static final String GROUP = TenantSharding.groupOf(TENANT);
    private static final ShardOwnership FIRST = new ShardOwnership(TenantSharding.shardOf(TENANT), 1, true, 0);
    private static final long ENDED_AGO_MS = 300;
    private static final String HOLDER = "a:1 run";
    private static final String OTHER = "b:1 run";

    private final FakeClock clock = new FakeClock();
    private final TenantRateLimiter rateLimiter = new TenantRateLimiter(clock, 5000, 0.1, 20);
    private final ShardOwnership takenOver =
            new ShardOwnership(TenantSharding.shardOf(TENANT), 2, false, clock.nowMs() - ENDED_AGO_MS);
    private final BucketLender lender = new BucketLender(clock, rateLimiter, LEASE_MS);

    private Optional<BucketGrant> lend(ShardOwnership ownership, String candidate) {
        return lender.lend(ownership, GROUP, candidate, 1);
    }

    @Test
    void bucketsAreLentToOneProxyUntilItsLeaseHasLapsed() {
        assertTrue(lend(FIRST, HOLDER).isPresent());
        clock.advance(LEASE_MS - 1);
        assertTrue(lend(FIRST, OTHER).isEmpty());
        assertEquals(Optional.of("a:1"), lender.holderAddress(FIRST, GROUP));
        assertTrue(lender.renew(FIRST, GROUP, HOLDER));
        clock.advance(LEASE_MS - 1);
        assertTrue(lend(FIRST, OTHER).isEmpty());
        clock.advance(1);
        assertTrue(lend(FIRST, OTHER).isPresent());
        assertFalse(lender.renew(FIRST, GROUP, HOLDER), "another one has them");
    }

    @Test
    void untouchedBucketsAreFullOnceAndNeverAgain() {
        assertTrue(lend(FIRST, HOLDER).orElseThrow().isFull());
        clock.advance(LEASE_MS);
        BucketGrant second = lend(FIRST, OTHER).orElseThrow();
        assertFalse(second.isFull() || second.isContinued(), "what the last holder granted is not known");
    }

    @Test
    void holderThatAsksAgainGoesOnWithItsBuckets() {
        lend(FIRST, HOLDER);
        clock.advance(LEASE_MS * 2);
        assertTrue(lend(FIRST, HOLDER).orElseThrow().isContinued(), "nobody had them since");
        clock.advance(LEASE_MS);
        lender.markTouched(FIRST, GROUP);
        assertFalse(lender.renew(FIRST, GROUP, HOLDER), "the owner has granted since");
        assertFalse(lend(FIRST, HOLDER).orElseThrow().isContinued());
    }

    /** Guards against QUOTA: a new owner does not know to whom the former one has lent. */
    @Test
    void newOwnerLendsNothingUntilLeasesOfTheFormerOneHaveLapsed() {
        assertTrue(lender.mayBeLentByFormerOwner(takenOver, GROUP));
        assertTrue(lend(takenOver, OTHER).isEmpty());
        clock.advance(LEASE_MS - ENDED_AGO_MS - 1);
        assertTrue(lend(takenOver, OTHER).isEmpty());
        clock.advance(1);
        assertFalse(lender.mayBeLentByFormerOwner(takenOver, GROUP));
        assertFalse(lender.renew(takenOver, GROUP, HOLDER), "too late");
        assertFalse(lend(takenOver, OTHER).orElseThrow().isFull());
    }

    /** Guards against SHORT: a shard's new owner does not take the buckets from who has them. */
    @Test
    void holderOutlastsItsShardsOwner() {
        assertTrue(lender.renew(takenOver, GROUP, HOLDER));
        assertEquals(Optional.of("a:1"), lender.holderAddress(takenOver, GROUP));
        assertFalse(lender.renew(takenOver, GROUP, OTHER));
        clock.advance(LEASE_MS);
        assertTrue(lend(takenOver, OTHER).isPresent());
    }

    @Test
    void returnedTokensAreLentToTheNext() {
        lend(FIRST, HOLDER);
        lender.takeBack(FIRST, new BucketReturn(OTHER, GROUP, Map.of(TENANT, 9.0)));
        assertTrue(lend(FIRST, OTHER).isEmpty(), "it was not its holder");
        lender.takeBack(FIRST, new BucketReturn(HOLDER, GROUP, Map.of(TENANT, 3.0)));
        assertEquals(Map.of(TENANT, 3.0), lend(FIRST, OTHER).orElseThrow().tokens());
    }

    @Test
    void restartedProxyReplacesItsFormerRunAtOnce() {
        lend(FIRST, HOLDER);
        BucketGrant grant = lend(FIRST, "a:1 later").orElseThrow();
        assertFalse(grant.isContinued() || grant.isFull());
        assertFalse(lender.renew(FIRST, GROUP, HOLDER));
    }

    @Test
    void oneProxyGetsSoManyGroupsOnly() {
        lend(FIRST, HOLDER);
        assertTrue(lender.lend(FIRST, GROUP + "x", HOLDER, 1).isEmpty());
        assertTrue(lender.lend(FIRST, GROUP + "x", HOLDER, 2).isPresent());
    }

    @Test
    void mapNamesHoldersAndItsVersionChangesWithThem() {
        long version = lender.mapVersion();
        lend(FIRST, HOLDER);
        assertTrue(lender.mapVersion() != version);
        assertEquals(new BucketMap(lender.mapVersion(), Map.of(GROUP, "a:1")), lender.map(Set.of(FIRST)));
        version = lender.mapVersion();
        lender.renew(FIRST, GROUP, HOLDER);
        assertEquals(version, lender.mapVersion());
    }
}
