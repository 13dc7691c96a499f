package bramblespool.coordination.controller;

import bramblespool.raft.RaftNode;

/** Whether what this controller knows is recent: whether it could know the leader's latest decisions. */
interface LeaderContact {
    /** Whether the leader, or a majority where this controller leads, was in contact with it lately. */
    boolean isRecent();

    /** The highest term in which this controller has led or knows of a leader. */
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
