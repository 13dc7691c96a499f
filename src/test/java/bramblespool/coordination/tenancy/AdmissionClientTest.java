package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.tenancy.AdmissionClient.Decision;
import bramblespool.coordination.tenancy.AdmissionClient.Verdict;
import bramblespool.state.EventLog;
import bramblespool.state.Tenant;
import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionClientTest {
    private static final long QUIET_MS = 3000;
    private static final List<String> CONTROLLERS = List.of("a:1", "b:1", "c:1");
    private static final long TIMEOUT_MS = 400;
    private static final Tenant LIMITED = new Tenant("t", 0, 10, 5);

    private final FakeClock clock = new FakeClock();
    private final FakeTransport transport = new FakeTransport();
    private final ControllerSelector controllers =
            new ControllerSelector(clock, () -> CONTROLLERS, () -> CONTROLLERS, QUIET_MS);
    private final BucketHolder buckets = new BucketHolder(
            clock,
            transport,
            "p:1 run",
            controllers,
            new TenantRateLimiter(clock, 5000, 0.1, 20),
            BucketLeaseTimings.of(QUIET_MS),
            EventLog.silent());
    private final AdmissionClient client = new AdmissionClient(clock, transport, controllers, buckets, QUIET_MS);
    private final List<Verdict> verdicts = new ArrayList<>();

    private Call admit(Tenant limit, String registerId) {
        client.admit("t", limit, 1, registerId, "claim", null, TIMEOUT_MS, this::onDecision);
        return nextCall();
    }

    private void onDecision(Decision decision) {
        verdicts.add(decision.verdict());
    }

    private Call nextCall() {
        List<Call> calls = transport.take();
        assertEquals(1, calls.size());
        return calls.get(0);
    }

    private static ObjectNode response(String verdict) {
        return JsonNodeFactory.instance.objectNode().put("verdict", verdict);
    }

    private static ObjectNode ownerResponse(String owner, long fencingToken) {
        return response("go").put("owner", owner).put("fence", fencingToken);
    }

    /** Guards against 503 for all keyed requests of a tenant whose limit was lifted (CONFIG). */
    @Test
    void reservationWithoutATokenIsNobodysAndCountsAfterALimitWasLifted() {
        admit(LIMITED, "1/k").callback().accept(ownerResponse("b:1", 1_000_000));
        admit(null, "1/k").callback().accept(response("go"));
        admit(null, "1/l").callback().accept(response("held").put("stands", "other claim"));
        assertEquals(List.of(Verdict.ADMITTED, Verdict.ADMITTED, Verdict.CLAIMED_ELSEWHERE), verdicts);
    }

    /** Guards against 503 while a shard has no owner: voters grant tokens then, without a fencing token. */
    @Test
    void tokenOfAVoterCountsAfterTheOwnerIsGone() {
        admit(LIMITED, null).callback().accept(ownerResponse("b:1", 1_000_000));
        admit(LIMITED, null).callback().accept(response("go"));
        assertEquals(List.of(Verdict.ADMITTED, Verdict.ADMITTED), verdicts);
    }

    /** Guards against 422 for repeats with long bodies (DENIED): how much of one is read at first differs. */
    @Test
    void fingerprintDoesNotDependOnHowMuchOfALongBodyWasRead() {
        byte[] body = new byte[AdmissionClient.FINGERPRINT_BODY_BYTES + 5000];
        long fingerprint = client.fingerprint("PUT", "h", "/t", body);
        for (int read : new int[] {AdmissionClient.FINGERPRINT_BODY_BYTES, body.length - 1}) {
            assertEquals(fingerprint, client.fingerprint("PUT", "h", "/t", Arrays.copyOf(body, read)), "read " + read);
        }
        body[AdmissionClient.FINGERPRINT_BODY_BYTES - 1] = 1;
        assertNotEquals(fingerprint, client.fingerprint("PUT", "h", "/t", body));
        assertNotEquals(fingerprint, client.fingerprint("PUT", "h", "/t", new byte[10]));
    }

    @Test
    void formerOwnerIsAskedAgainLater() {
        admit(LIMITED, null).callback().accept(ownerResponse("b:1", 6));
        Call call = admit(LIMITED, null);
        assertEquals("b:1", call.address(), "the owner is known");
        call.callback().accept(ownerResponse("a:1", 5));
        assertEquals(List.of(Verdict.ADMITTED), verdicts);
        clock.advance(QUIET_MS / 60);
        nextCall().callback().accept(ownerResponse("c:1", 7));
        assertEquals(List.of(Verdict.ADMITTED, Verdict.ADMITTED), verdicts);
        assertEquals("c:1", admit(LIMITED, null).address());
    }

    // ---- buckets that proxies hold

    private static final String GROUP = TenantSharding.groupOf("t");

    private static ObjectNode undecidedWithHolder(String holder, long version) {
        ObjectNode response = ownerResponse("b:1", 6).put("verdict", "none");
        response.putObject("buckets")
                .put("version", version)
                .putArray("at")
                .addObject()
                .put("group", GROUP)
                .put("peer", holder);
        return response;
    }

    private static ObjectNode grant() {
        ObjectNode response = ownerResponse("b:1", 6).put("verdict", "none");
        response.putObject("grant")
                .put("ms", 1800)
                .put("kept", false)
                .put("full", true)
                .putArray("tokens");
        return response;
    }

    private void learnHolder(String holder) {
        Call first = admit(LIMITED, null);
        assertEquals("admit", first.kind());
        first.callback().accept(undecidedWithHolder(holder, 9));
        nextCall().callback().accept(response("go"));
        verdicts.clear();
    }

    @Test
    void tokenComesFromTheProxyThatHoldsTheBucketAndTheKeyFromAController() {
        learnHolder("h:1");
        Call token = admit(LIMITED, "1/k");
        assertEquals("h:1", token.address());
        assertEquals("token", token.kind());
        token.callback().accept(response("go"));
        Call claim = nextCall();
        assertEquals("admit", claim.kind());
        assertEquals("1/k", claim.body().path("register").asText());
        assertFalse(claim.body().has("tenant"), "the token is there");
        claim.callback().accept(response("go"));
        assertEquals(List.of(Verdict.ADMITTED), verdicts);
    }

    @Test
    void tenantOverItsLimitReservesNoKey() {
        learnHolder("h:1");
        admit(LIMITED, "1/k").callback().accept(response("over").put("wait", 50));
        assertEquals(List.of(Verdict.RATE_LIMITED), verdicts);
        client.admit("t", LIMITED, 1, "1/k", "claim", null, TIMEOUT_MS, this::onDecision);
        assertTrue(transport.take().isEmpty(), "nobody is asked while the tenant waits");
        assertEquals(List.of(Verdict.RATE_LIMITED, Verdict.RATE_LIMITED), verdicts);
    }

    /** Guards against SHORT: a lost holder costs each proxy one time-out, and not each request. */
    @Test
    void ownerIsToldOfASilentHolderWhichIsNotAskedAgainForAWhile() {
        learnHolder("h:1");
        admit(LIMITED, null).callback().accept(null);
        Call toOwner = nextCall();
        assertEquals("b:1", toOwner.address());
        assertEquals("h:1", toOwner.body().path("query").path("avoid").asText());
        assertEquals(9, toOwner.body().path("query").path("known").asLong());
        toOwner.callback().accept(ownerResponse("b:1", 6));
        assertEquals(List.of(Verdict.ADMITTED), verdicts);
        assertEquals("b:1", admit(LIMITED, null).address());
        clock.advance(QUIET_MS / 20);
        assertEquals("h:1", admit(LIMITED, null).address());
    }

    @Test
    void lentBucketsServeThisProxyWithoutAMessage() {
        Call early = admit(LIMITED, null);
        assertFalse(early.body().path("query").has("candidate"), "it has just started");
        clock.advance(BucketLeaseTimings.of(QUIET_MS).startDelayMs());
        Call first = admit(LIMITED, null);
        assertEquals("p:1 run", first.body().path("query").path("candidate").asText());
        first.callback().accept(grant());
        client.admit("t", LIMITED, 1, null, null, null, TIMEOUT_MS, this::onDecision);
        assertTrue(transport.take().isEmpty());
        assertEquals(List.of(Verdict.ADMITTED, Verdict.ADMITTED), verdicts);
    }

    /** Guards against SHORT: what an overloaded controller refuses is not asked of the next one. */
    @Test
    void unavailableEndsTheAdmissionAtOnce() {
        admit(LIMITED, "1/k").callback().accept(response("later").put("wait", 300));
        assertTrue(transport.take().isEmpty());
        assertEquals(List.of(Verdict.UNKNOWN), verdicts);
    }

    /** Guards against SHORT: five messages for one request were what kept overloaded controllers down. */
    @Test
    void requestsThatFailAreHardlyRepeated() {
        int calls = 0;
        for (int i = 0; i < 40; i++) {
            client.admit("t", LIMITED, 1, "1/k" + i, "claim", null, TIMEOUT_MS, this::onDecision);
            for (List<Call> asked = transport.take(); !asked.isEmpty(); asked = transport.take()) {
                calls += asked.size();
                clock.advance(60);
                asked.forEach(call -> call.callback().accept(null));
            }
            clock.advance(20);
        }
        assertEquals(40, verdicts.size());
        assertTrue(calls <= 50, calls + " calls for 40 requests");
    }
}
