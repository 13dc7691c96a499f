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
    void ownerSharesTheRateWithAHolderThatDoesNotRenew() {
        lend(FIRST, HOLDER);
        clock.advance(LEASE_MS / 2);
        lender.renew(FIRST, GROUP, HOLDER);
        long renewedAtMs = clock.nowMs();
        assertEquals(0, lender.ownerShareMs(FIRST, GROUP, 0, renewedAtMs + 200));
        assertEquals(50, lender.ownerShareMs(FIRST, GROUP, 0, renewedAtMs + 300), 1e-6, "half");
        assertEquals(50 + 90, lender.ownerShareMs(FIRST, GROUP, 0, renewedAtMs + 400), 1e-6, "nine tenths");
        assertEquals(90, lender.ownerShareMs(FIRST, GROUP, renewedAtMs + 300, renewedAtMs + 400), 1e-6);
        long endedMs = takenOver.formerOwnerEndedMs();
        assertEquals(50, lender.ownerShareMs(takenOver, GROUP, 0, endedMs + 300), 1e-6, "one may be there");
    }

    /** Guards against QUOTA: at no age do holder and owner have more than the rate. */
    @Test
    void sharesOfHolderAndOwnerAreOneAtMost() {
        for (long ageMs = 0; ageMs < LEASE_MS; ageMs++) {
            double ownerShare = BucketLeaseTimings.ownerShareMs(ageMs, ageMs + 1, LEASE_MS);
            double holderShare = BucketLeaseTimings.holderShare(ageMs, LEASE_MS);
            assertTrue(ownerShare + holderShare <= 1 + 1e-9, ownerShare + " and " + holderShare + " at " + ageMs);
        }
        assertEquals(0.1, BucketLeaseTimings.holderShare(LEASE_MS / 2, LEASE_MS));
    }

    @Test
    void ownersShareComesOnTopOfItsFallback() {
        long nowMs = clock.nowMs();
        double fallback = ((100 * 5 + 100) * 0.1 + 20) * 0.6;
        int granted = 0;
        for (int elapsedMs = 0; elapsedMs < 5000; elapsedMs += 10) {
            clock.advance(10);
            granted += rateLimiter.takeOwnerFallbackToken(
                            TENANT, 1, nowMs, (from, to) -> Math.max(0, to - Math.max(from, nowMs + 4000)), 100, 100)
                    ? 1
                    : 0;
        }
        assertTrue(granted <= fallback + 100 + 1 && granted > 100, granted + " granted, fallback " + fallback);
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
