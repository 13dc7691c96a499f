package bramblespool.coordination.tenancy;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.state.Tenant;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Asks the controllers to admit a request: a rate-limit token of its tenant and the claim of its idempotency key, both
 * in one message to the controller that owns the tenant's shard. Confined to the event loop.
 */
public final class AdmissionClient {
    /**
     * The answer.
     *
     * @param waitMs when to try again; 0 where it does not matter
     * @param existingClaim the claim that the key's register holds, only with {@link Verdict#CLAIMED_ELSEWHERE}
     */
    public record Decision(Verdict verdict, long waitMs, String existingClaim) {}

    /** Kinds of answers. */
    public enum Verdict {
        /** The request may be forwarded. */
        ADMITTED,
        /** The tenant is over its rate limit. */
        RATE_LIMITED,
        /** Another claim holds the key. */
        CLAIMED_ELSEWHERE,
        /** No controller answered in time. */
        UNKNOWN
    }

    /** Fields of a response to which a shard's owner stands. */
    private static final String OWNER = "owner";

    private static final String FENCING_TOKEN = "fence";
    /** So much of a request's body, where it has that much, distinguishes it from other requests. */
    public static final int FINGERPRINT_BODY_BYTES = 64 << 10;
    /** Number of shards of tenants; each has one owner among the controllers. */
    public static final int SHARD_COUNT = 16;
    /** The time-out of a call to one controller is {@code quiet} divided by this. */
    private static final int CALL_TIMEOUT_DIVISOR = 16;
    /** A controller that did not answer is avoided for {@code quiet} divided by this. */
    private static final int EXCLUSION_DIVISOR = 5;
    /** The pause between two attempts is {@code quiet} divided by this. */
    private static final int RETRY_DIVISOR = 60;
    /** Remaining time below which no controller is asked. */
    private static final long MIN_TIMEOUT_MS = 5;

    private final Clock clock;
    private final PeerTransport transport;
    private final Supplier<List<String>> voters;
    private final long callTimeoutMs;
    private final long exclusionMs;
    private final long retryDelayMs;
    private final Map<String, String> ownersByShard = new HashMap<>();
    private final Map<String, Long> fencingTokens = new HashMap<>();
    private final Map<String, Long> excludedUntilMs = new HashMap<>();
    /** Tenants over their limit, and until when their requests are rejected without asking. */
    private final Map<String, Long> rateLimitedUntilMs = new HashMap<>();

    private final MessageDigest sha256;

    /**
     * @param voters the peer addresses of the controllers to ask
     * @param quietMs the setting {@code quiet}, from which the time-outs follow
     */
    public AdmissionClient(Clock clock, PeerTransport transport, Supplier<List<String>> voters, long quietMs) {
        this.clock = clock;
        this.transport = transport;
        this.voters = voters;
        this.callTimeoutMs = quietMs / CALL_TIMEOUT_DIVISOR;
        this.exclusionMs = quietMs / EXCLUSION_DIVISOR;
        this.retryDelayMs = quietMs / RETRY_DIVISOR;
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The name of a tenant's shard. */
    public static String shardOf(String tenant) {
        return RegisterProposer.SHARD_KEY_PREFIX
                + Long.remainderUnsigned(RendezvousHash.mix(tenant.hashCode() * 0x9E3779B97F4A7C15L), SHARD_COUNT);
    }

    /**
     * The register of an idempotency key: the shard and a digest of tenant and key, neither of which is sent in clear.
     */
    public String registerId(String tenant, String key) {
        String shard = shardOf(tenant);
        byte[] digest = sha256.digest((tenant + "\n" + key).getBytes(StandardCharsets.UTF_8));
        return shard.substring(RegisterProposer.SHARD_KEY_PREFIX.length()) + "/"
                + Base64.getUrlEncoder().withoutPadding().encodeToString(digest).substring(0, 20);
    }

    /**
     * A digest that distinguishes different requests under one idempotency key: over as much of the body as is read
     * before any request is sent on, however it arrives.
     *
     * @param bodyStart the body, or a part from its beginning, at least {@link #FINGERPRINT_BODY_BYTES} long
     */
    public long fingerprint(String method, String host, String target, byte[] bodyStart) {
        sha256.update((method + " " + host + " " + target + "\n").getBytes(StandardCharsets.UTF_8));
        sha256.update(bodyStart, 0, Math.min(bodyStart.length, FINGERPRINT_BODY_BYTES));
        byte[] digest = sha256.digest();
        long fingerprint = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            fingerprint = fingerprint << 8 | digest[i] & 0xff;
        }
        return fingerprint;
    }

