package bramblespool.coordination.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON form of the question whether a peer answers, and of a controller's answer; as in version 0.4.0. */
public final class PingCodec {
    /** Kind of the message. */
    public static final String KIND = "ping";

    private static final String LEADER_CONTACT = "touch";

    private PingCodec() {}

    /** The question. */
    public static ObjectNode encodeRequest() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** A proxy's answer, which says no more than that it is there. */
    public static ObjectNode encodeProxyResponse() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** A controller's answer. */
    public static ObjectNode encodeControllerResponse(boolean hasLeaderContact) {
        return JsonNodeFactory.instance.objectNode().put(LEADER_CONTACT, hasLeaderContact);
    }

    /** Whether the controller that answered is in touch with the leader. */
    static boolean decodeLeaderContact(JsonNode response) {
        return response.path(LEADER_CONTACT).asBoolean();
    }
}
