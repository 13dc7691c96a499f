package bramblespool.coordination.register;

/**
 * One register as an acceptor holds it: the highest number it has promised, and what it has accepted under which
 * number. {@link RegisterTable} owns and changes it.
 */
final class RegisterState {
    /** Stands for a register of which nothing is known. */
    static final RegisterState UNKNOWN = new RegisterState();

    private ProposalNumber promisedNumber = ProposalNumber.NONE;
    private ProposalNumber acceptedNumber = ProposalNumber.NONE;
    private String acceptedValue;
    private boolean isChosen;
    private long expiresAtMs;

    /** Whether anything was ever promised, accepted or copied here within the register's retention time. */
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
        return expiresAtMs;
    }

    void setExpiresAtMs(long expiresAtMs) {
        this.expiresAtMs = expiresAtMs;
    }

    void promise(ProposalNumber number) {
        promisedNumber = number;
        isChosen = false;
    }

    void accept(ProposalNumber number, String value) {
        copyAccepted(number, value);
        isChosen = false;
    }

    /** Takes over another acceptor's value: neither a promise nor an acceptance of this one. */
    void copyAccepted(ProposalNumber number, String value) {
        acceptedNumber = number;
        acceptedValue = value;
    }

    void markChosen() {
        isChosen = true;
    }
}
