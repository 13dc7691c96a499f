package bramblespool.coordination.controller;

import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;

/** JSON bodies of the gossip entries that a controller publishes, and of those that it reads. */
final class GossipPayloadCodec {
    /** Fields of a controller's own entry; a proxy's has the same names. */
    private static final String PEER_ADDRESS = "peer";

    private static final String CONTROL_ADDRESS = "control";
    private static final String ZONE = "zone";
    private static final String HAS_LEFT = "gone";
    private static final String IS_VOTER = "voter";
    /** Whether the controller knows of token buckets that proxies hold; earlier versions do not. */
    private static final String LENDS_BUCKETS = "lends";
    /** Fields of a proxy's own entry: its endpoints, and the ids of the servers behind one, separated by spaces. */
    private static final String ENDPOINTS = "doors";

    private static final String SERVER_IDS = "servers";
    /** Fields of a session's entry. */
    private static final String SESSION_CONTROLLER = "helm";

    private static final String SESSION_PROXY = "weft";
    private static final String IS_OPEN = "open";
    /** Fields of the configuration's entry. */
    private static final String EPOCH = "epoch";

    private static final String STAMP = "stamp";
    private static final String PREVIOUS_EPOCH = "old";
    private static final String PHASE = "phase";
    /** Field of a zone's evacuation. */
    private static final String IS_EVACUATED = "on";

    private GossipPayloadCodec() {}

    static ObjectNode encodeController(Settings settings, boolean isLeaving, boolean isVoter) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(PEER_ADDRESS, settings.peerAddress())
                .put(CONTROL_ADDRESS, settings.controlAddress())
                .put(ZONE, settings.zone())
                .put(HAS_LEFT, isLeaving)
                .put(IS_VOTER, isVoter)
                .put(LENDS_BUCKETS, true);
    }

    static boolean decodeLendsBuckets(JsonNode body) {
        return body.path(LENDS_BUCKETS).asBoolean();
    }

    /** The peer address in a controller's or a proxy's own entry. */
    static String decodePeerAddress(JsonNode body) {
        return body.path(PEER_ADDRESS).asText();
    }

    /** The zone in a controller's or a proxy's own entry. */
    static String decodeZone(JsonNode body) {
        return body.path(ZONE).asText();
    }

    static ObjectNode encodeSession(SessionRecord session) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(SESSION_CONTROLLER, session.controllerAddress())
                .put(SESSION_PROXY, session.proxyAddress())
                .put(IS_OPEN, session.isOpen());
    }

    static SessionRecord decodeSession(JsonNode body) {
        return new SessionRecord(
                body.path(SESSION_CONTROLLER).asText(),
                body.path(SESSION_PROXY).asText(),
                body.path(IS_OPEN).asBoolean());
    }

    static ProxyRecord decodeProxy(JsonNode body) {
        Set<String> serverIds = new HashSet<>();
        for (JsonNode endpoint : body.path(ENDPOINTS)) {
            for (String id : endpoint.path(SERVER_IDS).asText().split(" ")) {
                serverIds.add(id);
            }
        }
        return new ProxyRecord(
                body.path(PEER_ADDRESS).asText(),
                body.path(ZONE).asText(),
                body.path(HAS_LEFT).asBoolean(),
                serverIds);
    }

    /** The version in force, the one before it, and the phase that the shadow commit has reached. */
    static ObjectNode encodeConfiguration(ReplicatedState state) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(EPOCH, state.current().epoch())
                .put(STAMP, RoutingConfiguration.stampOf(state.current().compressedDocument()))
                .put(PREVIOUS_EPOCH, state.previous().epoch())
                .put(PHASE, state.phase().name());
    }

    static ObjectNode encodeEvacuation(boolean isEvacuated) {
        return JsonNodeFactory.instance.objectNode().put(IS_EVACUATED, isEvacuated);
    }
}