    /**
     * Asks for a token where the tenant has a limit, and for the claim where a register is named. The callback runs
     * exactly once, possibly before this returns.
     *
     * @param limit the tenant whose rate limit applies, or null
     * @param registerId the idempotency key's register, or null
     * @param claim what to set the register to where it is empty or holds {@code expectedClaim}
     * @param expectedClaim the claim to be replaced, or null
     */
    public void admit(
            String tenant,
            Tenant limit,
            long epoch,
            String registerId,
            String claim,
            String expectedClaim,
            long timeoutMs,
            Consumer<Decision> callback) {
        if (limit != null) {
            Long limitedUntilMs = rateLimitedUntilMs.get(tenant);
            if (limitedUntilMs != null && limitedUntilMs > clock.nowMs()) {
                callback.accept(new Decision(Verdict.RATE_LIMITED, limitedUntilMs - clock.nowMs(), null));
                return;
            }
            rateLimitedUntilMs.remove(tenant);
        }
        ObjectNode message = JsonNodeFactory.instance.objectNode().put("slice", shardOf(tenant));
        if (limit != null) {
            message.put("tenant", tenant)
                    .put("epoch", epoch)
                    .put("rate", limit.ratePerSecond())
                    .put("burst", limit.burst());
        }
        if (registerId != null) {
            message.put("register", registerId).put("claim", claim).put("instead", expectedClaim);
        }
        new PendingAdmission(shardOf(tenant), tenant, message, clock.nowMs() + timeoutMs, callback).ask();
    }

    private final class PendingAdmission {
        private final String shard;
        private final String tenant;
        private final ObjectNode message;
        private final long deadlineMs;
        private final Consumer<Decision> callback;
        private final Set<String> askedControllers = new HashSet<>();

        PendingAdmission(
                String shard, String tenant, ObjectNode message, long deadlineMs, Consumer<Decision> callback) {
            this.shard = shard;
            this.tenant = tenant;
            this.message = message;
            this.deadlineMs = deadlineMs;
            this.callback = callback;
        }

        void ask() {
            long remainingMs = deadlineMs - clock.nowMs();
            String controller = remainingMs < MIN_TIMEOUT_MS ? null : nextController();
            if (controller == null) {
                callback.accept(new Decision(Verdict.UNKNOWN, retryDelayMs, null));
                return;
            }
            askedControllers.add(controller);
            long timeoutMs = Math.min(remainingMs, callTimeoutMs);
            message.put("within", timeoutMs);
            transport.call(controller, "admit", message, timeoutMs, response -> {
                if (response == null) {
                    excludedUntilMs.put(controller, clock.nowMs() + exclusionMs);
                    ownersByShard.remove(shard, controller);
                    ask();
                } else {
                    onResponse(response);
                }
            });
        }

        /**
         * The shard's owner where it is known, else the next by rendezvous hash; each controller once, then all again.
         */
        private String nextController() {
            long nowMs = clock.nowMs();
            String owner = ownersByShard.get(shard);
            if (owner != null
                    && !askedControllers.contains(owner)
                    && excludedUntilMs.getOrDefault(owner, 0L) <= nowMs) {
                return owner;
            }
            List<String> voterAddresses = voters.get();
            List<String> candidates = new ArrayList<>(voterAddresses);
            candidates.removeIf(controller ->
                    askedControllers.contains(controller) || excludedUntilMs.getOrDefault(controller, 0L) > nowMs);
            if (candidates.isEmpty()) {
                candidates = new ArrayList<>(voterAddresses);
                candidates.removeIf(askedControllers::contains);
            }
            if (candidates.isEmpty()) {
                askedControllers.clear();
                candidates = voterAddresses;
            }
            return RendezvousHash.highestWeighted(shard, candidates);
        }

        private void onResponse(JsonNode response) {
            if (isFromFormerOwner(response)) {
                retryLater();
                return;
            }
            rememberOwner(response);
            switch (response.path("verdict").asText()) {
                case "go" -> callback.accept(new Decision(Verdict.ADMITTED, 0, null));
                case "over" -> {
                    long waitMs = Math.max(1, response.path("wait").asLong());
                    rateLimitedUntilMs.put(tenant, clock.nowMs() + waitMs);
                    callback.accept(new Decision(Verdict.RATE_LIMITED, waitMs, null));
                }
                case "held" ->
                    callback.accept(new Decision(
                            Verdict.CLAIMED_ELSEWHERE,
                            0,
                            response.path("stands").asText()));
                default -> retryLater();
            }
        }

        /**
         * Whether a former owner of the shard has answered, which does not know yet that there is a new one. A response
         * that no owner had to decide on bears no fencing token and is nobody's.
         */
        private boolean isFromFormerOwner(JsonNode response) {
            return response.has(FENCING_TOKEN)
                    && response.path(FENCING_TOKEN).asLong() < fencingTokens.getOrDefault(shard, 0L);
        }

        private void rememberOwner(JsonNode response) {
            if (response.has(FENCING_TOKEN)) {
                fencingTokens.put(shard, response.path(FENCING_TOKEN).asLong());
                ownersByShard.put(shard, response.path(OWNER).asText());
            }
        }

        /** The shard has no owner now, or no majority answers: asks again while there is time. */
        private void retryLater() {
            if (deadlineMs - clock.nowMs() <= retryDelayMs + MIN_TIMEOUT_MS) {
                callback.accept(new Decision(Verdict.UNKNOWN, retryDelayMs, null));
            } else {
                askedControllers.clear();
                clock.schedule(retryDelayMs, this::ask);
            }
        }
    }
}
