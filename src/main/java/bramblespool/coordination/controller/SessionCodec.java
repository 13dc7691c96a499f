package bramblespool.coordination.controller;

import bramblespool.protocol.PeerMessageCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of sessions' messages. */
final class SessionCodec implements PeerMessageCodec<SessionRequest, SessionResponse> {
    static final SessionCodec INSTANCE = new SessionCodec();

    private static final String NODE = "node";
    private static final String PEER_ADDRESS = "peer";
    private static final String INCARNATION = "life";
    private static final String SESSION_NUMBER = "n";
    private static final String GOSSIP_HASH = "hash";
    private static final String IS_CLOSING = "end";
    private static final String USAGE = "usage";
    private static final String IS_ACCEPTED = "ok";
    private static final String LEADER_TERM = "term";
    private static final String HAS_LEADER_CONTACT = "touch";
    private static final String HAS_SAME_GOSSIP = "same";

    private SessionCodec() {}

    @Override
    public SessionRequest decodeRequest(JsonNode body) {
        return new SessionRequest(
                body.path(NODE).asText(),
                body.path(PEER_ADDRESS).asText(),
                body.path(INCARNATION).asLong(),
                body.path(SESSION_NUMBER).asLong(),
                body.path(GOSSIP_HASH).asText(),
                body.path(IS_CLOSING).asBoolean(),
                body.get(USAGE));
    }

    @Override
    public ObjectNode encodeResponse(SessionResponse response) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (response.usageAcknowledgement() != null) {
            body.setAll(response.usageAcknowledgement());
        }
        if (response.outcome() instanceof SessionResponse.Opened opened) {
            if (opened.hasLeaderContact()) {
                body.put(LEADER_TERM, opened.leaderTerm());
            }
            return body.put(IS_ACCEPTED, true)
                    .put(HAS_LEADER_CONTACT, opened.hasLeaderContact())
                    .put(HAS_SAME_GOSSIP, opened.hasSameGossip());
        }
        if (response.outcome() instanceof SessionResponse.Superseded superseded) {
            return body.put(IS_ACCEPTED, false)
                    .put(INCARNATION, superseded.knownIncarnation())
                    .put(SESSION_NUMBER, superseded.knownSessionNumber());
        }
        return body.put(IS_ACCEPTED, true).put(HAS_SAME_GOSSIP, true);
    }
}
