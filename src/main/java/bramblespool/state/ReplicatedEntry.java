package bramblespool.state;

/**
 * An entry of the replicated log that changes the {@link ReplicatedState}. {@link ReplicatedEntryCodec} has its stored
 * form. The consensus layer proposes entries of its own besides, of which only {@link VotersChanged} counts here.
 */
public sealed interface ReplicatedEntry {
    /**
     * A configuration is to be committed (first step of a shadow commit).
     *
     * @param epoch the operator's number for it
     * @param baseEpoch the current version that it is to follow
     * @param digest identifies the operator's request, so that a repeated one is recognized
     * @param compressedDocument the whole document, see {@link CompressedDocument}
     */
    record CandidateStored(long epoch, long baseEpoch, String digest, String compressedDocument)
            implements ReplicatedEntry {}

    /** The candidate of this epoch is given up. */
    record CommitAborted(long epoch) implements ReplicatedEntry {}

    /** The candidate of this epoch becomes the current version: from here on it is never taken back. */
    record CommitDecided(long epoch) implements ReplicatedEntry {}

    /** The commit of the current version, of this epoch, has come to a phase. */
    record PhaseReached(long epoch, ReplicatedState.Phase phase) implements ReplicatedEntry {}

    /** These are the voters now, or the change under way; proposed by the consensus layer. */
    record VotersChanged(VoterSet voterSet) implements ReplicatedEntry {}

    /** A zone is evacuated, or is so no longer. */
    record EvacuationChanged(String zone, boolean isEvacuated) implements ReplicatedEntry {}

    /** A singleton role is given to an owner, its present one included; the entry's index is the fencing token. */
    record SingletonRoleAssigned(String key, String owner) implements ReplicatedEntry {}

    /** Any other kind of entry: one that only the consensus layer needs, or a kind unknown to this version. */
    record Ignored(String kind) implements ReplicatedEntry {}
}
