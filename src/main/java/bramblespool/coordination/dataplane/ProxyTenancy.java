package bramblespool.coordination.dataplane;

import bramblespool.coordination.answer.AnswerCodec;
import bramblespool.coordination.answer.AnswerLookup;
import bramblespool.coordination.answer.AnswerReplicator;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.AdmissionCodec;
import bramblespool.coordination.tenancy.BucketHolder;
import bramblespool.coordination.tenancy.BucketLeaseTimings;
import bramblespool.coordination.tenancy.ControllerSelector;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.state.EventLog;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A proxy's part in what the fleet counts and remembers for tenants: admission of requests, token buckets that this
 * proxy holds, the operations whose idempotency keys it has claimed, and copies of their answers. Confined to the event
 * loop.
 */
final class ProxyTenancy {
    /**
     * The peer addresses of the controllers, as far as they are known now.
     *
     * @param voters those that may own shards
     * @param all all of them
     * @param forAnswers those that keep copies of answers, the preferred first
     */
    record KnownControllers(
            Supplier<List<String>> voters,
            Supplier<? extends Collection<String>> all,
            Supplier<List<String>> forAnswers) {}

    /** A proxy asks for the outcome of an operation that this one has claimed. */
    private static final String OPERATION_KIND = "operation";

    private static final String REGISTER = "register";
    private static final String CLAIM = "claim";
    private static final String FINGERPRINT = "print";
    private static final String STATE = "state";

    /** Answers are gathered for {@code quiet} divided by this before they are handed to a controller. */
    private static final int ANSWER_GATHER_DIVISOR = 5;
    /** The time-out of a call is {@code quiet} divided by this. */
    private static final int CALL_TIMEOUT_DIVISOR = 10;
    /** Part of the link that copies of answers may take. */
    private static final double ANSWER_LINK_SHARE = 0.1;

    private static final double BYTES_PER_MS_OF_MBPS = 125;
    /** Stored responses of idempotency keys take at most the machine's memory divided by this. */
    private static final int RESPONSE_CACHE_DIVISOR = 24;
    /** Memory assumed where the settings name none. */
    private static final long DEFAULT_MEMORY_MB = 256;

    private final String peerAddress;
    private final String processId;
    private final PeerTransport transport;
    private final IdempotencyTable idempotencyTable;
    private final AnswerReplicator answerReplicator;
    private final BucketHolder bucketHolder;
    private final AdmissionClient admissionClient;
    private final RequestAdmission requestAdmission;

    /** @param processId this proxy's peer address and the run of its process, separated by a space */
    ProxyTenancy(
            Settings settings,
            String processId,
            KnownControllers controllers,
            Clock clock,
            PeerTransport transport,
            EventLog log) {
        this.peerAddress = settings.peerAddress();
        this.processId = processId;
        this.transport = transport;
        Settings.Bounds bounds = settings.bounds();
        long quietMs = bounds.quietPeriodMs();
        this.idempotencyTable = new IdempotencyTable(
                clock,
                processId,
                IdempotencyTable.retentionMs(bounds.idempotencyKeyWindowMs()),
                responseCacheBytes(settings));
        this.answerReplicator = new AnswerReplicator(
                clock, transport, controllers.forAnswers(), answerTimings(settings), responseCacheBytes(settings));
        idempotencyTable.onExecuted(answerReplicator::add);
        ControllerSelector selector = new ControllerSelector(clock, controllers.voters(), controllers.all(), quietMs);
        this.bucketHolder = new BucketHolder(
                clock,
                transport,
                processId,
                selector,
                new TenantRateLimiter(
                        clock, bounds.rateLimitWindowMs(), bounds.rateLimitExcess(), bounds.rateLimitAllowance()),
                BucketLeaseTimings.of(quietMs),
                log);
        this.admissionClient = new AdmissionClient(clock, transport, selector, bucketHolder, quietMs);
        this.requestAdmission = new RequestAdmission(
                admissionClient,
                idempotencyTable,
                this::queryOperation,
                new AnswerLookup(transport, controllers.forAnswers()),
                clock,
                log);
    }

