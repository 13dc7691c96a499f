package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

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
}
