package bramblespool.coordination.configuration;

/**
 * One phase of a commit as the leader sends it to the proxies ("Shadow Configuration as a Network Management
 * Primitive", section 6.2).
 *
 * @param phase the phase to enter
 * @param term the leader's Raft term
 * @param round rises with each message of one leader; a lower one is late
 * @param oldEpoch the version tagged C_old
 * @param newEpoch the version tagged C_new
 * @param stamp identifies the document meant among those that claim the number {@code newEpoch}
 * @param candidate the document itself in {@link CommitPhase#TAG_DISTRIBUTION}, null in every other phase
 */
public record PhaseMessage(
        CommitPhase phase,
        long term,
        long round,
        long oldEpoch,
        long newEpoch,
        String stamp,
        CandidateDocument candidate) {

    /**
     * What TAG DISTRIBUTION carries besides the tags.
     *
     * @param openForMs how long the phase may stay open for other proxies, to be added to a proxy's own time limit
     * @param compressedDocument the candidate, compressed
     */
    public record CandidateDocument(long openForMs, String compressedDocument) {}
}
