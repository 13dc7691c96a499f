package bramblespool.raft;

/**
 * The replicated state machine on top of the log. Entries and snapshots are opaque text to this package, save for its
 * own entries ({@link LogEntryCodec}), which reach the state machine like any other. Confined to the event loop.
 */
public interface StateMachine {
    /**
     * Applies a committed entry. Called once for each index, in order.
     *
     * @param index the entry's index in the log
     * @param entry the entry's text, as it was proposed
     */
    void apply(long index, String entry);

    /** The whole state after the last applied entry; equal states give equal text. */
    String snapshot();

    /** Replaces the state by one that {@link #snapshot} gave on some member. */
    void restore(String snapshot);

    /**
     * Called with true once this member leads and has applied all entries committed before, with false when it ceases
     * to.
     */
    void onLeadershipChanged(boolean isLeader);

    /** Whether this member, as a voter, holds everything the previous voters had agreed on besides the log. */
    boolean isSynced();
}
