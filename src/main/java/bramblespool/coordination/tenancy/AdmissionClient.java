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
 * A side's questions to the helms before a request may go on: a token of its tenant's, and the claim of its operation key,
 * both in one message to the helm that owns the slice.
 */
public final class AdmissionClient {
    /** What came of the question. {@code waitMs}: over the limit, and when to come back. */
    public record Decision(Verdict verdict, long waitMs, String existingClaim) {}

    public enum Verdict {
        /** It may go on. */
        ADMITTED,
        /** The tenant is over its limit. */
        RATE_LIMITED,
        /** The key is another's, whose claim is given. */
        CLAIMED_ELSEWHERE,
        /** No helm could tell in time. */
        UNKNOWN
    }

    /** Slices of tenants; each is owned whole by one helm. */
    public static final int SHARD_COUNT = 16;
    /** Ratios to {@code quiet}: how long one helm is waited for, how long it is left aside after that, the pause between. */
    private static final int CALL_TIMEOUT_DIVISOR = 16;

    private static final int EXCLUSION_DIVISOR = 5;
    private static final int RETRY_DIVISOR = 60;
    /** The least time worth asking in. */
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
    /** Tenants over their limit, and until when nobody needs to ask for them. */
    private final Map<String, Long> rateLimitedUntilMs = new HashMap<>();

    private final MessageDigest sha256;

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

    public static String shardOf(String tenant) {
        return RegisterProposer.SHARD_KEY_PREFIX
                + Long.remainderUnsigned(RendezvousHash.mix(tenant.hashCode() * 0x9E3779B97F4A7C15L), SHARD_COUNT);
    }

    /** The register of an operation: its slice, and a digest of whose it is and its key, neither of which is told. */
    public String registerId(String tenant, String key) {
        String shard = shardOf(tenant);
        byte[] digest = sha256.digest((tenant + "\n" + key).getBytes(StandardCharsets.UTF_8));
        return shard.substring(RegisterProposer.SHARD_KEY_PREFIX.length()) + "/"
                + Base64.getUrlEncoder().withoutPadding().encodeToString(digest).substring(0, 20);
    }

    /** A number that tells requests apart which came under one key. */
    public long fingerprint(String method, String host, String target, byte[] body) {
        sha256.update((method + " " + host + " " + target + "\n").getBytes(StandardCharsets.UTF_8));
        byte[] digest = sha256.digest(body);
        long fingerprint = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            fingerprint = fingerprint << 8 | digest[i] & 0xff;
        }
        return fingerprint;
    }

    /**
     * Asks for a token where the tenant has a limit, and for the claim where a register is named.
     *
     * @param limit the tenant whose limit holds, or null
     * @param claim what to set the register to where it is empty or holds {@code instead}, or null
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

        /** The owner as far as it is known, else who is first in line of those that answer; each once, then all again. */
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
            String owner = response.path("owner").asText("");
            long fencingToken = response.path("fence").asLong();
            if (fencingToken < fencingTokens.getOrDefault(shard, 0L)) {
                // A holder whose duty has gone to another does not know yet.
                retryLater();
                return;
            }
            if (fencingToken > 0) {
                fencingTokens.put(shard, fencingToken);
            }
            if (!owner.isEmpty()) {
                ownersByShard.put(shard, owner);
            }
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

        /** Nobody holds the duty just now, or no majority answers: it is asked again while there is time. */
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
