package bramblespool.coordination.controller;

import bramblespool.coordination.tenancy.AdmissionCodec;
import bramblespool.coordination.tenancy.AdmissionResponse;
import bramblespool.coordination.tenancy.BucketGrant;
import bramblespool.coordination.tenancy.BucketLender;
import bramblespool.coordination.tenancy.BucketQuery;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.ShardOwnership;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.tenancy.TenantSharding;
import bramblespool.coordination.tenancy.TokenRequest;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * A shard owner's answer to a request for a token: it lends the buckets of the tenant's group to the proxy that asks,
 * or names the proxy that has them, or grants the token itself. Confined to the event loop.
 */
final class TokenIssuer {
    /** Ratio to a call's time-out of the wait that is advised where a bucket's holder is out of reach. */
    private static final int UNAVAILABLE_WAIT_DIVISOR = 3;
    /** Ratio to it of the time for which the holder is waited for, on behalf of who cannot ask it. */
    private static final int HOLDER_TIMEOUT_DIVISOR = 4;

    private final ControllerContext context;
    private final ShardLeases shardLeases;
    private final TenantRateLimiter rateLimiter;
    private final BucketLender lender;
    private final BooleanSupplier mayLend;
    private final IntSupplier proxyCount;

    /**
     * @param mayLend whether every controller that may own a shard knows of lent buckets
     * @param proxyCount how many proxies there are to lend to
     */
    TokenIssuer(
            ControllerContext context,
            ShardLeases shardLeases,
            TenantRateLimiter rateLimiter,
            BucketLender lender,
            BooleanSupplier mayLend,
            IntSupplier proxyCount) {
        this.context = context;
        this.shardLeases = shardLeases;
        this.rateLimiter = rateLimiter;
        this.lender = lender;
        this.mayLend = mayLend;
        this.proxyCount = proxyCount;
    }

    /** Decides as the shard's owner; where no owner is known, this controller tries to acquire the shard. */
    void issue(TokenRequest request, Responder<AdmissionResponse> responder) {
        String shard = request.shard();
        boolean isLeaving = context.local().isLeaving();
        long fencingToken = isLeaving ? -1 : shardLeases.fencingToken(shard);
        if (fencingToken < 0) {
            if (!isLeaving && shardLeases.ownerOf(shard) == null) {
                shardLeases.acquire(shard);
            }
            responder.respond(AdmissionResponse.UNDECIDED);
            return;
        }
        new OwnerDecision(request, shardLeases.ownership(shard), fencingToken, responder).decide();
    }

    /** One request at the shard's owner. */
    private final class OwnerDecision {
        private final TokenRequest request;
        private final BucketQuery query;
        private final String group;
        private final ShardOwnership ownership;
        private final AdmissionResponse undecided;
        private final Responder<AdmissionResponse> responder;

        OwnerDecision(
                TokenRequest request,
                ShardOwnership ownership,
                long fencingToken,
                Responder<AdmissionResponse> responder) {
            this.request = request;
            this.query = request.bucketQuery();
            this.group = request.group();
            this.ownership = ownership;
            this.responder = responder;
            this.undecided = new AdmissionResponse(
                    new AdmissionResponse.Undecided(),
                    new AdmissionResponse.ShardOwner(context.local().peerAddress(), fencingToken));
        }

        void decide() {
            Optional<BucketGrant> grant = lend();
            if (grant.isPresent()) {
                respond(undecided.withBucketGrant(grant.get()));
                return;
            }
            Optional<String> holder = lender.holderAddress(ownership, group);
            if (holder.isPresent()) {
                withHolder(holder.get());
            } else if (lender.mayBeLentByFormerOwner(ownership, group)) {
                respond(undecided.withVerdict(takeFallbackToken()));
            } else {
                respond(undecided.withVerdict(takeOwnToken()));
            }
        }

        private Optional<BucketGrant> lend() {
            if (query == null || query.candidate() == null || !mayLend.getAsBoolean()) {
                return Optional.empty();
            }
            int groups = shardLeases.ownedCount() * TenantSharding.GROUPS_PER_SHARD;
            return lender.lend(ownership, group, query.candidate(), 1 + groups / Math.max(1, proxyCount.getAsInt()));
        }

        private void withHolder(String holder) {
            if (query == null) {
                relayTo(holder);
            } else if (holder.equals(query.unavailableHolder())) {
                respond(undecided.withVerdict(takeFallbackToken()));
            } else {
                respond(undecided);
            }
        }

        /** The asker knows nothing of lent buckets. */
        private void relayTo(String holder) {
            context.transport()
                    .call(
                            holder,
                            AdmissionCodec.TOKEN_KIND,
                            AdmissionCodec.INSTANCE.encodeTokenRequest(request),
                            Math.max(1, context.callTimeoutMs() / HOLDER_TIMEOUT_DIVISOR),
                            body -> {
                                AdmissionResponse response =
                                        body == null ? undecided : AdmissionCodec.INSTANCE.decodeResponse(body);
                                respond(undecided.withVerdict(
                                        response.isUndecided() ? takeFallbackToken() : response.verdict()));
                            });
        }

        private AdmissionResponse.Verdict takeFallbackToken() {
            boolean isGranted = rateLimiter.takeOwnerFallbackToken(
                    request.tenant(),
                    ownership.term(),
                    lender.ownedSinceMs(ownership),
                    (fromMs, toMs) -> lender.ownerShareMs(ownership, group, fromMs, toMs),
                    request.ratePerSecond(),
                    request.burst());
            return isGranted
                    ? new AdmissionResponse.Admitted()
                    : new AdmissionResponse.Unavailable(context.callTimeoutMs() / UNAVAILABLE_WAIT_DIVISOR);
        }

        private AdmissionResponse.Verdict takeOwnToken() {
            boolean isUntouched = lender.isUntouched(ownership, group);
            lender.markTouched(ownership, group);
            long waitMs = rateLimiter.takeToken(
                    request.tenant(),
                    ownership.term(),
                    isUntouched,
                    request.epoch(),
                    request.ratePerSecond(),
                    request.burst(),
                    1);
            return waitMs == 0 ? new AdmissionResponse.Admitted() : new AdmissionResponse.RateLimited(waitMs);
        }

        private void respond(AdmissionResponse response) {
            boolean wantsMap = query != null && query.knownVersion() != lender.mapVersion();
            responder.respond(
                    wantsMap ? response.withBucketMap(lender.map(shardLeases.currentOwnerships())) : response);
        }
    }
}
