package bramblespool.coordination.configuration;

/** A proxy's answer to a {@link PhaseMessage}. */
public sealed interface PhaseAcknowledgement {
    /**
     * TAG DISTRIBUTION was recorded.
     *
     * @param difference digest of how the candidate differs from the real version (section 6.2: each router reports its
     *     configuration difference)
     */
    record CandidateRecorded(String difference) implements PhaseAcknowledgement {}

    /** The phase was carried out, or had been already. */
    record Applied() implements PhaseAcknowledgement {}

    /**
     * The phase does not fit what this proxy has; nothing changed. It counts as a missing acknowledgement.
     *
     * @param reason why, or empty
     */
    record NotApplied(String reason) implements PhaseAcknowledgement {}

    /**
     * The candidate is invalid for this proxy: the commit must abort (section 6.3).
     *
     * @param reason the faults found
     */
    record Rejected(String reason) implements PhaseAcknowledgement {}

    /**
     * The message came from a deposed leader or was overtaken by a later one.
     *
     * @param highestTerm the highest term that the proxy knows of a leader in
     */
    record StaleMessage(long highestTerm) implements PhaseAcknowledgement {}

    /** Whether the proxy has done what the phase asks. */
    default boolean isConfirmation() {
        return this instanceof CandidateRecorded || this instanceof Applied;
    }
}
