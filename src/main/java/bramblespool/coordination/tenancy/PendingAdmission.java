package bramblespool.coordination.tenancy;

import bramblespool.coordination.register.RegisterVoters;
import bramblespool.coordination.tenancy.AdmissionClient.Decision;
import bramblespool.coordination.tenancy.AdmissionClient.Verdict;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One admission under way: first the token, where the tenant has a limit, then the reservation of the idempotency key,
 * where the request has one. The token comes from the proxy that holds the tenant's bucket, which may be this one, or
 * from the owner of the tenant's shard. Confined to the event loop.
 */
final class PendingAdmission {
    /** Remaining time below which nobody is asked. */
    private static final long MIN_TIMEOUT_MS = 5;
    /** So many calls are made for one admission at most. */
    private static final int MAX_CALLS = 5;
    /** The least factor by which a time to try again is varied; the greatest lies as far above 1. */
    private static final double MIN_JITTER = 0.75;

    /**
     * What all admissions of a proxy share.
     *
     * @param throttle of the calls to controllers
     */
    record Context(
            Clock clock,
            PeerTransport transport,
            ControllerSelector controllers,
            BucketDirectory directory,
            BucketHolder localBuckets,
            AdaptiveThrottle throttle,
            AdmissionTimings timings) {}

    private final Context context;
    private final Clock clock;
    private final IdempotencyClaim claim;
    private final long deadlineMs;
    private final Consumer<Decision> callback;
    private final Set<String> askedControllers = new HashSet<>();
    /** The token that is still wanted; null where none is. */
    private TokenRequest tokenRequest;
    /** A holder that gave no answer, or none; null where that did not happen. */
    private String unavailableHolder;

    private int calls;

    /**
     * @param tokenRequest null where the tenant has no limit
     * @param claim null where the request has no idempotency key; one of the two is there
     */
    PendingAdmission(
            Context context,
            TokenRequest tokenRequest,
            IdempotencyClaim claim,
            long timeoutMs,
            Consumer<Decision> callback) {
        this.context = context;
        this.clock = context.clock();
        this.tokenRequest = tokenRequest;
        this.claim = claim;
        this.deadlineMs = clock.nowMs() + timeoutMs;
        this.callback = callback;
    }

    /** Takes the next step; the callback runs once all are done. */
    void proceed() {
        if (tokenRequest != null) {
            takeToken();
        } else if (claim != null) {
            askController(claim.registerId());
        } else {
            finish(Verdict.ADMITTED, 0, null);
        }
    }

    private void finish(Verdict verdict, long waitMs, String existingClaim) {
        callback.accept(new Decision(verdict, waitMs, existingClaim));
    }

    private void giveUp() {
        finishUnknown(context.timings().clientRetryMs());
    }

    /** The client may try again after about this time: not all of them at one moment. */
    private void finishUnknown(long waitMs) {
        double jitter = MIN_JITTER + clock.random() * (1 - MIN_JITTER) * 2;
        finish(Verdict.UNKNOWN, Math.max(1, (long) (waitMs * jitter)), null);
    }

    private long remainingMs() {
        return deadlineMs - clock.nowMs();
    }

    // ---- the token

    private void takeToken() {
        String group = tokenRequest.group();
        if (context.localBuckets().holds(group)) {
            onTokenDecided(context.localBuckets().takeToken(tokenRequest).verdict());
            return;
        }
        String holder = context.directory().holderOf(group);
        if (holder == null) {
            askController(null);
        } else if (!holder.equals(unavailableHolder) && context.directory().isUsable(group, holder)) {
            askHolder(group, holder);
        } else {
            unavailableHolder = holder;
            askController(null);
        }
    }

    /** Goes on with a token, or ends without one. */
    private void onTokenDecided(AdmissionResponse.Verdict verdict) {
        if (verdict instanceof AdmissionResponse.Admitted) {
            tokenRequest = null;
            proceed();
        } else if (verdict instanceof AdmissionResponse.RateLimited limited) {
            finish(Verdict.RATE_LIMITED, Math.max(1, limited.waitMs()), null);
        } else {
            giveUp();
        }
    }

