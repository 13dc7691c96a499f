package bramblespool.coordination.controller;

import bramblespool.protocol.PeerMessageCodec;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Hands each message from another daemon to whoever serves its kind: first the parts of the node that know their own
 * kinds, in the order in which they were added, then the table of handlers. A message of a kind that nobody serves is
 * logged, once for each kind, and refused. Confined to the event loop.
 */
final class PeerMessageDispatcher implements PeerTransport.RequestHandler {
    /** A part of the node with kinds of message of its own, such as consensus. */
    interface MessageFamily {
        /** Serves the message, or returns false where its kind is not one of this part's. */
        boolean handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback);
    }

    /** Serves one kind of message and knows its JSON. The callback takes null to refuse the message. */
    interface MessageHandler {
        void handle(JsonNode body, Consumer<ObjectNode> callback);
    }

    /**
     * Serves one kind of message as records.
     *
     * @param <Q> the request
     * @param <A> the response
     */
    interface RequestHandler<Q, A> {
        void handle(Q request, Responder<A> responder);
    }

    private record DecodingHandler<Q, A>(PeerMessageCodec<Q, A> codec, RequestHandler<Q, A> handler)
            implements MessageHandler {
        @Override
        public void handle(JsonNode body, Consumer<ObjectNode> callback) {
            handler.handle(codec.decodeRequest(body), new EncodingResponder<>(codec, callback));
        }
    }

    private record EncodingResponder<A>(PeerMessageCodec<?, A> codec, Consumer<ObjectNode> callback)
            implements Responder<A> {
        @Override
        public void respond(A response) {
            callback.accept(codec.encodeResponse(response));
        }

        @Override
        public void reject() {
            callback.accept(null);
        }
    }

    private final EventLog log;
    private final ThreadConfinement confinement = new ThreadConfinement();
    private final List<MessageFamily> families = new ArrayList<>();
    private final Map<String, MessageHandler> handlers = new HashMap<>();

    PeerMessageDispatcher(EventLog log) {
        this.log = log;
    }

    /** Adds a part that serves several kinds. */
    void addFamily(MessageFamily family) {
        families.add(family);
    }

    /**
     * Adds a line to the table.
     *
     * @throws IllegalArgumentException where the kind has a handler already
     */
    void register(String kind, MessageHandler handler) {
        if (handlers.putIfAbsent(kind, handler) != null) {
            throw new IllegalArgumentException("two handlers for messages of kind " + kind);
        }
    }

    /** Adds a line to the table whose messages the codec translates. */
    <Q, A> void register(String kind, PeerMessageCodec<Q, A> codec, RequestHandler<Q, A> handler) {
        register(kind, new DecodingHandler<>(codec, handler));
    }

    @Override
    public void handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback) {
        assert confinement.isOwnThread() : "not on the event loop";
        for (MessageFamily family : families) {
            if (family.handleRequest(kind, body, callback)) {
                return;
            }
        }
        MessageHandler handler = handlers.get(kind);
        if (handler == null) {
            log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
            callback.accept(null);
            return;
        }
        handler.handle(body, callback);
    }
}
