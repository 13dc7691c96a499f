package bramblespool.raft;

import bramblespool.state.DurableStore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A follower's part in the replication of the log (Raft dissertation, section 3.5). Confined to the event loop. */
final class AppendHandler {
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final LogApplier applier;
    private final FollowerWriter writer;
    private final ResponseFactory responses;

    AppendHandler(
            RaftLog raftLog,
            RaftStorage storage,
            LogApplier applier,
            FollowerWriter writer,
            ResponseFactory responses) {
        this.raftLog = raftLog;
        this.storage = storage;
        this.applier = applier;
        this.writer = writer;
        this.responses = responses;
    }

    /** Without an intact snapshot no entry fits; from the first index on the leader has a snapshot to send. */
    void handle(RaftRequest.Append request, Consumer<RaftResponse> callback) {
        if (applier.isSnapshotIntact()) {
            append(request.segment(), callback);
        } else {
            callback.accept(responses.logMismatch(0));
        }
    }

    /** Takes the entries if the log holds the one before them, and answers once they are on the disk. */
    void append(RaftRequest.LogSegment segment, Consumer<RaftResponse> callback) {
        long previousIndex = segment.previousIndex();
        if (!hasPreviousEntry(segment)) {
            callback.accept(responses.logMismatch(Math.min(raftLog.lastIndex(), previousIndex - 1)));
            return;
        }
        List<DurableStore.LogEntry> appended = new ArrayList<>();
        long truncateFrom = appendToLog(segment.entries(), appended);
        long newCommitIndex = Math.min(
                segment.commitIndex(), previousIndex + segment.entries().size());
        if (appended.isEmpty() && truncateFrom == 0 && !storage.hasPendingWrites()) {
            callback.accept(responses.accepted());
        } else {
            writer.writeEntries(truncateFrom, appended, callback);
        }
        if (newCommitIndex > raftLog.commitIndex()) {
            raftLog.advanceCommitIndex(newCommitIndex);
            applier.applyCommitted();
        }
    }

    /** Where the snapshot covers the entry before the ones sent, it is committed and so the leader's as well. */
    private boolean hasPreviousEntry(RaftRequest.LogSegment segment) {
        long previousIndex = segment.previousIndex();
        return previousIndex <= raftLog.lastIndex()
                && (previousIndex < raftLog.snapshotIndex() || raftLog.termAt(previousIndex) == segment.previousTerm());
    }

    /**
     * Adds the entries that are not held, in place of those that conflict with them.
     *
     * @param appended takes the entries that were added
     * @return the first index that was removed, 0 for none
     */
    private long appendToLog(List<DurableStore.LogEntry> received, List<DurableStore.LogEntry> appended) {
        long truncateFrom = 0;
        for (DurableStore.LogEntry entry : received) {
            long index = entry.index();
            if (index <= raftLog.snapshotIndex()) {
                continue;
            }
            if (index <= raftLog.lastIndex() && raftLog.termAt(index) != entry.term()) {
                truncateFrom = index;
                raftLog.truncateFrom(index);
            }
            if (index > raftLog.lastIndex()) {
                raftLog.append(entry);
                appended.add(entry);
            }
        }
        return truncateFrom;
    }
}
