package bramblespool.coordination.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import bramblespool.state.EventLog;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMessageDispatcherTest {
    private static final JsonNode REQUEST = ControllerTestContext.json("{'epoch':5,'stamp':'s'}");

    private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher(EventLog.silent());
    private final List<JsonNode> responses = new ArrayList<>();

    @Test
    void aRequestIsDecodedAndItsResponseEncoded() {
        dispatcher.register(
                "doc",
                DocumentCodec.INSTANCE,
                (request, responder) -> responder.respond("document " + request.epoch()));

        dispatcher.handleRequest("doc", REQUEST, responses::add);

        assertEquals(List.of(ControllerTestContext.json("{'doc':'document 5'}")), responses);
    }

    @Test
    void aRejectedRequestAndAnUnknownKindAreRefused() {
        dispatcher.register("doc", DocumentCodec.INSTANCE, (request, responder) -> responder.reject());

        dispatcher.handleRequest("doc", REQUEST, responses::add);
        dispatcher.handleRequest("unknown", REQUEST, responses::add);

        assertEquals(Arrays.asList(null, null), responses);
    }

    @Test
    void familiesComeBeforeTheTableInTheirOrder() {
        List<String> asked = new ArrayList<>();
        dispatcher.addFamily((kind, body, callback) -> !asked.add("first " + kind));
        dispatcher.addFamily((kind, body, callback) -> {
            asked.add("second " + kind);
            callback.accept(JsonNodeFactory.instance.objectNode());
            return true;
        });
        dispatcher.register("ping", (body, callback) -> asked.add("table"));

        dispatcher.handleRequest("ping", REQUEST, responses::add);

        assertEquals(List.of("first ping", "second ping"), asked);
        assertEquals(1, responses.size());
    }

    @Test
    void aKindHasOneHandler() {
        dispatcher.register("ping", (body, callback) -> callback.accept(null));

        assertThrows(IllegalArgumentException.class, () -> dispatcher.register("ping", (body, callback) -> {}));
    }

    @Test
    void anotherThreadThanTheEventLoopIsCaught() throws InterruptedException {
        dispatcher.handleRequest("unknown", REQUEST, responses::add);
        List<Throwable> failures = new ArrayList<>();
        Thread other = new Thread(() -> dispatcher.handleRequest("unknown", REQUEST, responses::add));
        other.setUncaughtExceptionHandler((thread, failure) -> failures.add(failure));
        other.start();
        other.join();

        assertEquals(
                List.of(AssertionError.class),
                failures.stream().map(Object::getClass).toList());
    }
}
