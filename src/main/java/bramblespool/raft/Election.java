package bramblespool.raft;

import java.util.function.Consumer;

/**
 * Elections (Raft dissertation, section 3.4), each after a pre-vote (section 9.6), so that a member that was cut off
 * disturbs nobody when it is back. Confined to the event loop.
 */
final class Election {
    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftTransport transport;
    private final RaftStorage storage;
    private final RoleTransitions roles;
    private final Consumer<LeaderState> onElected;

    /** @param onElected called with the new leadership of this member */
    Election(
            RaftContext context,
            QuorumState quorum,
            RaftLog raftLog,
            RaftTransport transport,
            RaftStorage storage,
            RoleTransitions roles,
            Consumer<LeaderState> onElected) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.transport = transport;
        this.storage = storage;
        this.roles = roles;
        this.onElected = onElected;
    }

    /** Asks the others whether they would vote for this member, and starts an election if a majority would. */
    void startPreVote() {
        roles.startPreVote();
        long requestedTerm = quorum.currentTerm() + 1;
        VoteTally tally = new VoteTally();
        if (onPreVoteGranted(tally, requestedTerm, context.localId())) {
            return;
        }
        requestVotes(true, false, requestedTerm, voter -> onPreVoteGranted(tally, requestedTerm, voter));
    }

    /** Answers whether the election has begun with this vote. */
    private boolean onPreVoteGranted(VoteTally tally, long requestedTerm, String voterId) {
        tally.add(voterId);
        if (quorum.isLeader()
                || quorum.currentTerm() + 1 != requestedTerm
                || !tally.winOnMajority(raftLog.voterSet())) {
            return false;
        }
        startElection(false);
        return true;
    }

    /** The last leader hands over to this member: the others need not wait for that one's silence. */
    void startElectionAfterTransfer() {
        startElection(true);
    }

    private void startElection(boolean isLeadershipTransfer) {
        CandidateState candidate = roles.becomeCandidate();
        // The vote for itself counts once it is on the disk.
        storage.saveTermAndVote(() -> onVoteGranted(candidate, context.localId()));
        requestVotes(false, isLeadershipTransfer, quorum.currentTerm(), voter -> onVoteGranted(candidate, voter));
    }

    private void onVoteGranted(CandidateState candidate, String voterId) {
        if (quorum.isCurrent(candidate) && candidate.recordVote(voterId, raftLog.voterSet())) {
            onElected.accept(roles.becomeLeader());
        }
    }

    private void requestVotes(
            boolean isPreVote, boolean isLeadershipTransfer, long requestedTerm, Consumer<String> onGranted) {
        for (String voter : raftLog.voterSet().all()) {
            if (context.isLocal(voter)) {
                continue;
            }
            RaftRequest.Vote request = new RaftRequest.Vote(
                    voter,
                    context.localId(),
                    requestedTerm,
                    isPreVote,
                    isLeadershipTransfer,
                    raftLog.lastIndex(),
                    raftLog.lastTerm());
            transport.send(request, context.timeouts().requestMs(), response -> {
                long knownTerm = isPreVote ? Math.max(quorum.currentTerm(), requestedTerm) : quorum.currentTerm();
                if (response.term() > knownTerm) {
                    roles.stepDown(response.term(), "newer term");
                } else if (response.isAccepted()) {
                    onGranted.accept(voter);
                }
            });
        }
    }
}
