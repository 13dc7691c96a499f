package bramblespool.coordination.singleton;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON form of a request for a higher fencing token and its answer; kind and fields are those of version 0.4.0. */
public final class FencingTokenCodec {
    /** Kind of a {@link RaiseRequest}. */
    public static final String KIND = "raise";

    private static final String KEY = "key";
    private static final String FENCING_TOKEN = "fence";
    private static final String TERM = "term";

    /**
     * Asks the leader for a higher fencing token.
     *
     * @param roleKey the role
     * @param fencingToken the token under which the owner cannot act any more
     * @param term the Raft term in which the sender takes the receiver for the leader
     */
    record RaiseRequest(String roleKey, long fencingToken, long term) {}

    private FencingTokenCodec() {}

    static ObjectNode encodeRequest(RaiseRequest request) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(KEY, request.roleKey())
                .put(FENCING_TOKEN, request.fencingToken())
                .put(TERM, request.term());
    }

    static RaiseRequest decodeRequest(JsonNode node) {
        return new RaiseRequest(
                node.path(KEY).asText(),
                node.path(FENCING_TOKEN).asLong(),
                node.path(TERM).asLong());
    }

    /** The answer names the receiver's term, and does not say what came of the request. */
    static ObjectNode encodeResponse(long currentTerm) {
        return JsonNodeFactory.instance.objectNode().put(TERM, currentTerm);
    }
}
