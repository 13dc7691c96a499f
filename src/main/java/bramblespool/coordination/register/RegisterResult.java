package bramblespool.coordination.register;

/**
 * How a proposal for a register ended. An acceptor's refusal or silence is no result: the proposer tries again until a
 * quorum has answered or the caller's time is over.
 */
public sealed interface RegisterResult {
    /** The result of a proposal whose effect is not known. */
    Unknown UNKNOWN = new Unknown();

    /** The result of reading an empty register. */
    Empty EMPTY = new Empty();

    /**
     * A quorum has accepted the value: it is chosen, and every later proposal for this register finds it or a
     * successor.
     *
     * @param value the chosen value, which for {@link RegisterProposer#setIfAbsent} and {@link RegisterProposer#read}
     *     may be another proposer's
     */
    record Chosen(String value) implements RegisterResult {}

    /** Only of a read: no value can have been chosen before it. */
    record Empty() implements RegisterResult {}

    /**
     * Only of a compare-and-set: the register holds a value that is neither the new one nor the expected one.
     *
     * @param currentValue that value, which need not be chosen yet
     */
    record Conflict(String currentValue) implements RegisterResult {}

    /** No quorum answered in time. The proposal may have taken effect, or may still do so; it counts as not chosen. */
    record Unknown() implements RegisterResult {}
}
