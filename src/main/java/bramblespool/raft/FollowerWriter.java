package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.transport.Clock;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes what a leader has sent to the disk, and answers when it is there, and what was handed to the disk before.
 * Where that takes long it answers how far the disk is, so that a slow disk is not taken for a slow link and what
 * follows need not wait for it; unless the disk hangs, for then this member is not to be counted on. Confined to the
 * event loop.
 */
final class FollowerWriter {
    /** Ratio to the heartbeat's interval of the time after which it answers without the disk. */
    private static final int EARLY_RESPONSE_DIVISOR = 2;

    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final ResponseFactory responses;

    FollowerWriter(
            RaftContext context, QuorumState quorum, RaftLog raftLog, RaftStorage storage, ResponseFactory responses) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.storage = storage;
        this.responses = responses;
    }

    /** Answers once all that was written before is on the disk. */
    void respondWhenDurable(Consumer<RaftResponse> callback) {
        write(0, List.of(), null, 0, 0, callback);
    }

    /** @param truncateFrom the first index to remove before the entries are added; 0 for none */
    void writeEntries(long truncateFrom, List<DurableStore.LogEntry> entries, Consumer<RaftResponse> callback) {
        if (entries.isEmpty()) {
            write(truncateFrom, entries, null, 0, 0, callback);
            return;
        }
        DurableStore.LogEntry last = entries.get(entries.size() - 1);
        write(truncateFrom, entries, null, last.index(), last.term(), callback);
    }

    /** @param keepsEntries whether the entries behind the snapshot stay on the disk */
    void writeSnapshot(DurableStore.Snapshot snapshot, boolean keepsEntries, Consumer<RaftResponse> callback) {
        write(keepsEntries ? 0 : 1, List.of(), snapshot, snapshot.index(), snapshot.term(), callback);
    }

    /** @param lastIndex the index that is on the disk with this write; 0 where it adds none */
    private void write(
            long truncateFrom,
            List<DurableStore.LogEntry> entries,
            DurableStore.Snapshot snapshot,
            long lastIndex,
            long lastTerm,
            Consumer<RaftResponse> callback) {
        PendingResponse pending = new PendingResponse(responses.accepted(), callback);
        storage.save(truncateFrom, entries, snapshot, () -> {
            if (lastIndex > 0) {
                raftLog.markDurable(lastIndex, lastTerm);
            }
            pending.onDurable();
        });
        pending.startTimer();
    }

    /** An answer that is given once, by the disk or by the timer. */
    private final class PendingResponse {
        private final long requestTerm = quorum.currentTerm();
        private final RaftResponse response;
        private final Consumer<RaftResponse> callback;
        private Clock.Timer earlyResponseTimer;
        private boolean isAnswered;

        PendingResponse(RaftResponse response, Consumer<RaftResponse> callback) {
            this.response = response;
            this.callback = callback;
        }

        void startTimer() {
            earlyResponseTimer = context.clock()
                    .schedule(context.timeouts().heartbeatMs() / EARLY_RESPONSE_DIVISOR, this::respondEarly);
        }

        void onDurable() {
            if (isAnswered) {
                return;
            }
            isAnswered = true;
            if (earlyResponseTimer != null) {
                earlyResponseTimer.cancel();
            }
            callback.accept(response);
        }

        private void respondEarly() {
            if (!isAnswered && quorum.currentTerm() == requestTerm && storage.isHealthy()) {
                isAnswered = true;
                callback.accept(response.withProgress(new RaftResponse.PartiallyDurable(raftLog.durableIndex())));
            }
        }
    }
}
