package bramblespool.raft;

import bramblespool.state.DurableStore;

/** A snapshot, or an entry larger than one message may be, on its way to a member in parts. */
final class ChunkedTransfer {
    /** One of the two. */
    final DurableStore.Snapshot snapshot;

    final DurableStore.LogEntry entry;
    /** What is the same for the same data, whoever sends it. */
    final String transferId;

    final String data;
    /** How much of it the receiver is known to have; of a snapshot it is asked first, for another leader may have begun it. */
    int offset;

    boolean isOffsetKnown;

    ChunkedTransfer(DurableStore.Snapshot snapshot) {
        this.snapshot = snapshot;
        this.entry = null;
        this.data = SnapshotChecksum.hasChecksum(snapshot.data())
                ? snapshot.data()
                : SnapshotChecksum.addChecksum(snapshot.data());
        this.transferId = snapshot.index() + "." + snapshot.term() + "." + SnapshotChecksum.shortDigest(data);
    }

    ChunkedTransfer(DurableStore.LogEntry entry) {
        this.snapshot = null;
        this.entry = entry;
        this.data = entry.data();
        this.transferId = entry.index() + "." + entry.term();
        this.isOffsetKnown = true;
    }

    /** The index that the receiver has on its disk once the last part is answered. */
    long lastIndex() {
        return snapshot != null ? snapshot.index() : entry.index();
    }
}
