package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * The log as this member holds it: a snapshot of what is folded, and the entries behind it. Some of the entries that the
 * snapshot covers stay in memory, for members that are only a little behind.
 */
final class RaftLog {
    private DurableStore.Snapshot snapshot;
    private final List<DurableStore.LogEntry> entries = new ArrayList<>();
    /** The index and the term of the entry right before the first one held. */
    private long precedingIndex;

    private long precedingTerm;
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
    }

    DurableStore.Snapshot snapshot() {
        return snapshot;
    }

    /** The index up to which the snapshot goes. */
    long snapshotIndex() {
        return snapshot.index();
    }

    long lastIndex() {
        return precedingIndex + entries.size();
    }

    /** The index right before the first entry held. */
    long precedingIndex() {
        return precedingIndex;
    }

    /** How many letters the entries from one index to another hold. */
    long sizeInChars(long firstIndex, long endIndex) {
        long totalChars = 0;
        for (long index = firstIndex; index <= endIndex; index++) {
            totalChars += get(index).data().length();
        }
        return totalChars;
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    long termAt(long index) {
        return index == precedingIndex
                ? precedingTerm
                : index < precedingIndex || index > lastIndex()
                        ? -1
                        : get(index).term();
    }

    DurableStore.LogEntry get(long index) {
        return entries.get((int) (index - precedingIndex - 1));
    }

    void append(DurableStore.LogEntry entry) {
        entries.add(entry);
        cachedVoterSet = null;
    }

    void truncateFrom(long firstIndex) {
        entries.subList((int) (firstIndex - precedingIndex - 1), entries.size()).clear();
        cachedVoterSet = null;
    }

    /**
     * Takes a snapshot of the state as of an index in place of the entries up to there. As many of these stay in memory as
     * are together no larger than the snapshot, which is the better thing to send to whoever lacks more.
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
     * Another member's snapshot in place of what it covers. Answers whether the entries behind it stay: they do where the
     * log holds the last entry that the snapshot covers, for some may be agreed because this member has them.
     */
    boolean installSnapshot(DurableStore.Snapshot newSnapshot) {
        boolean hasMatchingEntry = termAt(newSnapshot.index()) == newSnapshot.term();
        if (hasMatchingEntry) {
            discardUpTo(newSnapshot.index());
        } else {
            entries.clear();
            precedingIndex = newSnapshot.index();
            precedingTerm = newSnapshot.term();
        }
        snapshot = newSnapshot;
        cachedVoterSet = null;
        return hasMatchingEntry;
    }

    /** The voters as the newest entry that names them says, agreed or not. */
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
