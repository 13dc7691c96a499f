package bramblespool.coordination.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of the request for a higher fencing token; the response is the receiver's term. */
final class RaiseFencingTokenCodec implements PeerMessageCodec<RaiseFencingTokenRequest, Long> {
    private static final String ROLE_KEY = "key";
    private static final String FENCING_TOKEN = "fence";
    private static final String TERM = "term";

    @Override
    public RaiseFencingTokenRequest decodeRequest(JsonNode body) {
        return new RaiseFencingTokenRequest(
                body.path(ROLE_KEY).asText(),
                body.path(FENCING_TOKEN).asLong(),
                body.path(TERM).asLong());
    }

    @Override
    public ObjectNode encodeResponse(Long term) {
        return JsonNodeFactory.instance.objectNode().put(TERM, term);
    }
}
