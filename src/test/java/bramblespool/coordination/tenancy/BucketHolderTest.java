package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BucketHolderTest {
    private static final long QUIET_MS = 5000;
    private static final List<String> CONTROLLERS = List.of("c1:1", "c2:1", "c3:1");
    private static final TokenRequest REQUEST = new TokenRequest(TenantSharding.shardOf("t"), "t", 1, 10, 5);
    private static final String GROUP = REQUEST.group();
    private static final String OWNER = "c1:1";

    private final FakeClock clock = new FakeClock();
    private final FakeTransport transport = new FakeTransport();
    private final BucketLeaseTimings timings = BucketLeaseTimings.of(QUIET_MS);
    private final long holderLeaseMs = BucketLeaseTimings.holderLeaseMs(timings.leaseMs());
    private final BucketHolder holder = new BucketHolder(
            clock,
            transport,
            "p:1 run",
            new ControllerSelector(clock, () -> CONTROLLERS, () -> CONTROLLERS, QUIET_MS),
            new TenantRateLimiter(clock, 5000, 0.1, 20),
            timings,
            EventLog.silent());

    private BucketGrant grant(boolean isContinued, boolean isFull) {
        return new BucketGrant(timings.leaseMs(), isContinued, isFull, Map.of());
    }

    private void hold() {
        holder.accept(GROUP, OWNER, grant(false, true), clock.nowMs());
        holder.start();
    }

    private int takeAll() {
        return takeAll(REQUEST);
    }

    private int takeAll(TokenRequest request) {
        int count = 0;
        while (holder.takeToken(request).isAdmitted()) {
            count++;
        }
        return count;
    }

    private Call renewal() {
        List<Call> calls = transport.take();
        assertEquals(1, calls.size());
        assertEquals(BucketCodec.RENEW_KIND, calls.get(0).kind());
        return calls.get(0);
    }

    private static void answer(Call call, Set<String> renewed, Map<String, String> owners) {
        call.callback().accept(BucketCodec.encodeRenewalResult(new BucketRenewalResult(renewed, owners)));
    }

    /** Guards against QUOTA: the time counts from the request, whose answer may be late. */
    @Test
    void grantsNothingOnceItsLeaseHasLapsedByItsOwnClock() {
        long askedAtMs = clock.nowMs();
        clock.advance(200);
        holder.accept(GROUP, OWNER, grant(false, true), askedAtMs);
        clock.advance(holderLeaseMs - 201);
        assertTrue(holder.takeToken(REQUEST).isAdmitted());
        clock.advance(1);
        assertTrue(holder.takeToken(REQUEST).isUndecided());
        assertEquals(0, holder.heldCount());
    }

    @Test
    void renewedLeaseCountsFromWhenItWasAskedFor() {
        hold();
        clock.advance(timings.renewalMs());
        Call renewal = renewal();
        clock.advance(timings.callTimeoutMs());
        answer(renewal, Set.of(GROUP), Map.of());
        clock.advance(holderLeaseMs - timings.callTimeoutMs() - 1);
        assertTrue(holder.holds(GROUP));
        clock.advance(1);
        assertFalse(holder.holds(GROUP));
    }

    /** Guards against QUOTA: after a freeze an old answer may lie ready, and another proxy may have the buckets. */
    @Test
    void renewalAnsweredTooLateCountsForNothing() {
        hold();
        clock.advance(timings.renewalMs());
        Call renewal = renewal();
        clock.advance(timings.callTimeoutMs() + 1);
        answer(renewal, Set.of(GROUP), Map.of());
        clock.advance(holderLeaseMs - timings.renewalMs() - timings.callTimeoutMs());
        assertFalse(holder.holds(GROUP));
    }

    /** Guards against SHORT: the loss of a shard's owner costs its tenants nothing. */
    @Test
    void asksTheNextControllerWhereTheOwnerIsLost() {
        hold();
        clock.advance(timings.renewalMs());
        renewal().callback().accept(null);
        clock.advance(timings.retryMs());
        Call second = renewal();
        assertFalse(second.address().equals(OWNER));
        answer(second, Set.of(), Map.of(GROUP, "c9:1"));
        clock.advance(timings.retryMs());
        Call third = renewal();
        assertEquals("c9:1", third.address(), "the owner as the second one has it");
        answer(third, Set.of(GROUP), Map.of());
        clock.advance(timings.renewalMs());
        assertEquals("c9:1", renewal().address(), "from now on");
    }

    /** Guards against QUOTA: the shard's owner grants the rest once it has heard nothing for a while. */
    @Test
    void grantsLessOfTheRateTheLongerItsLastRenewalIsAgo() {
        TokenRequest large = new TokenRequest(REQUEST.shard(), "t", 1, 100, 1000);
        hold();
        takeAll(large);
        clock.advance(timings.leaseMs() * 4 / 25 - 10);
        int atFullRate = takeAll(large);
        assertEquals(timings.leaseMs() * 4 / 25 / 10.0, atFullRate, 4, "a hundred a second");
        clock.advance(timings.leaseMs() * 2 / 25);
        assertEquals(atFullRate / 4.0, takeAll(large), 4, "half of the rate for half of the time");
        clock.advance(1000);
        holder.accept(GROUP, OWNER, grant(true, false), clock.nowMs());
        assertEquals(10, takeAll(large), 2, "what was gained before the renewal was gained at a tenth of the rate");
    }

    @Test
    void continuedLeaseKeepsWhatTheBucketsHave() {
        hold();
        int all = takeAll();
        assertTrue(all > 5, "full at first: " + all);
        clock.advance(holderLeaseMs);
        holder.accept(GROUP, OWNER, grant(true, false), clock.nowMs());
        assertTrue(takeAll() > 1, "what was gained meanwhile");
        clock.advance(holderLeaseMs);
        holder.accept(GROUP, OWNER, grant(false, false), clock.nowMs());
        assertEquals(1, takeAll(), "another one may have granted all the rest");
    }

    @Test
    void bucketsThatNobodyUsesAreLeftToLapse() {
        hold();
        for (long elapsedMs = 0; elapsedMs < timings.leaseMs() + timings.renewalMs(); elapsedMs += 50) {
            clock.advance(50);
            transport.take().forEach(call -> answer(call, Set.of(GROUP), Map.of()));
        }
        clock.advance(holderLeaseMs);
        assertFalse(holder.holds(GROUP));
    }

    @Test
    void returnsWhatIsLeftAtShutdownAndTakesNothingMore() {
        hold();
        int all = takeAll();
        holder.accept(GROUP, OWNER, grant(true, false), clock.nowMs());
        clock.advance(200);
        holder.returnAll();
        Call returned = transport.take().get(0);
        assertEquals(BucketCodec.RETURN_KIND, returned.kind());
        BucketReturn message = BucketCodec.decodeReturn(returned.body());
        assertEquals("p:1 run", message.holder());
        assertTrue(message.tokens().get("t") > 1 && message.tokens().get("t") < all, message.toString());
        assertTrue(holder.takeToken(REQUEST).isUndecided());
        clock.advance(timings.leaseMs());
        assertNull(holder.candidate());
    }

    @Test
    void takesNoBucketsRightAfterItsStart() {
        clock.advance(timings.startDelayMs() - 1);
        assertNull(holder.candidate());
        clock.advance(1);
        assertEquals("p:1 run", holder.candidate());
    }

    @Test
    void answersOtherDaemons() {
        hold();
        holder.handleTokenRequest(
                AdmissionCodec.INSTANCE.encodeTokenRequest(REQUEST),
                body -> assertEquals(JsonNodeFactory.instance.objectNode().put("verdict", "go"), body));
    }
}
