package bramblespool.raft;

/** Whether this member may try to lead. Confined to the event loop. */
final class CandidateEligibility {
    private final RaftContext context;
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final LogApplier applier;
    private final LocalMembership localMembership;

    CandidateEligibility(
            RaftContext context,
            RaftLog raftLog,
            RaftStorage storage,
            LogApplier applier,
            LocalMembership localMembership) {
        this.context = context;
        this.raftLog = raftLog;
        this.storage = storage;
        this.applier = applier;
        this.localMembership = localMembership;
    }

    /** A voter that stays, with a disk that works and the group's state. */
    boolean isEligible() {
        return !localMembership.isLeaving()
                && raftLog.voterSet().contains(context.localId())
                && storage.isHealthy()
                && applier.isStateConsistent();
    }
}
