package bramblespool.raft;

/** Lets tests of other packages use the digest with which snapshots are sealed. */
public final class Digests {
    private Digests() {}

    /** The digest that members of the group compare, of a state as text. */
    public static String of(String state) {
        return SnapshotChecksum.shortDigest(SnapshotChecksum.addChecksum(state));
    }

    /** The state that was sealed, or null where it does not fit its digest. */
    public static String open(String sealed) {
        return SnapshotChecksum.verify(sealed).orElse(null);
    }
}