    private void askHolder(String group, String holder) {
        long timeoutMs = Math.min(remainingMs(), context.timings().holderTimeoutMs());
        if (timeoutMs < MIN_TIMEOUT_MS || ++calls > MAX_CALLS) {
            giveUp();
            return;
        }
        context.transport()
                .call(
                        holder,
                        AdmissionCodec.TOKEN_KIND,
                        AdmissionCodec.INSTANCE.encodeTokenRequest(tokenRequest),
                        timeoutMs,
                        body -> {
                            AdmissionResponse response =
                                    body == null ? null : AdmissionCodec.INSTANCE.decodeResponse(body);
                            if (response != null && !response.isUndecided()) {
                                onTokenDecided(response.verdict());
                                return;
                            }
                            if (response == null) {
                                context.directory().onSilent(holder);
                            } else {
                                context.directory().onRefused(group, holder);
                            }
                            unavailableHolder = holder;
                            askController(null);
                        });
    }

    // ---- the controller

    /** @param registerId the key's register where only that is left to do; null where a token is wanted */
    private void askController(String registerId) {
        String controller = remainingMs() < MIN_TIMEOUT_MS || ++calls > MAX_CALLS ? null : nextController(registerId);
        if (controller == null || !context.throttle().admitCall()) {
            giveUp();
            return;
        }
        askedControllers.add(controller);
        long timeoutMs = Math.min(remainingMs(), context.timings().controllerTimeoutMs());
        long askedAtMs = clock.nowMs();
        AdmissionRequest request = new AdmissionRequest(tokenRequestTo(controller), claim, timeoutMs);
        context.transport()
                .call(
                        controller,
                        AdmissionCodec.ADMIT_KIND,
                        AdmissionCodec.INSTANCE.encodeRequest(request),
                        timeoutMs,
                        body -> {
                            if (body == null) {
                                context.controllers().onSilent(shard(), controller);
                                repeat();
                            } else {
                                onResponse(AdmissionCodec.INSTANCE.decodeResponse(body), askedAtMs);
                            }
                        });
    }

    private String nextController(String registerId) {
        return registerId == null
                ? context.controllers().nextForShard(shard(), askedControllers)
                : context.controllers().nextForRegister(registerId, askedControllers);
    }

    private String shard() {
        return tokenRequest != null ? tokenRequest.shard() : RegisterVoters.shardOf(claim.registerId());
    }

    private TokenRequest tokenRequestTo(String controller) {
        return tokenRequest == null
                ? null
                : tokenRequest.withBucketQuery(new BucketQuery(
                        context.localBuckets().candidate(),
                        unavailableHolder,
                        context.directory().knownVersion(controller)));
    }

    private void onResponse(AdmissionResponse response, long askedAtMs) {
        AdmissionResponse.ShardOwner owner = response.shardOwner();
        if (!context.controllers().onAnswered(shard(), owner)) {
            repeatLater();
            return;
        }
        if (owner != null && response.bucketMap() != null) {
            context.directory().update(owner.address(), response.bucketMap());
        }
        if (owner != null && response.bucketGrant() != null && tokenRequest != null) {
            context.throttle().onAnswered();
            context.localBuckets().accept(tokenRequest.group(), owner.address(), response.bucketGrant(), askedAtMs);
            proceed();
            return;
        }
        onVerdict(response.verdict());
    }

    private void onVerdict(AdmissionResponse.Verdict verdict) {
        if (verdict instanceof AdmissionResponse.Unavailable unavailable) {
            finishUnknown(unavailable.waitMs());
            return;
        }
        context.throttle().onAnswered();
        if (verdict instanceof AdmissionResponse.Undecided) {
            onUndecided();
        } else if (verdict instanceof AdmissionResponse.Admitted) {
            finish(Verdict.ADMITTED, 0, null);
        } else if (verdict instanceof AdmissionResponse.Claimed claimed) {
            finish(Verdict.CLAIMED_ELSEWHERE, 0, claimed.existingClaim());
        } else {
            onTokenDecided(verdict);
        }
    }

    /** Another proxy holds the bucket, or the shard has no owner now, or no majority answers. */
    private void onUndecided() {
        String holder = tokenRequest == null ? null : context.directory().holderOf(tokenRequest.group());
        if (holder != null
                && !holder.equals(unavailableHolder)
                && context.directory().isUsable(tokenRequest.group(), holder)) {
            askHolder(tokenRequest.group(), holder);
        } else {
            repeatLater();
        }
    }

    /** Asks again at once, unless most calls fail. */
    private void repeat() {
        if (context.throttle().mayRepeat()) {
            proceed();
        } else {
            giveUp();
        }
    }

    private void repeatLater() {
        long delayMs = context.timings().retryDelayMs();
        if (remainingMs() <= delayMs + MIN_TIMEOUT_MS || !context.throttle().mayRepeat()) {
            giveUp();
            return;
        }
        askedControllers.clear();
        clock.schedule(delayMs, this::proceed);
    }
}
