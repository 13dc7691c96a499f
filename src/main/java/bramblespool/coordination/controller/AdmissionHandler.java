package bramblespool.coordination.controller;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.coordination.tenancy.AdmissionCodec;
import bramblespool.coordination.tenancy.AdmissionRequest;
import bramblespool.coordination.tenancy.AdmissionResponse;
import bramblespool.coordination.tenancy.IdempotencyClaim;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.tenancy.TokenRequest;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.state.ReplicatedState;
import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Admission of requests: takes a token of the tenant's rate limit, then claims the idempotency key. The owner of a
 * tenant's shard keeps the bucket; another controller asks it. Confined to the event loop.
 */
final class AdmissionHandler {
    /** Part of the proxy's time-out for which the shard's owner is waited for. */
    private static final int OWNER_TIMEOUT_DIVISOR = 3;

    /** Part of the proxy's time-out within which a claim must be decided, so that the response is in time. */
    private static final int CLAIM_TIMEOUT_NUMERATOR = 4;

    private static final int CLAIM_TIMEOUT_DENOMINATOR = 5;

    /** A request is not decided on any more where the timers are late by its time-out divided by this. */
    private static final int LATENESS_DIVISOR = 2;
    /** Ratio to a call's time-out of the wait that is advised then. */
    private static final int SHED_WAIT_DIVISOR = 3;

    private final LocalController local;
    private final Clock clock;
    private final ControllerContext context;
    private final ReplicatedState replicatedState;
    private final ShardLeases shardLeases;
    private final TenantRateLimiter rateLimiter;
    private final TokenIssuer tokenIssuer;
    private final RegisterProposer registerProposer;
    private final OverloadDetector overloadDetector;
    /** Owners of shards that did not answer, and when that was. */
    private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

    AdmissionHandler(
            ControllerContext context,
            GroupMember member,
            TenantRateLimiter rateLimiter,
            TokenIssuer tokenIssuer,
            OverloadDetector overloadDetector) {
        this.local = context.local();
        this.clock = context.clock();
        this.context = context;
        this.replicatedState = member.replicatedState();
        this.shardLeases = member.shardLeases();
        this.rateLimiter = rateLimiter;
        this.tokenIssuer = tokenIssuer;
        this.registerProposer = member.registers().proposer();
        this.overloadDetector = overloadDetector;
    }

    /** Decides on a proxy's request; the token comes first, and without one nothing is claimed. */
    void admit(AdmissionRequest request, Responder<AdmissionResponse> responder) {
        if (isTooLateFor(request)) {
            responder.respond(new AdmissionResponse(
                    new AdmissionResponse.Unavailable(context.callTimeoutMs() / SHED_WAIT_DIVISOR), null));
            return;
        }
        TokenRequest tokenRequest = request.tokenRequest();
        if (tokenRequest == null) {
            claim(request, AdmissionResponse.ADMITTED, responder);
            return;
        }
        shardLeases.markRequested();
        String owner = shardLeases.ownerOf(tokenRequest.shard());
        if (shardLeases.fencingToken(tokenRequest.shard()) >= 0 || owner == null || isUnresponsive(owner)) {
            tokenIssuer.issue(
                    tokenRequest,
                    new ResponderOf<>(response -> afterToken(request, response, responder), responder::reject));
        } else {
            askOwner(owner, request, responder);
        }
    }

    /** What has waited so long would be answered too late: the work is better spent on what can be in time. */
    private boolean isTooLateFor(AdmissionRequest request) {
        return overloadDetector.latenessMs() * LATENESS_DIVISOR > request.timeoutMs();
    }

    private boolean isUnresponsive(String owner) {
        long timeoutMs = context.callTimeoutMs();
        return clock.nowMs() - unresponsiveSinceMs.getOrDefault(owner, -timeoutMs) < timeoutMs;
    }

    private void askOwner(String owner, AdmissionRequest request, Responder<AdmissionResponse> responder) {
        TokenRequest tokenRequest = request.tokenRequest();
        context.transport()
                .call(
                        owner,
                        AdmissionCodec.TOKEN_KIND,
                        AdmissionCodec.INSTANCE.encodeTokenRequest(tokenRequest),
                        Math.max(1, request.timeoutMs() / OWNER_TIMEOUT_DIVISOR),
                        body -> {
                            if (body == null) {
                                // It may be merely slow: to look for the owner anew would make it slower.
                                unresponsiveSinceMs.put(owner, clock.nowMs());
                                afterToken(request, AdmissionResponse.UNDECIDED, responder);
                                return;
                            }
                            AdmissionResponse response = AdmissionCodec.INSTANCE.decodeResponse(body);
                            if (response.isUndecided() && response.shardOwner() == null) {
                                shardLeases.onWrongOwner(tokenRequest.shard());
                            }
                            afterToken(request, response, responder);
                        });
    }

    private void afterToken(
            AdmissionRequest request, AdmissionResponse ownerResponse, Responder<AdmissionResponse> responder) {
        // An owner that leaves it undecided has said who can decide.
        AdmissionResponse response = ownerResponse.isUndecided() && ownerResponse.shardOwner() == null
                ? takeFallbackToken(request.tokenRequest(), ownerResponse)
                : ownerResponse;
        if (response.isAdmitted()) {
            claim(request, response, responder);
        } else {
            responder.respond(response);
        }
    }

    /** Where no owner can be asked, a voter grants its part of what the rule allows beyond the limit. */
    private AdmissionResponse takeFallbackToken(TokenRequest request, AdmissionResponse undecided) {
        if (local.isLeaving() || !local.isVoter()) {
            return undecided;
        }
        // One more than there are, for a change of voters that has not been applied here.
        boolean isGranted = rateLimiter.takeVoterFallbackToken(
                request.tenant(),
                replicatedState.voterSinceIndexes().size() + 1,
                request.ratePerSecond(),
                request.burst());
        return isGranted ? AdmissionResponse.ADMITTED : undecided;
    }

    /** Claims the idempotency key, where there is one, for a request whose tenant is within its limit. */
    private void claim(AdmissionRequest request, AdmissionResponse admitted, Responder<AdmissionResponse> responder) {
        IdempotencyClaim claim = request.claim();
        if (claim == null) {
            responder.respond(admitted);
            return;
        }
        registerProposer.compareAndSet(
                claim.registerId(),
                claim.claim(),
                claim.expectedClaim(),
                Math.max(1, request.timeoutMs() * CLAIM_TIMEOUT_NUMERATOR / CLAIM_TIMEOUT_DENOMINATOR),
                result -> responder.respond(admitted.withVerdict(verdictOf(result))));
    }

    private static AdmissionResponse.Verdict verdictOf(RegisterResult result) {
        if (result instanceof RegisterResult.Chosen) {
            return new AdmissionResponse.Admitted();
        }
        return result instanceof RegisterResult.Conflict conflict
                ? new AdmissionResponse.Claimed(conflict.currentValue())
                : new AdmissionResponse.Undecided();
    }
}
