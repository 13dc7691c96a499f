package bramblespool.raft;

/** What became of a proposed entry, as far as the member that proposed it can know. */
public enum ProposalOutcome {
    /** The entry is committed and applied on this member. */
    COMMITTED,
    /**
     * This member does not lead, or ceased to before the entry was committed: the entry may yet be committed or not.
     */
    LEADERSHIP_LOST
}
