package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A voter whose log ends with entry 1 of term 0, in term 0. */
class VoteHandlerTest {
    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final FakeStateMachine stateMachine = new FakeStateMachine();
    private final StateDigests stateDigests = new StateDigests(test.context, test.raftLog);
    private final LogApplier applier =
            new LogApplier(test.context, test.quorum, test.raftLog, test.storage, stateMachine, stateDigests);
    private final ElectionTimer electionTimer = new ElectionTimer(test.context);
    private final RoleTransitions roles = new RoleTransitions(
            test.context,
            test.quorum,
            test.storage,
            electionTimer,
            new MembershipChange(test.context, test.raftLog, stateMachine, 3),
            stateDigests,
            stateMachine);
    private final VoteHandler handler = new VoteHandler(
            test.quorum,
            test.raftLog,
            test.storage,
            applier,
            roles,
            electionTimer,
            new ResponseFactory(test.quorum, test.raftLog, stateMachine));
    private final List<RaftResponse> answers = new ArrayList<>();
    private final ResponseCallback callback = new ResponseCallback() {
        @Override
        public void respond(RaftResponse response) {
            answers.add(response);
        }

        @Override
        public void refuse() {
            throw new AssertionError("a vote is answered");
        }
    };

    private boolean vote(String candidateId, long term, boolean isPreVote, long lastIndex) {
        answers.clear();
        handler.handle(new RaftRequest.Vote("a:1#0", candidateId, term, isPreVote, false, lastIndex, 0), callback);
        test.completeWrites();
        return answers.get(0).isAccepted();
    }

    @Test
    void voteIsAnsweredOnceItIsOnTheDisk() {
        handler.handle(new RaftRequest.Vote("a:1#0", "b:1#0", 1, false, false, 1, 0), callback);
        assertEquals(List.of(), answers);
        test.completeWrites();
        assertTrue(answers.get(0).isAccepted());
        assertEquals("b:1#0", test.changes.get(test.changes.size() - 1).votedFor());
    }

    @Test
    void secondCandidateOfATermGetsNoVote() {
        assertTrue(vote("b:1#0", 1, false, 1));
        assertFalse(vote("c:1#0", 1, false, 1));
        assertTrue(vote("c:1#0", 2, false, 1));
    }

    @Test
    void candidateThatLacksEntriesGetsNoVoteButItsTermCounts() {
        assertFalse(vote("b:1#0", 3, false, 0));
        assertEquals(3, test.quorum.currentTerm());
    }

    @Test
    void preVoteChangesNothing() {
        assertTrue(vote("b:1#0", 1, true, 1));
        assertTrue(vote("c:1#0", 1, true, 1));
        assertFalse(vote("c:1#0", 1, true, 0));
        assertFalse(vote("c:1#0", 0, true, 1), "not a newer term");
        assertEquals(0, test.quorum.currentTerm());
        assertEquals(List.of(), test.changes);
    }

    @Test
    void memberThatHearsALeaderVotesForTheLeadersSuccessorOnly() {
        test.quorum.onLeaderRequest(RaftTestContext.header("b:1#0", 0, 1, 0));
        assertFalse(vote("c:1#0", 1, false, 1));
        handler.handle(new RaftRequest.Vote("a:1#0", "c:1#0", 1, false, true, 1, 0), callback);
        test.completeWrites();
        assertTrue(answers.get(answers.size() - 1).isAccepted());
    }
}
