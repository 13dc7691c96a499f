package bramblespool.coordination.tenancy;

import bramblespool.coordination.register.RegisterVoters;
import bramblespool.protocol.PeerMessageCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of a request for admission, which holds that for a token, and of both responses. */
public final class AdmissionCodec implements PeerMessageCodec<AdmissionRequest, AdmissionResponse> {
    /** The messages of the kind {@link #ADMIT_KIND}. */
    public static final AdmissionCodec INSTANCE = new AdmissionCodec();
    /** A proxy asks whether a request may go on: rate limit, idempotency key, or both. */
    public static final String ADMIT_KIND = "admit";
    /** Asks the owner of a shard, or the holder of its buckets, for a token of a tenant. */
    public static final String TOKEN_KIND = "token";

    private static final String SHARD = "slice";
    private static final String TENANT = "tenant";
    private static final String EPOCH = "epoch";
    private static final String RATE_PER_SECOND = "rate";
    private static final String BURST = "burst";
    private static final String BUCKET_QUERY = "query";
    private static final String CANDIDATE = "candidate";
    private static final String UNAVAILABLE_HOLDER = "avoid";
    private static final String KNOWN_VERSION = "known";
    private static final String REGISTER_ID = "register";
    private static final String CLAIM = "claim";
    private static final String EXPECTED_CLAIM = "instead";
    private static final String TIMEOUT_MS = "within";
    private static final String OWNER_ADDRESS = "owner";
    private static final String FENCING_TOKEN = "fence";
    private static final String VERDICT = "verdict";
    private static final String WAIT_MS = "wait";
    private static final String EXISTING_CLAIM = "stands";
    private static final String BUCKET_GRANT = "grant";
    private static final String LEASE_MS = "ms";
    private static final String IS_CONTINUED = "kept";
    private static final String IS_FULL = "full";
    private static final String TOKENS = "tokens";
    private static final String BUCKET_MAP = "buckets";
    private static final String MAP_VERSION = "version";
    private static final String HOLDERS = "at";

    /** Values of the verdict. */
    private static final String ADMITTED = "go";

    private static final String RATE_LIMITED = "over";
    private static final String CLAIMED = "held";
    private static final String UNDECIDED = "none";
    /** To versions that do not know it this is the same as {@link #UNDECIDED}. */
    private static final String UNAVAILABLE = "later";

