package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The changes of role with all that they entail. Confined to the event loop. */
final class RoleTransitions {
    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftStorage storage;
    private final ElectionTimer electionTimer;
    private final MembershipChange membershipChange;
    private final StateDigests stateDigests;
    private final StateMachine stateMachine;

    RoleTransitions(
            RaftContext context,
            QuorumState quorum,
            RaftStorage storage,
            ElectionTimer electionTimer,
            MembershipChange membershipChange,
            StateDigests stateDigests,
            StateMachine stateMachine) {
        this.context = context;
        this.quorum = quorum;
        this.storage = storage;
        this.electionTimer = electionTimer;
        this.membershipChange = membershipChange;
        this.stateDigests = stateDigests;
        this.stateMachine = stateMachine;
    }

    /** Asks for votes without entering a new term: only the time of the next try changes. */
    void startPreVote() {
        electionTimer.onPreVoteStarted();
    }

    /** Enters a new term as a candidate with this member's own vote, which is yet to be saved. */
    CandidateState becomeCandidate() {
        CandidateState candidate = quorum.becomeCandidate();
        context.log().log(Event.ELECTION_STARTED, "term", quorum.currentTerm());
        electionTimer.onElectionStarted();
        return candidate;
    }

    /** Leads the current term; whoever calls this has the first entry of the term appended. */
    LeaderState becomeLeader() {
        LeaderState leader = quorum.becomeLeader();
        electionTimer.onLeaderKnown();
        stateDigests.clearReported();
        context.log().log(Event.LEADER_ELECTED, "term", quorum.currentTerm());
        return leader;
    }

    /** The first entry of the leader's term is committed. */
    void onLeaderReady(LeaderState leader) {
        if (quorum.isCurrent(leader)) {
            leader.markReady();
            stateMachine.onLeadershipChanged(true);
        }
    }

    /** Follows whoever sent a leader's request; false where its term is over and the request is to be rejected. */
    boolean followLeader(RaftRequest.LeaderHeader header) {
        if (header.term() < quorum.currentTerm()) {
            return false;
        }
        if (header.term() > quorum.currentTerm() || !quorum.isFollower()) {
            stepDown(header.term(), "another leads");
        }
        quorum.onLeaderRequest(header);
        electionTimer.postpone();
        electionTimer.onLeaderKnown();
        return true;
    }

    /**
     * Follows in that term or in the current one, whichever is higher. A leader's proposals and reads end.
     *
     * @param reason for the log
     */
    void stepDown(long term, String reason) {
        Optional<LeaderState> formerLeader = quorum.leader();
        boolean isNewerTerm = quorum.becomeFollower(term);
        formerLeader.ifPresent(leader -> onLeadershipLost(leader, reason));
        electionTimer.postpone();
        if (isNewerTerm) {
            storage.saveTermAndVote(() -> {});
        }
    }

    private void onLeadershipLost(LeaderState leader, String reason) {
        context.log().log(Event.STEPPED_DOWN, "term", quorum.currentTerm(), "cause", reason);
        membershipChange.clear();
        List<Consumer<ProposalOutcome>> proposals = leader.drainProposals();
        List<Consumer<LeadershipConfirmation>> reads = leader.readIndex().drain();
        if (leader.isReady()) {
            stateMachine.onLeadershipChanged(false);
        }
        proposals.forEach(callback -> callback.accept(ProposalOutcome.LEADERSHIP_LOST));
        reads.forEach(callback -> callback.accept(LeadershipConfirmation.NOT_CONFIRMED));
    }
}
