package bramblespool.raft;

/** The result of asking a majority whether this member still leads (ReadIndex, Raft dissertation section 6.4). */
public enum LeadershipConfirmation {
    /** A majority acknowledged this leader after the question was put: what it has applied is current. */
    CONFIRMED,
    /** This member does not lead, or no majority answered in time. */
    NOT_CONFIRMED
}