    /** The messages of the kind {@link #TOKEN_KIND}: their fields are the same, and there is no claim. */
    public static final PeerMessageCodec<TokenRequest, AdmissionResponse> TOKEN_CODEC = new PeerMessageCodec<>() {
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

    /** Writes a proxy's request. */
    ObjectNode encodeRequest(AdmissionRequest request) {
        TokenRequest tokenRequest = request.tokenRequest();
        IdempotencyClaim claim = request.claim();
        ObjectNode body = tokenRequest == null
                ? JsonNodeFactory.instance.objectNode().put(SHARD, RegisterVoters.shardOf(claim.registerId()))
                : encodeTokenRequest(tokenRequest);
        if (claim != null) {
            body.put(REGISTER_ID, claim.registerId())
                    .put(CLAIM, claim.claim())
                    .put(EXPECTED_CLAIM, claim.expectedClaim());
        }
        return body.put(TIMEOUT_MS, request.timeoutMs());
    }

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
                body.path(BURST).asDouble(),
                body.path(BUCKET_QUERY).isObject() ? decodeBucketQuery(body.path(BUCKET_QUERY)) : null);
    }

    private static BucketQuery decodeBucketQuery(JsonNode body) {
        return new BucketQuery(
                textOrNull(body, CANDIDATE),
                textOrNull(body, UNAVAILABLE_HOLDER),
                body.path(KNOWN_VERSION).asLong());
    }

    private static IdempotencyClaim decodeClaim(JsonNode body) {
        return new IdempotencyClaim(
                body.path(REGISTER_ID).asText(), body.path(CLAIM).asText(), textOrNull(body, EXPECTED_CLAIM));
    }

    private static String textOrNull(JsonNode body, String field) {
        return body.path(field).isTextual() ? body.path(field).asText() : null;
    }

    /** Writes a request to the shard's owner, or to the holder of its buckets. */
    public ObjectNode encodeTokenRequest(TokenRequest request) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put(SHARD, request.shard())
                .put(TENANT, request.tenant())
                .put(EPOCH, request.epoch())
                .put(RATE_PER_SECOND, request.ratePerSecond())
                .put(BURST, request.burst());
        BucketQuery query = request.bucketQuery();
        if (query != null) {
            ObjectNode queryBody = body.putObject(BUCKET_QUERY).put(KNOWN_VERSION, query.knownVersion());
            putUnlessNull(queryBody, CANDIDATE, query.candidate());
            putUnlessNull(queryBody, UNAVAILABLE_HOLDER, query.unavailableHolder());
        }
        return body;
    }

    private static void putUnlessNull(ObjectNode body, String field, String value) {
        if (value != null) {
            body.put(field, value);
        }
    }

    @Override
    public ObjectNode encodeResponse(AdmissionResponse response) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        AdmissionResponse.ShardOwner owner = response.shardOwner();
        if (owner != null) {
            body.put(OWNER_ADDRESS, owner.address()).put(FENCING_TOKEN, owner.fencingToken());
        }
        putVerdict(body, response.verdict());
        BucketGrant grant = response.bucketGrant();
        if (grant != null) {
            body.putObject(BUCKET_GRANT)
                    .put(LEASE_MS, grant.leaseMs())
                    .put(IS_CONTINUED, grant.isContinued())
                    .put(IS_FULL, grant.isFull())
                    .set(TOKENS, BucketCodec.writeTokens(grant.tokens()));
        }
        BucketMap map = response.bucketMap();
        if (map != null) {
            body.putObject(BUCKET_MAP)
                    .put(MAP_VERSION, map.version())
                    .set(HOLDERS, BucketCodec.writeAddresses(map.holders()));
        }
        return body;
    }

    private static void putVerdict(ObjectNode body, AdmissionResponse.Verdict verdict) {
        if (verdict instanceof AdmissionResponse.RateLimited limited) {
            body.put(VERDICT, RATE_LIMITED).put(WAIT_MS, limited.waitMs());
        } else if (verdict instanceof AdmissionResponse.Claimed claimed) {
            body.put(VERDICT, CLAIMED).put(EXISTING_CLAIM, claimed.existingClaim());
        } else if (verdict instanceof AdmissionResponse.Unavailable unavailable) {
            body.put(VERDICT, UNAVAILABLE).put(WAIT_MS, unavailable.waitMs());
        } else {
            body.put(VERDICT, verdict instanceof AdmissionResponse.Admitted ? ADMITTED : UNDECIDED);
        }
    }

    /** Reads a response; a verdict that is unknown here is none. */
    public AdmissionResponse decodeResponse(JsonNode body) {
        AdmissionResponse.ShardOwner owner = body.path(OWNER_ADDRESS).isTextual()
                ? new AdmissionResponse.ShardOwner(
                        body.path(OWNER_ADDRESS).asText(),
                        body.path(FENCING_TOKEN).asLong())
                : null;
        return new AdmissionResponse(
                decodeVerdict(body),
                owner,
                body.path(BUCKET_GRANT).isObject() ? decodeGrant(body.path(BUCKET_GRANT)) : null,
                body.path(BUCKET_MAP).isObject() ? decodeMap(body.path(BUCKET_MAP)) : null);
    }

    private static AdmissionResponse.Verdict decodeVerdict(JsonNode body) {
        return switch (body.path(VERDICT).asText()) {
            case ADMITTED -> new AdmissionResponse.Admitted();
            case RATE_LIMITED ->
                new AdmissionResponse.RateLimited(body.path(WAIT_MS).asLong());
            case CLAIMED ->
                new AdmissionResponse.Claimed(body.path(EXISTING_CLAIM).asText());
            case UNAVAILABLE ->
                new AdmissionResponse.Unavailable(body.path(WAIT_MS).asLong());
            default -> new AdmissionResponse.Undecided();
        };
    }

    private static BucketGrant decodeGrant(JsonNode body) {
        return new BucketGrant(
                body.path(LEASE_MS).asLong(),
                body.path(IS_CONTINUED).asBoolean(),
                body.path(IS_FULL).asBoolean(),
                BucketCodec.readTokens(body.path(TOKENS)));
    }

    private static BucketMap decodeMap(JsonNode body) {
        return new BucketMap(body.path(MAP_VERSION).asLong(), BucketCodec.readAddresses(body.path(HOLDERS)));
    }
}
