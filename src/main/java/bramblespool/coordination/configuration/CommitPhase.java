package bramblespool.coordination.configuration;

import bramblespool.state.ReplicatedState;
import java.util.Optional;

/**
 * The phases of a shadow commit in the order in which the leader goes through them.
 *
 * <p>Source: "Shadow Configuration as a Network Management Primitive", section 6.2 (Protocol Operation) and section
 * 6.3 (Error Handling and Rollback). The transitions are these:
 *
 * <pre>
 *   TAG_DISTRIBUTION --all acknowledged, decision committed--&gt; TAG_PACKET
 *   TAG_DISTRIBUTION --a proxy rejects the candidate--&gt; ABORT
 *   TAG_DISTRIBUTION --an acknowledgement is missing, first attempt--&gt; ABORT --&gt; TAG_DISTRIBUTION
 *   TAG_DISTRIBUTION --an acknowledgement is missing, last attempt; decision committed--&gt; TAG_PACKET
 *   TAG_PACKET --latency bound over--&gt; SWAP --&gt; MARK_SHADOW_BIT
 * </pre>
 *
 * <p>Departure from the paper: the decision between phases 1 and 2 is replicated among the controllers and is never
 * rolled back, so section 6.3's roll-back of an unfinished phase 3 does not exist here; and a proxy that stays silent
 * ends an attempt, not the commit, because one lost machine would otherwise stop every change (docs/design.md). The
 * last attempt goes to those only that acknowledged the one before.
 */
public enum CommitPhase {
    /** Withdraws the candidate where phase 1 failed (section 6.3: "the commitment should abort"). */
    ABORT(0, 1),
    /** Phase 1: the candidate and the tags C_old and C_new; each proxy records and acknowledges them. */
    TAG_DISTRIBUTION(1, 2),
    /** Phase 2: calls are marked with tags instead of the shadow bit. Retried (section 6.3). */
    TAG_PACKET(2, 2),
    /** Phase 3: the real and the shadow version change places; the tags stay with their versions. */
    SWAP(3, 1),
    /** Phase 4: calls are marked with the shadow bit again. Retried (section 6.3). */
    MARK_SHADOW_BIT(4, 2);

    private static final CommitPhase[] BY_WIRE_NUMBER = values();

    private final int wireNumber;
    private final int maxAttempts;

    CommitPhase(int wireNumber, int maxAttempts) {
        this.wireNumber = wireNumber;
        this.maxAttempts = maxAttempts;
    }

    /** The number of this phase in messages between processes. */
    int wireNumber() {
        return wireNumber;
    }

    /** The phase of a number in a message; empty where this version of the program knows none. */
    static Optional<CommitPhase> ofWireNumber(int wireNumber) {
        return wireNumber >= 0 && wireNumber < BY_WIRE_NUMBER.length
                ? Optional.of(BY_WIRE_NUMBER[wireNumber])
                : Optional.empty();
    }

    /** How often the phase is sent, in all, to proxies that do not acknowledge it. */
    int maxAttempts() {
        return maxAttempts;
    }

    /** The phase after this one; empty after the last, and after an abort. */
    Optional<CommitPhase> next() {
        return switch (this) {
            case TAG_DISTRIBUTION -> Optional.of(TAG_PACKET);
            case TAG_PACKET -> Optional.of(SWAP);
            case SWAP -> Optional.of(MARK_SHADOW_BIT);
            case MARK_SHADOW_BIT, ABORT -> Optional.empty();
        };
    }

    /** What the controllers' log records once this phase is over; empty where it records nothing. */
    Optional<ReplicatedState.Phase> recordedAs() {
        return switch (this) {
            case SWAP -> Optional.of(ReplicatedState.Phase.SWAPPED);
            case MARK_SHADOW_BIT -> Optional.of(ReplicatedState.Phase.MARKED);
            case ABORT, TAG_DISTRIBUTION, TAG_PACKET -> Optional.empty();
        };
    }
}
