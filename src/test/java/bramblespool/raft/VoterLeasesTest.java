package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An election time is 1000 ms, so that a lease lasts 2000 ms and counts as expired to others after 2200 ms. */
class VoterLeasesTest {
    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final VoterLeases leases = new VoterLeases(test.context, test.quorum, test.raftLog);

    private void receive(long sequence, long answeredSequence) {
        RaftRequest.LeaderHeader header = RaftTestContext.header("b:1#0", 0, sequence, answeredSequence);
        test.quorum.onLeaderRequest(header);
        leases.onLeaderRequest(header);
    }

    @Test
    void followerHoldsALeaseFromTheAnswerThatItsLeaderHasReceived() {
        receive(1, 0);
        assertFalse(leases.isHeld());
        test.clock.advance(500);
        receive(2, 1);
        assertTrue(leases.isHeld());
        test.clock.advance(1499);
        assertTrue(leases.isHeld());
        test.clock.advance(1);
        assertFalse(leases.isHeld(), "2000 ms after the first answer");
    }

    @Test
    void answerToAnotherRequestExtendsNothing() {
        receive(1, 0);
        receive(2, 77);
        assertFalse(leases.isHeld());
    }

    @Test
    void leaderHoldsALeaseWhileAMajorityAnswers() {
        LeaderState leader = test.becomeLeader();
        leader.markReady();
        assertFalse(leases.isHeld());
        FollowerProgress follower = leader.getOrAddFollower("b:1#0", 1, test.clock.nowMs());
        follower.onContact(test.clock.nowMs(), test.clock.nowMs(), 1, RaftResponse.of(1, true, true));
        assertTrue(leases.isHeld());
        test.clock.advance(2000);
        assertFalse(leases.isHeld());
    }

    @Test
    void leasesUnderTheLastLeaderOutliveTheElection() {
        receive(1, 0);
        LeaderState leader = test.becomeLeader();
        assertEquals(List.of("a:1", "b:1", "c:1"), leases.holderAddresses(leader));
        test.clock.advance(1201);
        assertEquals(List.of("a:1", "c:1"), leases.holderAddresses(leader), "the last leader's own ends first");
        test.clock.advance(2000);
        assertEquals(List.of("a:1"), leases.holderAddresses(leader));
    }

    @Test
    void followerThatAnswersCountsAsHolder() {
        LeaderState leader = test.becomeLeader();
        test.clock.advance(5000);
        FollowerProgress follower = leader.getOrAddFollower("b:1#0", 1, 0);
        follower.onContact(test.clock.nowMs(), test.clock.nowMs(), 1, RaftResponse.of(1, true, true));
        test.clock.advance(2199);
        assertEquals(List.of("a:1", "b:1"), leases.holderAddresses(leader));
        test.clock.advance(1);
        assertEquals(List.of("a:1"), leases.holderAddresses(leader));
    }
}
