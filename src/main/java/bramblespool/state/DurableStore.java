package bramblespool.state;

import java.util.List;

/**
 * What a controller keeps on its disk: its part of the replicated log and its registers. Writes take effect in the
 * order in which they are handed over; one that fails is tried again until it succeeds, and until then nothing after
 * it is durable. Confined to the event loop.
 */
public interface DurableStore {
    /** An entry of the replicated log. */
    record LogEntry(long index, long term, String data) {}

    /**
     * The state that all entries up to an index have led to.
     *
     * @param term the term of the entry at that index
     * @param voters the voters as of that index, see {@link VoterSet#encoded}
     * @param data null in the snapshot of an empty log
     */
    record Snapshot(long index, long term, List<String> voters, String data) {}

    /**
     * All of a controller's consensus state.
     *
     * @param incarnation tells this disk from others that the same machine had before
     * @param votedFor whom the vote of the current term went to, or null
     * @param commitIndex up to where entries were known to be committed when something was last written
     * @param snapshot null where there is none
     * @param entries the entries that the snapshot doesn't cover, without gaps
     */
    record PersistentState(
            String incarnation,
            long currentTerm,
            String votedFor,
            long commitIndex,
            Snapshot snapshot,
            List<LogEntry> entries) {}

    /**
     * A change of the consensus state, durable as a whole.
     *
     * @param truncateFrom entries from this index on are removed first; 0 for none
     * @param snapshot replaces the last one and the entries that it covers; null for none
     */
    record Change(
            long currentTerm,
            String votedFor,
            long commitIndex,
            long truncateFrom,
            List<LogEntry> appendedEntries,
            Snapshot snapshot) {}

    /**
     * What an acceptor has promised and accepted for one register.
     *
     * @param registerId empty in rows that are marks of the register layer itself
     * @param promisedProposal written form of a proposal number, or null
     * @param acceptedProposal likewise
     * @param acceptedValue null where nothing was accepted
     */
    record StoredRegister(String registerId, String promisedProposal, String acceptedProposal, String acceptedValue) {}

    /** Whether the disk holds nothing: it is to be initialized before it is loaded or written. */
    boolean isEmpty();

    /**
     * What the disk held when it was opened or initialized.
     *
     * @throws IllegalStateException where it is empty, and after the first write
     */
    PersistentState load();

    /**
     * Whether this disk has held a database that was lost and moved out of the way. It counts as empty then, but was
     * not always so: whoever initializes it again may have voted before.
     */
    default boolean hasQuarantinedDatabase() {
        return false;
    }

    /**
     * Initializes an empty disk, with the entries that a founding member starts from.
     *
     * @throws IllegalStateException where it is not empty
     */
    void initialize(String incarnation, List<LogEntry> initialEntries);

    /** Writes a change. The callback runs on the event loop once it is durable, and not before. */
    void save(Change change, Runnable onDurable);

    /** Writes registers, each in place of the last one of its id. The callback is as for {@link #save}. */
    void saveRegisters(List<StoredRegister> registers, Runnable onDurable);

    /**
     * All registers that were stored and had not expired when the disk was opened, the newest of each id last.
     *
     * @throws IllegalStateException after the first write
     */
    List<StoredRegister> loadRegisters();

    /** To be called once in each period: registers stored more than so many calls ago are removed. */
    void expireRegisters(int retainedPeriods);

    /** Event loop time since which the oldest unfinished write has been waiting, or -1 where there is none. */
    long pendingSinceMs();

    /** Whether the last write failed. */
    boolean isFailing();
}
