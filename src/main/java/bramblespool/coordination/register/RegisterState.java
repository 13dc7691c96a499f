package bramblespool.coordination.register;

/**
 * One register as an acceptor holds it: the highest number it has promised, and what it has accepted under which
 * number, each until it expires. Times are of the steady clock, in milliseconds. {@link RegisterTable} owns and changes
 * it.
 */
final class RegisterState {
    /** Stands for a register of which nothing is known. */
    static final RegisterState UNKNOWN = new RegisterState();

    private ProposalNumber promisedNumber = ProposalNumber.NONE;
    private long promiseExpiresAtMs = Long.MIN_VALUE;
    private ProposalNumber acceptedNumber = ProposalNumber.NONE;
    private String acceptedValue;
    private long valueExpiresAtMs = Long.MIN_VALUE;
    private boolean isChosen;

    /** Whether anything was promised, accepted or copied here that has not expired. */
    boolean isKnown() {
        return this != UNKNOWN;
    }

    ProposalNumber promisedNumber() {
        return promisedNumber;
    }

    ProposalNumber acceptedNumber() {
        return acceptedNumber;
    }

    /** The accepted value, or null where the accepted number is none. */
    String acceptedValue() {
        return acceptedValue;
    }

    /** Whether this process has seen a quorum accept a value here since the last promise or acceptance. */
    boolean isChosen() {
        return isChosen;
    }

    /** The round of the highest number promised or accepted; 0 where there is none. */
    long highestSeenRound() {
        return Math.max(0, Math.max(promisedNumber.round(), acceptedNumber.round()));
    }

    long expiresAtMs() {
        return Math.max(promiseExpiresAtMs, valueExpiresAtMs);
    }

    void promise(ProposalNumber number, long expiresAtMs) {
        promisedNumber = number;
        promiseExpiresAtMs = expiresAtMs;
        isChosen = false;
    }

    /** Accepts a value, or takes over another acceptor's, which is no acceptance of this one. */
    void accept(ProposalNumber number, String value, long expiresAtMs) {
        acceptedNumber = number;
        acceptedValue = value;
        valueExpiresAtMs = number.isNone() ? Long.MIN_VALUE : expiresAtMs;
        isChosen = false;
    }

    void markChosen() {
        isChosen = true;
    }

    /** Nothing is kept for longer than its own limit. */
    void limitExpiry(long promiseLimitMs, long valueLimitMs) {
        promiseExpiresAtMs = Math.min(promiseExpiresAtMs, promiseLimitMs);
        valueExpiresAtMs = Math.min(valueExpiresAtMs, valueLimitMs);
    }

    /** Forgets the value where its time is over: promises that came since do not keep it. */
    void dropExpiredValue(long nowMs) {
        if (valueExpiresAtMs < nowMs && !acceptedNumber.isNone()) {
            accept(ProposalNumber.NONE, null, Long.MIN_VALUE);
        }
    }
}
