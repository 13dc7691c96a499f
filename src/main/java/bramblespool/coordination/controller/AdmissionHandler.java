package bramblespool.coordination.controller;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
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

    private final LocalController local;
    private final Clock clock;
    private final ControllerContext context;
    private final ReplicatedState replicatedState;
    private final ShardLeases shardLeases;
    private final TenantRateLimiter rateLimiter;
    private final RegisterProposer registerProposer;
    /** Owners of shards that did not answer, and when that was. */
    private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

    AdmissionHandler(ControllerContext context, GroupMember member, TenantRateLimiter rateLimiter) {
        this.local = context.local();
        this.clock = context.clock();
        this.context = context;
        this.replicatedState = member.replicatedState();
        this.shardLeases = member.shardLeases();
        this.rateLimiter = rateLimiter;
        this.registerProposer = member.registers().proposer();
    }

    /** Decides on a proxy's request; the token comes first, and without one nothing is claimed. */
    void admit(AdmissionRequest request, Responder<AdmissionResponse> responder) {
        TokenRequest tokenRequest = request.tokenRequest();
        if (tokenRequest == null) {
            claim(request, AdmissionResponse.ADMITTED, responder);
            return;
        }
        shardLeases.markRequested();
        String owner = shardLeases.ownerOf(tokenRequest.shard());
        if (shardLeases.fencingToken(tokenRequest.shard()) >= 0 || owner == null || isUnresponsive(owner)) {
            afterToken(request, takeToken(tokenRequest), responder);
        } else {
            askOwner(owner, request, responder);
        }
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
                        PeerMessageKinds.TOKEN,
                        AdmissionCodec.INSTANCE.encodeTokenRequest(tokenRequest),
                        Math.max(1, request.timeoutMs() / OWNER_TIMEOUT_DIVISOR),
                        body -> {
                            if (body == null) {
                                // It may be merely slow: to look for the owner anew would make it slower.
                                unresponsiveSinceMs.put(owner, clock.nowMs());
                                afterToken(request, AdmissionResponse.UNDECIDED, responder);
                                return;
                            }
                            AdmissionResponse response = AdmissionCodec.INSTANCE.decodeTokenResponse(body);
                            if (response.isUndecided()) {
                                shardLeases.onWrongOwner(tokenRequest.shard());
                            }
                            afterToken(request, response, responder);
                        });
    }

    private void afterToken(
            AdmissionRequest request, AdmissionResponse ownerResponse, Responder<AdmissionResponse> responder) {
        AdmissionResponse response =
                ownerResponse.isUndecided() ? takeFallbackToken(request.tokenRequest(), ownerResponse) : ownerResponse;
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
        boolean isGranted = rateLimiter.takeFallbackToken(
                request.tenant(),
                replicatedState.voterSinceIndexes().size() + 1,
                request.ratePerSecond(),
                request.burst());
        return isGranted ? AdmissionResponse.ADMITTED : undecided;
    }

    /** Takes a token as the shard's owner. Where no owner is known, this controller tries to acquire the shard. */
    AdmissionResponse takeToken(TokenRequest request) {
        String shard = request.shard();
        long fencingToken = local.isLeaving() ? -1 : shardLeases.fencingToken(shard);
        if (fencingToken < 0) {
            if (!local.isLeaving() && shardLeases.ownerOf(shard) == null) {
                shardLeases.acquire(shard);
            }
            return AdmissionResponse.UNDECIDED;
        }
        long waitMs = rateLimiter.takeToken(
                request.tenant(),
                shardLeases.ownershipTerm(shard),
                shardLeases.isFirstOwnership(shard),
                request.epoch(),
                request.ratePerSecond(),
                request.burst());
        return new AdmissionResponse(
                waitMs == 0 ? new AdmissionResponse.Admitted() : new AdmissionResponse.RateLimited(waitMs),
                new AdmissionResponse.ShardOwner(local.peerAddress(), fencingToken));
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
