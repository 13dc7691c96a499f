package bramblespool.coordination.tenancy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HeldLeaseTest {
    private static final LeaseTimings TIMINGS = new LeaseTimings(100, 30, 1000);
    private final FakeClock clock = new FakeClock();
    private final FakeTransport transport = new FakeTransport();
    private final ReplicatedState replicatedState = new ReplicatedState();
    private final LeaseClient voters =
            new LeaseClient(replicatedState, "a:1#0", new LeaseGrantor(clock, TIMINGS), transport, TIMINGS.leaseMs());
    private final HeldLease lease = new HeldLease("a:1", voters, clock, TIMINGS, EventLog.silent());

    @BeforeEach
    void setVoters() {
        VoterSet voterSet = VoterSet.decode(List.of("a:1#0", "b:1#0", "c:1#0"));
        replicatedState.apply(1, new ReplicatedEntry.VotersChanged(voterSet));
    }

    private List<Call> renew() {
        lease.markRequested();
        lease.renew();
        return transport.take();
    }

    @Test
    void holdsOnceAMajorityHasGrantedItCountedFromWhenItAsked() {
        clock.advance(200);
        List<Call> calls = renew();
        assertEquals(List.of("b:1", "c:1"), calls.stream().map(Call::address).toList());
        assertFalse(lease.isValid(), "its own grant is no majority");
        clock.advance(80);
        calls.get(1).callback().accept(LeaseCodec.encodeReply(new LeaseReply(true, 0)));
        assertTrue(lease.isValid());
        clock.advance(10);
        assertFalse(lease.isValid(), "nine tenths of a lease after it asked");
    }

    @Test
    void refusalAndSilenceAreNoGrants() {
        List<Call> calls = renew();
        calls.get(0).callback().accept(LeaseCodec.encodeReply(LeaseReply.REFUSED));
        calls.get(1).callback().accept(null);
        assertFalse(lease.isValid());
    }

    @Test
    void grantsToALeaseThatWasGivenUpDoNotCount() {
        clock.advance(200);
        String formerId = lease.id();
        List<Call> calls = renew();
        lease.giveUp();
        calls.forEach(call -> call.callback().accept(LeaseCodec.encodeReply(new LeaseReply(true, 0))));
        assertFalse(lease.isValid());
        assertNotEquals(formerId, lease.id());
        assertTrue(lease.isOfThisProcess(formerId));
    }

    @Test
    void asksNobodyUnlessTokensAreAskedFor() {
        lease.renew();
        assertEquals(List.of(), transport.take());
        assertTrue(lease.markRequested());
        assertFalse(lease.markRequested(), "renewed already");
        clock.advance(TIMINGS.requestedMs());
        lease.renew();
        assertEquals(List.of(), transport.take());
        assertTrue(lease.markRequested());
    }
}
