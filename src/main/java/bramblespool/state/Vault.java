package bramblespool.state;

import java.util.List;

/** The durable store of a helm. Changes take effect in order; one that fails is tried again until it holds. */
public interface Vault {
    record Entry(long index, long term, String data) {}

    record Snapshot(long index, long term, List<String> voters, String data) {}

    /** {@code commit}: up to where entries were known to be agreed when something was last written. */
    record Saved(String incarnation, long term, String vote, long commit, Snapshot snapshot, List<Entry> entries) {}

    /** Vote and term, removal of entries from an index on (0: none), entries to add, a snapshot that replaces what it covers. */
    record Change(long term, String vote, long commit, long truncateFrom, List<Entry> append, Snapshot snapshot) {}

    /**
     * An acceptor's word on one register: the ballot it has promised, and what it has accepted under which; ballots in
     * their written form, null where there is none. A row without an id is the store's own mark.
     */
    record Kept(String id, String promised, String accepted, String value) {}

    /** What the disk held when it was opened or founded, null where it is empty; to be asked before the first change. */
    Saved load();

    /**
     * Whether this disk has held a store that was lost and set aside. It is empty then, but was not always: whoever
     * founds it anew may have voted before.
     */
    default boolean setAside() {
        return false;
    }

    /** Founds an empty disk, with the entries a founding member starts from. */
    void found(String incarnation, List<Entry> first);

    /** The callback comes on the loop once the change is durable, and not before. */
    void save(Change change, Runnable durable);

    /** Keeps words on registers, each in place of the last one of that id; one write with all that waits. */
    void keep(List<Kept> words, Runnable durable);

    /** All words kept and not yet faded when it was opened, the newest of each id last; asked for as {@link #load}. */
    List<Kept> kept();

    /** To be called once in each part of a register's life: words older than {@code parts} calls are removed. */
    void fade(int parts);

    /** Since when (loop time) the oldest unfinished change has been waiting, or -1. */
    long waitingSince();

    /** Whether the last attempt failed. */
    boolean failing();
}
