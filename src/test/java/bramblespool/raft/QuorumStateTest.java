package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class QuorumStateTest {
    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final QuorumState quorum = test.quorum;

    @Test
    void candidateVotesForItselfInANewTerm() {
        quorum.becomeCandidate();
        assertEquals(1, quorum.currentTerm());
        assertEquals("a:1#0", quorum.votedFor());
        assertFalse(quorum.isFollower());
        assertFalse(quorum.grantVote("b:1#0"));
    }

    @Test
    void oneVoteIsGivenInATerm() {
        assertTrue(quorum.grantVote("b:1#0"));
        assertTrue(quorum.grantVote("b:1#0"), "to the same candidate again");
        assertFalse(quorum.grantVote("c:1#0"));
        assertTrue(quorum.becomeFollower(1));
        assertTrue(quorum.grantVote("c:1#0"));
    }

    @Test
    void termNeverGoesBack() {
        assertTrue(quorum.becomeFollower(5));
        assertFalse(quorum.becomeFollower(4));
        assertEquals(5, quorum.currentTerm());
        assertNull(quorum.votedFor());
    }

    @Test
    void formerLeaderForgetsItsRole() {
        LeaderState leader = test.becomeLeader();
        assertTrue(quorum.isCurrent(leader));
        assertEquals(Optional.of("a:1#0"), quorum.leaderId());
        assertFalse(quorum.becomeFollower(1));
        assertFalse(quorum.isCurrent(leader));
        assertEquals(Optional.empty(), quorum.leaderId());
        assertEquals(1, quorum.leaderTerm());
    }

    @Test
    void followerKeepsTheLeaderOfTheTermBefore() {
        quorum.onLeaderRequest(RaftTestContext.header("b:1#0", 0, 1, 0));
        quorum.becomeFollower(1);
        assertEquals(Optional.of("b:1#0"), quorum.leaderId());
        assertTrue(quorum.hasRecentLeader());
        quorum.becomeCandidate();
        assertEquals(Optional.empty(), quorum.leaderId());
    }

    @Test
    void leaderIsRecentForOneElectionTimeAndInContactForTwo() {
        assertFalse(quorum.hasRecentLeader());
        quorum.onLeaderRequest(RaftTestContext.header("b:1#0", 0, 1, 0));
        test.clock.advance(999);
        assertTrue(quorum.hasRecentLeader());
        test.clock.advance(1);
        assertFalse(quorum.hasRecentLeader());
        assertTrue(quorum.hasLeaderContact());
        test.clock.advance(1000);
        assertFalse(quorum.hasLeaderContact());
    }

    @Test
    void leaderCountsAsInContactOnceItIsReady() {
        LeaderState leader = test.becomeLeader();
        assertTrue(quorum.hasRecentLeader());
        assertFalse(quorum.hasLeaderContact());
        leader.markReady();
        assertTrue(quorum.isReadyLeader());
        assertTrue(quorum.hasLeaderContact());
    }
}
