package bramblespool.raft;

/** Makes responses that carry this member's present term and state. Confined to the event loop. */
final class ResponseFactory {
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final StateMachine stateMachine;

    ResponseFactory(QuorumState quorum, RaftLog raftLog, StateMachine stateMachine) {
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.stateMachine = stateMachine;
    }

    RaftResponse accepted() {
        return of(true);
    }

    RaftResponse rejected() {
        return of(false);
    }

    RaftResponse of(boolean isAccepted) {
        return RaftResponse.of(quorum.currentTerm(), isAccepted, stateMachine.isSynced());
    }

    /** Rejects a leader whose term is over. */
    RaftResponse staleTerm() {
        return logMismatch(raftLog.lastIndex());
    }

    /** Rejects entries that do not fit the log. */
    RaftResponse logMismatch(long lastIndexHint) {
        return rejected().withProgress(new RaftResponse.LogMismatch(lastIndexHint));
    }
}
