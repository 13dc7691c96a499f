package bramblespool.raft;

/** Answers requests for votes (Raft dissertation, sections 3.4, 3.6.1 and 9.6). Confined to the event loop. */
final class VoteHandler {
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final LogApplier applier;
    private final RoleTransitions roles;
    private final ElectionTimer electionTimer;
    private final ResponseFactory responses;

    VoteHandler(
            QuorumState quorum,
            RaftLog raftLog,
            RaftStorage storage,
            LogApplier applier,
            RoleTransitions roles,
            ElectionTimer electionTimer,
            ResponseFactory responses) {
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.storage = storage;
        this.applier = applier;
        this.roles = roles;
        this.electionTimer = electionTimer;
        this.responses = responses;
    }

    void handle(RaftRequest.Vote request, ResponseCallback callback) {
        if (!applier.isSnapshotIntact()
                || !storage.isHealthy()
                || quorum.hasRecentLeader() && !request.isLeadershipTransfer()
                || request.term() < quorum.currentTerm()) {
            callback.respond(responses.rejected());
            return;
        }
        if (request.isPreVote()) {
            callback.respond(responses.of(request.term() > quorum.currentTerm() && isUpToDate(request)));
            return;
        }
        if (request.term() > quorum.currentTerm()) {
            roles.stepDown(request.term(), "vote asked");
        }
        if (!isUpToDate(request) || !quorum.grantVote(request.candidateId())) {
            callback.respond(responses.rejected());
            return;
        }
        electionTimer.postpone();
        RaftResponse response = responses.accepted();
        // A vote that is not on the disk could be given again after a restart.
        storage.saveTermAndVote(() -> callback.respond(response));
    }

    /** Whether the candidate's log is at least as complete as this member's (section 3.6.1). */
    private boolean isUpToDate(RaftRequest.Vote request) {
        return request.lastTerm() > raftLog.lastTerm()
                || request.lastTerm() == raftLog.lastTerm() && request.lastIndex() >= raftLog.lastIndex();
    }
}
