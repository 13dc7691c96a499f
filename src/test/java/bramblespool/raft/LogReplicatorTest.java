package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.raft.RaftResponse.Complete;
import bramblespool.raft.RaftResponse.LogMismatch;
import bramblespool.raft.RaftResponse.PartiallyDurable;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.testing.FakeTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A leader {@code a:1#0} of three voters in term 3. Behind the committed entry that names the voters its log holds one
 * of term 1 that only it has, and the first one of its own term, which is not on its disk yet. It has just sent both to
 * the other two. In term 2 another member may have written an entry 2 as well, and be elected again: so copies of the
 * entry of term 1 alone do not make it safe (Raft dissertation, section 3.6.2 and figure 3.7).
 */
class LogReplicatorTest {
    private static final String OTHER_B = "b:1";
    private static final String OTHER_C = "c:1";
    private static final String OLD_ENTRY = "old";

    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final RaftLog log = test.raftLog;
    private final FakeTransport transport = new FakeTransport();
    private final FakeStateMachine stateMachine = new FakeStateMachine();
    private final StateDigests stateDigests = new StateDigests(test.context, log);
    private final LogApplier applier =
            new LogApplier(test.context, test.quorum, log, test.storage, stateMachine, stateDigests);
    private final LogReplicator replicator = newReplicator();
    /** The newest request to each address that has not been answered. */
    private final Map<String, FakeTransport.Call> requests = new HashMap<>();

    private final List<ProposalOutcome> outcomes = new ArrayList<>();

    LogReplicatorTest() {
        log.advanceCommitIndex(1);
        applier.applyCommitted();
        stateMachine.entries.clear();
        log.append(new LogEntry(2, 1, OLD_ENTRY));
        log.markDurable(2, 1);
        test.quorum.becomeFollower(2);
        LeaderState leader = test.becomeLeader();
        assertEquals(3, leader.term());
        replicator.append(leader, LogEntryCodec.encodeNoop(), outcomes::add);
        for (String address : List.of(OTHER_B, OTHER_C)) {
            answer(address, false, new LogMismatch(1));
            assertEquals(new LogEntry(2, 1, OLD_ENTRY), sentEntries(address).get(0));
        }
    }

    private LogReplicator newReplicator() {
        MembershipChange membershipChange = new MembershipChange(test.context, log, stateMachine, 3);
        RoleTransitions roles = new RoleTransitions(
                test.context,
                test.quorum,
                test.storage,
                new ElectionTimer(test.context),
                membershipChange,
                stateDigests,
                stateMachine);
        LeaderRequests leaderRequests = new LeaderRequests(
                test.context,
                test.quorum,
                new RaftTransport(transport),
                roles,
                applier,
                new VoterLeases(test.context, test.quorum, log),
                stateDigests);
        return new LogReplicator(
                test.context, test.quorum, log, test.storage, applier, membershipChange, leaderRequests);
    }

    private FakeTransport.Call takeRequest(String address) {
        transport.take().forEach(call -> requests.put(call.address(), call));
        return requests.get(address);
    }

    private List<LogEntry> sentEntries(String address) {
        FakeTransport.Call call = takeRequest(address);
        return ((RaftRequest.Append) RaftMessageCodec.decodeRequest(call.kind(), call.body()))
                .segment()
                .entries();
    }

    private void answer(String address, boolean isAccepted, RaftResponse.Progress progress) {
        FakeTransport.Call call = takeRequest(address);
        requests.remove(address);
        call.callback()
                .accept(RaftMessageCodec.encode(
                        RaftResponse.of(3, isAccepted, true).withProgress(progress)));
    }

    private void assertNothingMoreIsCommitted(String message) {
        assertEquals(1, log.commitIndex(), message);
        assertEquals(List.of(), stateMachine.entries, message);
        assertEquals(List.of(), outcomes, message);
    }

    private void assertBothEntriesAreCommitted() {
        assertEquals(3, log.commitIndex());
        assertEquals(List.of(OLD_ENTRY, LogEntryCodec.encodeNoop()), stateMachine.entries);
        assertEquals(List.of(ProposalOutcome.COMMITTED), outcomes);
    }

    @Test
    void doesNotCommitAnEntryOfAnEarlierTermByCountingReplicas() {
        answer(OTHER_B, true, new PartiallyDurable(2));
        assertNothingMoreIsCommitted("the old entry is on the disks of a majority");
        answer(OTHER_C, true, new PartiallyDurable(2));
        assertNothingMoreIsCommitted("the old entry is on all disks");
        test.completeWrites();
        assertNothingMoreIsCommitted("the entry of the leader's term is on its own disk alone");
    }

    @Test
    void commitsAnEntryOfAnEarlierTermWithOneOfItsOwnTerm() {
        answer(OTHER_B, true, new PartiallyDurable(2));
        test.completeWrites();
        assertNothingMoreIsCommitted("the entry of the leader's term is on its own disk alone");
        test.clock.advance(RaftTestContext.TIMEOUTS.heartbeatMs());
        replicator.replicateDue();
        answer(OTHER_B, true, Complete.INSTANCE);
        assertBothEntriesAreCommitted();
    }

    @Test
    void commitsBothOnceItsOwnDiskHoldsTheEntryOfItsTerm() {
        assertTrue(sentEntries(OTHER_B).contains(new LogEntry(3, 3, LogEntryCodec.encodeNoop())));
        answer(OTHER_B, true, Complete.INSTANCE);
        assertNothingMoreIsCommitted("the entry of the leader's term is on another member's disk alone");
        test.completeWrites();
        assertBothEntriesAreCommitted();
    }
}
