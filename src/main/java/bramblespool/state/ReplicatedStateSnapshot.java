package bramblespool.state;

import java.util.Map;

/**
 * The whole of a {@link ReplicatedState} at a moment. The maps are views of the state's own: to be encoded before the
 * next entry is applied. {@link ReplicatedStateSnapshotCodec} has the stored form.
 */
public record ReplicatedStateSnapshot(
        Configurations configurations,
        Voters voters,
        Map<String, ReplicatedState.Evacuation> evacuations,
        Map<String, ReplicatedState.SingletonRole> singletonRoles) {

    /**
     * The configurations and how far the commit of the current one has come.
     *
     * @param candidate the version to be committed next, or null
     * @param candidateBaseEpoch the current version that the candidate is to follow
     * @param committedDigests digests of the requests committed so far, the oldest first, with their epochs
     */
    public record Configurations(
            ReplicatedState.Version current,
            ReplicatedState.Version previous,
            ReplicatedState.Version candidate,
            long candidateBaseEpoch,
            ReplicatedState.Phase phase,
            Map<String, Long> committedDigests) {}

    /**
     * The committed voters.
     *
     * @param sinceIndexes each voter with the index of the entry since which it has been one without a break
     * @param changedIndex index of the entry that made them the voters
     */
    public record Voters(VoterSet voterSet, Map<String, Long> sinceIndexes, long changedIndex) {}
}
