package bramblespool.coordination.singleton;

import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The other controllers, and how they are asked.
 *
 * @param transport carries the messages
 * @param otherControllers peer addresses of all known controllers but this one
 * @param callTimeoutMs how long an answer is waited for
 */
public record ControllerPeers(
        PeerTransport transport, Supplier<? extends Collection<String>> otherControllers, long callTimeoutMs) {
    Collection<String> addresses() {
        return otherControllers.get();
    }

    /** Asks one of them; the callback gets null where no answer came in time. */
    void call(String address, String kind, ObjectNode request, Consumer<JsonNode> callback) {
        transport.call(address, kind, request, callTimeoutMs, callback);
    }
}
