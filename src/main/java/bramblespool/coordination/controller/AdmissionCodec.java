package bramblespool.coordination.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of a request for admission, which holds that for a token, and of both responses. */
final class AdmissionCodec implements PeerMessageCodec<AdmissionRequest, AdmissionResponse> {
    static final AdmissionCodec INSTANCE = new AdmissionCodec();

    private static final String SHARD = "slice";
    private static final String TENANT = "tenant";
    private static final String EPOCH = "epoch";
    private static final String RATE_PER_SECOND = "rate";
    private static final String BURST = "burst";
    private static final String REGISTER_ID = "register";
    private static final String CLAIM = "claim";
    private static final String EXPECTED_CLAIM = "instead";
    private static final String TIMEOUT_MS = "within";
    private static final String OWNER_ADDRESS = "owner";
    private static final String FENCING_TOKEN = "fence";
    private static final String VERDICT = "verdict";
    private static final String WAIT_MS = "wait";
    private static final String EXISTING_CLAIM = "stands";

    /** Values of the verdict. */
    private static final String ADMITTED = "go";

    private static final String RATE_LIMITED = "over";
    private static final String CLAIMED = "held";
    private static final String UNDECIDED = "none";

    /** The messages of the kind {@link PeerMessageKinds#TOKEN}: their fields are the same, and there is no claim. */
    static final PeerMessageCodec<TokenRequest, AdmissionResponse> TOKEN_CODEC = new PeerMessageCodec<>() {
        @Override
        public TokenRequest decodeRequest(JsonNode body) {
            return decodeTokenRequest(body);
        }

        @Override
        public ObjectNode encodeResponse(AdmissionResponse response) {
            return INSTANCE.encodeResponse(response);
        }
    };

    private AdmissionCodec() {}

    @Override
    public AdmissionRequest decodeRequest(JsonNode body) {
        return new AdmissionRequest(
                body.has(TENANT) ? decodeTokenRequest(body) : null,
                body.path(REGISTER_ID).isTextual() ? decodeClaim(body) : null,
                body.path(TIMEOUT_MS).asLong());
    }

    private static TokenRequest decodeTokenRequest(JsonNode body) {
        return new TokenRequest(
                body.path(SHARD).asText(),
                body.path(TENANT).asText(),
                body.path(EPOCH).asLong(),
                body.path(RATE_PER_SECOND).asDouble(),
                body.path(BURST).asDouble());
    }

    private static IdempotencyClaim decodeClaim(JsonNode body) {
        return new IdempotencyClaim(
                body.path(REGISTER_ID).asText(),
                body.path(CLAIM).asText(),
                body.path(EXPECTED_CLAIM).isTextual()
                        ? body.path(EXPECTED_CLAIM).asText()
                        : null);
    }

    /** Writes a request to the shard's owner. */
    ObjectNode encodeTokenRequest(TokenRequest request) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(SHARD, request.shard())
                .put(TENANT, request.tenant())
                .put(EPOCH, request.epoch())
                .put(RATE_PER_SECOND, request.ratePerSecond())
                .put(BURST, request.burst());
    }

    @Override
    public ObjectNode encodeResponse(AdmissionResponse response) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        AdmissionResponse.ShardOwner owner = response.shardOwner();
        if (owner != null) {
            body.put(OWNER_ADDRESS, owner.address()).put(FENCING_TOKEN, owner.fencingToken());
        }
        if (response.verdict() instanceof AdmissionResponse.RateLimited limited) {
            return body.put(VERDICT, RATE_LIMITED).put(WAIT_MS, limited.waitMs());
        }
        if (response.verdict() instanceof AdmissionResponse.Claimed claimed) {
            return body.put(VERDICT, CLAIMED).put(EXISTING_CLAIM, claimed.existingClaim());
        }
        return body.put(VERDICT, response.isAdmitted() ? ADMITTED : UNDECIDED);
    }

    /** Reads the response of a shard's owner; a verdict that is unknown here is none. */
    AdmissionResponse decodeTokenResponse(JsonNode body) {
        AdmissionResponse.ShardOwner owner = body.path(OWNER_ADDRESS).isTextual()
                ? new AdmissionResponse.ShardOwner(
                        body.path(OWNER_ADDRESS).asText(),
                        body.path(FENCING_TOKEN).asLong())
                : null;
        AdmissionResponse.Verdict verdict =
                switch (body.path(VERDICT).asText()) {
                    case ADMITTED -> new AdmissionResponse.Admitted();
                    case RATE_LIMITED ->
                        new AdmissionResponse.RateLimited(body.path(WAIT_MS).asLong());
                    default -> new AdmissionResponse.Undecided();
                };
        return new AdmissionResponse(verdict, owner);
    }
}
