package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.VoterSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** A leader {@code a:1#0} of three voters whose log has one committed entry. */
class MembershipChangeTest {
    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final FakeStateMachine stateMachine = new FakeStateMachine();
    private final MembershipChange change = new MembershipChange(test.context, test.raftLog, stateMachine, 3);
    private final LeaderState leader = test.becomeLeader();

    MembershipChangeTest() {
        test.raftLog.advanceCommitIndex(1);
        leader.markReady();
        test.clock.advance(RaftTestContext.TIMEOUTS.electionMs() + 1);
        answer("b:1#0");
        answer("c:1#0");
    }

    private void answer(String memberId) {
        FollowerProgress follower = leader.getOrAddFollower(memberId, 2, test.clock.nowMs());
        follower.onContact(test.clock.nowMs(), test.clock.nowMs(), 1, RaftResponse.of(1, true, true));
        follower.onReplicated(1, OptionalLong.empty(), 1);
    }

    private Optional<List<String>> next() {
        return change.nextVoterSet(leader, test.clock.nowMs()).map(VoterSet::encoded);
    }

    @Test
    void groupThatIsWholeStaysAsItIs() {
        change.addLearner("d:1#i");
        answer("d:1#i");
        assertEquals(Optional.empty(), next());
    }

    @Test
    void silentVoterGivesWayToALearnerByJointConsensus() {
        test.clock.advance(RaftTestContext.TIMEOUTS.absentMs());
        change.addLearner("d:1#i");
        answer("b:1#0");
        answer("d:1#i");
        assertEquals(Optional.empty(), next(), "not before the absence time is over");
        test.clock.advance(1);
        assertEquals(Optional.of(List.of("a:1#0", "b:1#0", "-c:1#0", "+d:1#i")), next());
    }

    @Test
    void newIncarnationReplacesTheOldOneAfterAnElectionTime() {
        test.clock.advance(RaftTestContext.TIMEOUTS.electionMs() + 1);
        change.addLearner("c:1#i");
        answer("b:1#0");
        answer("c:1#i");
        assertEquals(Optional.of(List.of("a:1#0", "b:1#0", "-c:1#0", "+c:1#i")), next());
    }

    @Test
    void jointGroupIsLeftOnceItIsCommittedAndSynced() {
        test.raftLog.append(new LogEntry(
                2, 1, LogEntryCodec.encodeVoters(VoterSet.decode(List.of("a:1#0", "b:1#0", "-c:1#0", "+d:1#i")))));
        assertEquals(Optional.empty(), next(), "the change is not committed");
        test.raftLog.advanceCommitIndex(2);
        stateMachine.isSynced = false;
        assertEquals(Optional.empty(), next());
        stateMachine.isSynced = true;
        assertEquals(Optional.of(List.of("a:1#0", "b:1#0", "d:1#i")), next());
    }

    @Test
    void voterMayEndOnceItsCopyIsNotNeeded() {
        assertTrue(change.requestLeave(leader, "c:1#0"));
        test.raftLog.append(new LogEntry(2, 1, "x"));
        test.raftLog.advanceCommitIndex(2);
        assertFalse(change.requestLeave(leader, "c:1#0"), "the new entry is on too few other disks");
        assertTrue(change.requestLeave(leader, "e:1#i"), "no voter");
    }

    @Test
    void voterStaysWhileALearnerIsAboutToTakeItsPlace() {
        change.addLearner("d:1#i");
        answer("d:1#i");
        assertFalse(change.requestLeave(leader, "c:1#0"));
        assertEquals(Optional.of(List.of("a:1#0", "b:1#0", "-c:1#0", "+d:1#i")), next());
    }
}
