package bramblespool.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Messages between the system's own processes: a call with one answer. Confined to the event loop. */
public interface PeerTransport {
    /**
     * Calls a peer.
     *
     * @param address the peer address
     * @param kind the kind of message
     * @param callback runs exactly once, with null where no answer arrived in time or the peer rejected the call
     */
    void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback);

    /** Answers calls of peers. */
    interface RequestHandler {
        /** Answers a call; the callback has to be called once, with null to reject the call. */
        void handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback);
    }
}
