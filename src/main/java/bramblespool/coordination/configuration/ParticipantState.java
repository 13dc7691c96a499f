package bramblespool.coordination.configuration;

/**
 * Where a proxy stands in a commit: which marks it puts on calls and which of its two versions is real.
 *
 * <p>Source: "Shadow Configuration as a Network Management Primitive", sections 6.2 and 6.3. {@link #after} is the only
 * place where a state leads to another one.
 */
enum ParticipantState {
    /** No commit under way: calls are marked with the shadow bit, no tags are known. */
    NORMAL,
    /** The candidate and its tags are recorded, and not yet used. The only state from which a commit may be aborted. */
    TAGS_RECORDED,
    /** Calls are marked with tags; the old version is real. */
    TAGGING,
    /** Calls are marked with tags; the new version is real. */
    SWAPPED;

    /** Whether calls are marked with tags instead of the shadow bit. */
    boolean usesTags() {
        return this == TAGGING || this == SWAPPED;
    }

    /** The state that a phase leads to, once the phase has been found to mean the commit that this proxy knows. */
    ParticipantState after(CommitPhase phase) {
        return switch (phase) {
            case TAG_DISTRIBUTION -> TAGS_RECORDED;
            case ABORT -> this == TAGS_RECORDED ? NORMAL : this;
            case TAG_PACKET -> this == TAGS_RECORDED ? TAGGING : this;
            case SWAP -> SWAPPED;
            case MARK_SHADOW_BIT -> NORMAL;
        };
    }
}
