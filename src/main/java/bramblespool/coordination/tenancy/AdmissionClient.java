package bramblespool.coordination.tenancy;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.state.Tenant;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Has a request admitted: by a token of its tenant's rate limit, and by the reservation of its idempotency key with the
 * controllers. Confined to the event loop.
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

    /** So much of a request's body, where it has that much, distinguishes it from other requests. */
    public static final int FINGERPRINT_BODY_BYTES = 64 << 10;

    private final Clock clock;
    private final PendingAdmission.Context context;
    /** Tenants over their limit, and until when their requests are rejected without asking. */
    private final Map<String, Long> rateLimitedUntilMs = new HashMap<>();

    private final MessageDigest sha256;

    /**
     * @param controllers names the controllers to ask
     * @param localBuckets the token buckets that this proxy holds itself
     * @param quietMs the setting {@code quiet}, from which the time-outs follow
     */
    public AdmissionClient(
            Clock clock,
            PeerTransport transport,
            ControllerSelector controllers,
            BucketHolder localBuckets,
            long quietMs) {
        this.clock = clock;
        AdmissionTimings timings = AdmissionTimings.of(quietMs);
        this.context = new PendingAdmission.Context(
                clock,
                transport,
                controllers,
                new BucketDirectory(clock, quietMs),
                localBuckets,
                new AdaptiveThrottle(clock, timings.throttleDecayMs()),
                timings);
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The name of a tenant's shard, see {@link TenantSharding#shardOf}. */
    public static String shardOf(String tenant) {
        return TenantSharding.shardOf(tenant);
    }

    /**
     * The register of an idempotency key: the shard and a digest of tenant and key, neither of which is sent in clear.
     */
    public String registerId(String tenant, String key) {
        String shard = TenantSharding.shardOf(tenant);
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
        TokenRequest tokenRequest = limit == null
                ? null
                : new TokenRequest(TenantSharding.shardOf(tenant), tenant, epoch, limit.ratePerSecond(), limit.burst());
        IdempotencyClaim idempotencyClaim =
                registerId == null ? null : new IdempotencyClaim(registerId, claim, expectedClaim);
        new PendingAdmission(context, tokenRequest, idempotencyClaim, timeoutMs, decision -> {
                    if (decision.verdict() == Verdict.RATE_LIMITED) {
                        rateLimitedUntilMs.put(tenant, clock.nowMs() + decision.waitMs());
                    }
                    callback.accept(decision);
                })
                .proceed();
    }
}
