package bramblespool.coordination.controller;

import bramblespool.raft.RaftNode;

/** Whether what this controller knows is recent: whether it could have heard of the leader's latest decisions. */
interface LeaderContact {
    /** Whether this controller has lately heard from the leader or, as the leader, from a majority. */
    boolean isRecent();

    /** The highest term in which this controller has led or heard of a leader. */
    long leaderTerm();

    static LeaderContact of(RaftNode raft) {
        return new LeaderContact() {
            @Override
            public boolean isRecent() {
                return raft.hasLeaderContact() && (!raft.isLeader() || raft.hasLease());
            }

            @Override
            public long leaderTerm() {
                return raft.leaderTerm();
            }
        };
    }
}
