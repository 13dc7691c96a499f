package bramblespool.coordination.controller;

import bramblespool.protocol.PeerMessageCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of retry leases' messages. */
final class RetryLeaseCodec implements PeerMessageCodec<RetryLeaseRequest, RetryLeaseResponse> {
    static final RetryLeaseCodec INSTANCE = new RetryLeaseCodec();

    private static final String SERVICE = "service";
    /** Not sent where it is false. */
    private static final String IS_FORWARDED = "passed";

    private static final String DURATION_MS = "life";
    private static final String RETRIES = "tries";

    private RetryLeaseCodec() {}

    @Override
    public RetryLeaseRequest decodeRequest(JsonNode body) {
        return new RetryLeaseRequest(
                body.path(SERVICE).asText(), body.path(IS_FORWARDED).asBoolean());
    }

    /** Writes a request that is passed on. */
    ObjectNode encodeForwardedRequest(String service) {
        return JsonNodeFactory.instance.objectNode().put(SERVICE, service).put(IS_FORWARDED, true);
    }

    @Override
    public ObjectNode encodeResponse(RetryLeaseResponse response) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(DURATION_MS, response.durationMs())
                .put(RETRIES, response.retries());
    }

    RetryLeaseResponse decodeResponse(JsonNode body) {
        return new RetryLeaseResponse(
                body.path(DURATION_MS).asLong(), body.path(RETRIES).asInt());
    }
}
