package bramblespool.raft;

import bramblespool.state.DurableStore;
import java.util.List;

/** Writes of term, vote, commit index, entries and snapshots to the durable store. Confined to the event loop. */
final class RaftStorage {
    private final DurableStore durableStore;
    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;

    RaftStorage(DurableStore durableStore, RaftContext context, QuorumState quorum, RaftLog raftLog) {
        this.durableStore = durableStore;
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
    }

    /** Saves term, vote and commit index. */
    void saveTermAndVote(Runnable onDurable) {
        save(0, List.of(), null, onDurable);
    }

    /** Adds entries behind those there are. */
    void append(List<DurableStore.LogEntry> entries, Runnable onDurable) {
        save(0, entries, null, onDurable);
    }

    /**
     * Saves one change, and term, vote and commit index with it.
     *
     * @param truncateFrom the first index to remove before the entries are added; 0 for none
     * @param snapshot replaces the entries that it covers; null for none
     * @param onDurable called once this change and all before it are on the disk
     */
    void save(
            long truncateFrom,
            List<DurableStore.LogEntry> appendedEntries,
            DurableStore.Snapshot snapshot,
            Runnable onDurable) {
        durableStore.save(
                new DurableStore.Change(
                        quorum.currentTerm(),
                        quorum.votedFor(),
                        raftLog.commitIndex(),
                        truncateFrom,
                        List.copyOf(appendedEntries),
                        snapshot),
                onDurable);
    }

    /** Whether changes wait for the disk. */
    boolean hasPendingWrites() {
        return durableStore.pendingSinceMs() >= 0;
    }

    /** Whether the disk takes changes, and within an election's time. */
    boolean isHealthy() {
        long pendingSinceMs = durableStore.pendingSinceMs();
        return !durableStore.isFailing()
                && (pendingSinceMs < 0
                        || context.nowMs() - pendingSinceMs < context.timeouts().electionMs());
    }
}
