package bramblespool.coordination.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to a {@link SessionRequest}.
 *
 * @param usageAcknowledgement what the usage reporter answers to the counters in the request; null where it got none
 */
record SessionResponse(Outcome outcome, ObjectNode usageAcknowledgement) {
    /** What came of the request. */
    sealed interface Outcome permits Opened, Closed, Superseded {}

    /**
     * The session is open, be it new or renewed.
     *
     * @param hasLeaderContact whether the controller was in contact with the leader lately
     * @param leaderTerm the highest term of a leader it knows; not sent where it has no contact
     * @param hasSameGossip whether the gossip stores of the two are equal
     */
    record Opened(boolean hasLeaderContact, long leaderTerm, boolean hasSameGossip) implements Outcome {}

    /** The session is closed, or there was none. */
    record Closed() implements Outcome {}

    /** The proxy has, or had, a session that outranks the one asked for: it is to ask again with higher numbers. */
    record Superseded(long knownIncarnation, long knownSessionNumber) implements Outcome {}
}
