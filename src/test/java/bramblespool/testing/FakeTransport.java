package bramblespool.testing;

import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Keeps calls for the test to look at and to answer. */
public final class FakeTransport implements PeerTransport {
    /** A call that waits for its answer. */
    public record Call(String address, String kind, ObjectNode body, Consumer<JsonNode> callback) {}

    private final List<Call> calls = new ArrayList<>();

    @Override
    public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback) {
        calls.add(new Call(address, kind, body, callback));
    }

    /** The calls made since this was last asked. */
    public List<Call> take() {
        List<Call> taken = List.copyOf(calls);
        calls.clear();
        return taken;
    }
}
