package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * The log as this member holds it: a snapshot, the entries behind it, and how much is committed and on the disk. Some
 * of the entries that the snapshot covers stay in memory, for members that are only a little behind. Confined to the
 * event loop.
 */
final class RaftLog {
    /** Stands for the term of an entry that is not held; on the wire as well. */
    static final long UNKNOWN_TERM = -1;

    private DurableStore.Snapshot snapshot;
    private final List<DurableStore.LogEntry> entries = new ArrayList<>();
    /** The index and the term of the entry right before the first one held. */
    private long precedingIndex;

    private long precedingTerm;
    private long commitIndex;
    private long durableIndex;
    /** What {@link #voterSet} found; null after entries have changed. */
    private VoterSet cachedVoterSet;

    RaftLog(DurableStore.PersistentState persistentState) {
        snapshot = persistentState.snapshot() != null
                ? persistentState.snapshot()
                : new DurableStore.Snapshot(0, 0, List.of(), null);
        precedingIndex = snapshot.index();
        precedingTerm = snapshot.term();
        for (DurableStore.LogEntry entry : persistentState.entries()) {
            if (entry.index() == lastIndex() + 1) {
                entries.add(entry);
            }
        }
        commitIndex = Math.max(snapshotIndex(), Math.min(persistentState.commitIndex(), lastIndex()));
        durableIndex = lastIndex();
    }

    /** The highest index known to be committed; it may be above the last index held. */
    long commitIndex() {
        return commitIndex;
    }

    void advanceCommitIndex(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /** The highest index that is on this member's disk. */
    long durableIndex() {
        return durableIndex;
    }

    /** The entries up to this one are on the disk; they may have been truncated since, and others be in their place. */
    void markDurable(long index, long term) {
        if (index <= snapshotIndex() || termAt(index) == term) {
            durableIndex = Math.max(durableIndex, index);
        }
    }

    /** The newest snapshot; one of index 0 without data where none was taken. */
    DurableStore.Snapshot snapshot() {
        return snapshot;
    }

    /** The index up to which the snapshot goes. */
    long snapshotIndex() {
        return snapshot.index();
    }

    /** The index of the last entry, committed or not. */
    long lastIndex() {
        return precedingIndex + entries.size();
    }

    /** The index right before the first entry held. */
    long precedingIndex() {
        return precedingIndex;
    }

    /** How many characters the entries from one index to another hold. */
    long sizeInChars(long firstIndex, long endIndex) {
        long totalChars = 0;
        for (long index = firstIndex; index <= endIndex; index++) {
            totalChars += get(index).data().length();
        }
        return totalChars;
    }

    /** The term of the last entry, or of the snapshot where there is none behind it. */
    long lastTerm() {
        return termAt(lastIndex());
    }

    /** The term of the entry at this index, or {@link #UNKNOWN_TERM}. */
    long termAt(long index) {
        return index == precedingIndex
                ? precedingTerm
                : index < precedingIndex || index > lastIndex()
                        ? UNKNOWN_TERM
                        : get(index).term();
    }

    /** The entry at an index above {@link #precedingIndex} and up to {@link #lastIndex}. */
    DurableStore.LogEntry get(long index) {
        return entries.get((int) (index - precedingIndex - 1));
    }

    /** Adds the entry that follows the last one. */
    void append(DurableStore.LogEntry entry) {
        entries.add(entry);
        cachedVoterSet = null;
    }

    /** Removes the entries from this index on, which are held and not committed. */
    void truncateFrom(long firstIndex) {
        durableIndex = Math.min(durableIndex, firstIndex - 1);
        entries.subList((int) (firstIndex - precedingIndex - 1), entries.size()).clear();
        cachedVoterSet = null;
    }

    /**
     * Takes a snapshot of the state as of an index in place of the entries up to there. As many of these stay in
     * memory as are together no larger than the snapshot, which is the better thing to send to whoever lacks more.
     */
    void compact(long upToIndex, String snapshotData) {
        List<String> votersAtIndex = snapshot.voters();
        for (long i = snapshotIndex() + 1; i <= upToIndex; i++) {
            if (LogEntryCodec.isVotersEntry(get(i).data())) {
                votersAtIndex = LogEntryCodec.decodeVoters(get(i).data());
            }
        }
        snapshot = new DurableStore.Snapshot(upToIndex, termAt(upToIndex), votersAtIndex, snapshotData);
        long discardIndex = upToIndex;
        long retainedChars = 0;
        while (discardIndex > precedingIndex
                && retainedChars + get(discardIndex).data().length() <= snapshotData.length()) {
            retainedChars += get(discardIndex).data().length();
            discardIndex--;
        }
        discardUpTo(discardIndex);
        cachedVoterSet = null;
    }

    private void discardUpTo(long upToIndex) {
        long termAtIndex = termAt(upToIndex);
        entries.subList(0, (int) (upToIndex - precedingIndex)).clear();
        precedingIndex = upToIndex;
        precedingTerm = termAtIndex;
    }

    /**
     * Puts another member's snapshot in place of what it covers.
     *
     * @return whether the entries behind it stay: they do where the log holds the last entry that the snapshot
     *     covers, for some may be committed because this member has them
     */
    boolean installSnapshot(DurableStore.Snapshot newSnapshot) {
        boolean hasMatchingEntry = termAt(newSnapshot.index()) == newSnapshot.term();
        if (hasMatchingEntry) {
            discardUpTo(newSnapshot.index());
        } else {
            durableIndex = Math.min(durableIndex, snapshotIndex());
            entries.clear();
            precedingIndex = newSnapshot.index();
            precedingTerm = newSnapshot.term();
        }
        snapshot = newSnapshot;
        commitIndex = Math.max(commitIndex, newSnapshot.index());
        cachedVoterSet = null;
        return hasMatchingEntry;
    }

    /** The voters as the newest entry that names them says, committed or not. */
    VoterSet voterSet() {
        if (cachedVoterSet == null) {
            cachedVoterSet = VoterSet.decode(findNewestVoters());
        }
        return cachedVoterSet;
    }

    private List<String> findNewestVoters() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (LogEntryCodec.isVotersEntry(entries.get(i).data())) {
                return LogEntryCodec.decodeVoters(entries.get(i).data());
            }
        }
        return snapshot.voters();
    }

    /** Whether an entry behind this index names voters. */
    boolean hasVotersEntryAfter(long afterIndex) {
        for (long i = Math.max(afterIndex, snapshotIndex()) + 1; i <= lastIndex(); i++) {
            if (LogEntryCodec.isVotersEntry(get(i).data())) {
                return true;
            }
        }
        return false;
    }
}