    private static AnswerReplicator.Timings answerTimings(Settings settings) {
        long quietMs = settings.bounds().quietPeriodMs();
        return new AnswerReplicator.Timings(
                quietMs / ANSWER_GATHER_DIVISOR,
                quietMs,
                quietMs / CALL_TIMEOUT_DIVISOR,
                settings.linkMbps() * BYTES_PER_MS_OF_MBPS * ANSWER_LINK_SHARE);
    }

    private static long responseCacheBytes(Settings settings) {
        long memoryMb = settings.memoryMb() > 0 ? settings.memoryMb() : DEFAULT_MEMORY_MB;
        return memoryMb * (1 << 20) / RESPONSE_CACHE_DIVISOR;
    }

    IdempotencyTable idempotencyTable() {
        return idempotencyTable;
    }

    AdmissionClient admissionClient() {
        return admissionClient;
    }

    RequestAdmission requestAdmission() {
        return requestAdmission;
    }

    void start() {
        bucketHolder.start();
    }

    /** Gives back what this proxy holds for the fleet, and sees to copies of its answers without delay. */
    void beginShutdown() {
        bucketHolder.returnAll();
        answerReplicator.hurry();
    }

    /** Whether answers wait that no controller has a copy of yet. */
    boolean hasUncopiedAnswers() {
        return !answerReplicator.isIdle();
    }

    void describe(ObjectNode status) {
        status.put("operations", idempotencyTable.size())
                .put("answerBytes", idempotencyTable.storedBytes())
                .put("bucketGroups", bucketHolder.heldCount());
        ObjectNode deniedCounts = status.putObject("overLimit");
        bucketHolder.deniedCounts().forEach(deniedCounts::put);
    }

    /** Serves other daemons' messages; false where the kind is another's, and then the callback is not called. */
    boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        switch (kind) {
            case OPERATION_KIND -> callback.accept(describeOperation(request));
            case AdmissionCodec.TOKEN_KIND -> bucketHolder.handleTokenRequest(request, callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Answers a proxy that found a claim of this one in a register with the state of the operation. */
    private ObjectNode describeOperation(JsonNode request) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        String claim = request.path(CLAIM).asText();
        if (!claim.startsWith(processId + " ")) {
            // A claim of an earlier run of this process, whose outcome is unknown.
            return response.put(STATE, IdempotencyTable.State.UNKNOWN.name());
        }
        IdempotencyTable.Operation operation =
                idempotencyTable.resolveClaim(request.path(REGISTER).asText(), claim);
        if (operation == null) {
            return response.put(STATE, IdempotencyTable.State.GIVEN.name());
        }
        if (!operation.isSameRequest(request.path(FINGERPRINT).asLong())) {
            return response.put(STATE, RequestAdmission.DIFFERENT_REQUEST);
        }
        response.put(STATE, operation.state().name());
        if (operation.response() != null) {
            AnswerCodec.writeResponse(response, operation.response());
            AnswerCodec.writeRemaining(response, idempotencyTable.remainingMs(operation));
        }
        return response;
    }

    /**
     * Asks the proxy named by a claim for the outcome of the operation. The callback gets null where it did not answer,
     * or where the claim is of an earlier run of this process.
     */
    private void queryOperation(
            String register, String claim, long fingerprint, long timeoutMs, Consumer<JsonNode> callback) {
        String address = claim.substring(0, Math.max(0, claim.indexOf(' ')));
        if (address.isEmpty() || address.equals(peerAddress)) {
            callback.accept(null);
            return;
        }
        transport.call(
                address,
                OPERATION_KIND,
                JsonNodeFactory.instance
                        .objectNode()
                        .put(REGISTER, register)
                        .put(CLAIM, claim)
                        .put(FINGERPRINT, fingerprint),
                timeoutMs,
                callback);
    }
}
