package bramblespool.raft;

/** Answers members that ask to join, to leave, or to take over the lead. Confined to the event loop. */
final class MembershipHandler {
    private final QuorumState quorum;
    private final MembershipChange membershipChange;
    private final CandidateEligibility eligibility;
    private final Election election;
    private final ResponseFactory responses;

    MembershipHandler(
            QuorumState quorum,
            MembershipChange membershipChange,
            CandidateEligibility eligibility,
            Election election,
            ResponseFactory responses) {
        this.quorum = quorum;
        this.membershipChange = membershipChange;
        this.eligibility = eligibility;
        this.election = election;
        this.responses = responses;
    }

    /** Accepted by whoever leads; only a leader that is ready remembers it. */
    RaftResponse handle(RaftRequest.Join request) {
        if (quorum.isReadyLeader()) {
            membershipChange.addLearner(request.memberId());
        }
        return responses.of(quorum.isLeader());
    }

    /** Accepted once the member may end. */
    RaftResponse handle(RaftRequest.Leave request) {
        boolean mayEnd = quorum.leader()
                .filter(LeaderState::isReady)
                .map(leader -> membershipChange.requestLeave(leader, request.memberId()))
                .orElse(false);
        return responses.of(mayEnd);
    }

    /** Starts an election at once, where this member may lead. */
    RaftResponse handle(RaftRequest.TransferLeadership request) {
        if (request.term() == quorum.currentTerm() && quorum.isFollower() && eligibility.isEligible()) {
            request.learners().forEach(membershipChange::addLearner);
            election.startElectionAfterTransfer();
        }
        return responses.accepted();
    }
}
