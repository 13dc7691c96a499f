package bramblespool.raft;

import bramblespool.state.DurableStore;

/**
 * A snapshot, or an entry larger than one request may be, on its way to a member in chunks. Confined to the event loop.
 */
abstract sealed class ChunkedTransfer {
    private final String transferId;
    private final String data;
    private int offset;
    private boolean isOffsetKnown;

    private ChunkedTransfer(String transferId, String data, boolean isOffsetKnown) {
        this.transferId = transferId;
        this.data = data;
        this.isOffsetKnown = isOffsetKnown;
    }

    /** The index that the receiver has on its disk once the last chunk is answered. */
    abstract long lastIndex();

    int totalChars() {
        return data.length();
    }

    MemberProgress.Transfer progress() {
        return new MemberProgress.Transfer(offset, data.length());
    }

    /** How many characters the receiver is known to have. */
    int offset() {
        return offset;
    }

    /**
     * Whether the receiver has said how much it has; of a snapshot it is asked first, for another leader may have
     * begun it.
     */
    boolean isOffsetKnown() {
        return isOffsetKnown;
    }

    /** The chunk that comes next, of no more than so many characters. */
    RaftRequest.Chunk nextChunk(int maxChars) {
        return new RaftRequest.Chunk(
                transferId, data.length(), offset, data.substring(offset, Math.min(data.length(), offset + maxChars)));
    }

    /** The receiver says how many characters it has. */
    void onReceived(int receivedChars) {
        isOffsetKnown = true;
        offset = Math.max(0, Math.min(data.length(), receivedChars));
    }

    /** A snapshot in chunks. */
    static final class OfSnapshot extends ChunkedTransfer {
        private final DurableStore.Snapshot snapshot;

        OfSnapshot(DurableStore.Snapshot snapshot) {
            this(snapshot, SnapshotChecksum.withChecksum(snapshot.data()));
        }

        private OfSnapshot(DurableStore.Snapshot snapshot, String data) {
            // The same for the same data, whoever sends it.
            super(snapshot.index() + "." + snapshot.term() + "." + SnapshotChecksum.shortDigest(data), data, false);
            this.snapshot = snapshot;
        }

        DurableStore.Snapshot snapshot() {
            return snapshot;
        }

        @Override
        long lastIndex() {
            return snapshot.index();
        }
    }

    /** An entry in chunks. */
    static final class OfEntry extends ChunkedTransfer {
        private final DurableStore.LogEntry entry;

        OfEntry(DurableStore.LogEntry entry) {
            super(entry.index() + "." + entry.term(), entry.data(), true);
            this.entry = entry;
        }

        long entryTerm() {
            return entry.term();
        }

        @Override
        long lastIndex() {
            return entry.index();
        }
    }
}
