package bramblespool.state;

import java.util.List;

/** The durable store of a helm. Changes take effect in order; one that fails is tried again until it holds. */
public interface DurableStore {
    record LogEntry(long index, long term, String data) {}

    record Snapshot(long index, long term, List<String> voters, String data) {}

    /** {@code commit}: up to where entries were known to be agreed when something was last written. */
    record PersistentState(
            String incarnation,
            long currentTerm,
            String votedFor,
            long commitIndex,
            Snapshot snapshot,
            List<LogEntry> entries) {}

    /** Vote and term, removal of entries from an index on (0: none), entries to add, a snapshot that replaces what it covers. */
    record Change(
            long currentTerm,
            String votedFor,
            long commitIndex,
            long truncateFrom,
            List<LogEntry> appendedEntries,
            Snapshot snapshot) {}

    /**
     * An acceptor's word on one register: the ballot it has promised, and what it has accepted under which; ballots in
     * their written form, null where there is none. A row without an id is the store's own mark.
     */
    record StoredRegister(String registerId, String promisedProposal, String acceptedProposal, String acceptedValue) {}

    /** What the disk held when it was opened or founded, null where it is empty; to be asked before the first change. */
    PersistentState load();

    /**
     * Whether this disk has held a store that was lost and set aside. It is empty then, but was not always: whoever
     * founds it anew may have voted before.
     */
    default boolean hasQuarantinedDatabase() {
        return false;
    }

    /** Founds an empty disk, with the entries a founding member starts from. */
    void initialize(String incarnation, List<LogEntry> initialEntries);

    /** The callback comes on the loop once the change is durable, and not before. */
    void save(Change change, Runnable onDurable);

    /** Keeps words on registers, each in place of the last one of that id; one write with all that waits. */
    void saveRegisters(List<StoredRegister> registers, Runnable onDurable);

    /** All words kept and not yet faded when it was opened, the newest of each id last; asked for as {@link #load}. */
    List<StoredRegister> loadRegisters();

    /** To be called once in each part of a register's life: words older than {@code parts} calls are removed. */
    void expireRegisters(int retainedPeriods);

    /** Since when (loop time) the oldest unfinished change has been waiting, or -1. */
    long pendingSinceMs();

    /** Whether the last attempt failed. */
    boolean isFailing();
}
