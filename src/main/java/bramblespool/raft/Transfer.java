package bramblespool.raft;

import bramblespool.state.Vault;

/** A snapshot, or an entry larger than one message may be, on its way to a member in parts. */
final class Transfer {
    /** One of the two. */
    final Vault.Snapshot snapshot;

    final Vault.Entry entry;
    /** What is the same for the same data, whoever sends it. */
    final String id;

    final String data;
    /** How much of it the receiver is known to have; of a snapshot it is asked first, for another leader may have begun it. */
    int offset;

    boolean asked;

    Transfer(Vault.Snapshot snapshot) {
        this.snapshot = snapshot;
        this.entry = null;
        this.data = Seal.sealed(snapshot.data()) ? snapshot.data() : Seal.seal(snapshot.data());
        this.id = snapshot.index() + "." + snapshot.term() + "." + Seal.brief(data);
    }

    Transfer(Vault.Entry entry) {
        this.snapshot = null;
        this.entry = entry;
        this.data = entry.data();
        this.id = entry.index() + "." + entry.term();
        this.asked = true;
    }

    /** The index that the receiver has on its disk once the last part is answered. */
    long index() {
        return snapshot != null ? snapshot.index() : entry.index();
    }
}
