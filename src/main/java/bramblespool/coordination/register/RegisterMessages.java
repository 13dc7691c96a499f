package bramblespool.coordination.register;

import java.util.List;

/** What proposers and acceptors send each other. {@link RegisterCodec} knows how it is written. */
final class RegisterMessages {
    private RegisterMessages() {}

    /** One proposal's request to one acceptor. */
    sealed interface AcceptorRequest {
        String registerId();

        ProposalNumber number();
    }

    /** Phase 1: to promise that nothing below the number will be accepted, and to report what has been accepted. */
    record Prepare(String registerId, ProposalNumber number) implements AcceptorRequest {}

    /** Phase 2: to accept the value under the number. */
    record Accept(String registerId, ProposalNumber number, String value) implements AcceptorRequest {}

    /**
     * An acceptor's answer.
     *
     * @param isGranted whether it has promised or accepted what it was asked to
     * @param highestSeenRound the round of the highest number that it has promised or accepted; at least 0
     * @param acceptedNumber under which it has accepted its value, or {@link ProposalNumber#NONE}
     * @param acceptedValue that value; null where the number is none
     */
    record AcceptorReply(
            boolean isGranted, long highestSeenRound, ProposalNumber acceptedNumber, String acceptedValue) {
        /** Stands for an acceptor that has not answered, or that does not take part under these voters. */
        static final AcceptorReply NO_ANSWER = new AcceptorReply(false, 0, ProposalNumber.NONE, null);
    }

    /**
     * Requests to one acceptor in one message.
     *
     * @param to the acceptor's member id: an address alone may belong to a lost disk's successor
     * @param votersEpoch the log index of the entry that made the sender's voters the voters
     */
    record BatchRequest(String to, long votersEpoch, List<AcceptorRequest> requests) {}

    /**
     * Asks a voter for the accepted values of the registers that come after one id.
     *
     * @param afterId the id to begin after; empty for the first page
     */
    record PageRequest(String to, long votersEpoch, String afterId) {}

    /** Registers in the order of their ids, and whether there are more after them. */
    record Page(List<AcceptedRegister> registers, boolean hasMore) {}

    /** What an acceptor has accepted for one register; the value is null where the number is none. */
    record AcceptedRegister(String registerId, ProposalNumber number, String value) {}
}
