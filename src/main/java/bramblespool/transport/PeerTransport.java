package bramblespool.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Messages between the system's own daemons: a call with one answer. */
public interface PeerTransport {
    /** The answer is null where none came in time or the peer refused; it comes exactly once. */
    void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback);

    /** Serves calls; answering null refuses. */
    interface RequestHandler {
        void handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback);
    }
}
