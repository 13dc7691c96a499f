package bramblespool.coordination.tenancy;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The token buckets that this proxy holds for their shards' owners: grants tokens from them to every proxy, and renews
 * the leases under which it holds them. Each counts from when it was asked for, by this proxy's own clock, so that a
 * proxy that is cut off or stands still stops granting before the owner lends the buckets to another one. Confined to
 * the event loop.
 */
public final class BucketHolder {
    private static final class HeldGroup {
        private final long term;
        private final boolean isFull;
        private String shardOwner;
        private long validUntilMs;
        private long renewalAskedAtMs = Long.MIN_VALUE / 2;
        private long lastUsedMs;
        /** Whether controllers are being asked in turn, since one did not renew the lease. */
        private boolean isReattaching;

        HeldGroup(long term, boolean isFull) {
            this.term = term;
            this.isFull = isFull;
        }
    }

    private final Clock clock;
    private final PeerTransport transport;
    private final String holderId;
    private final ControllerSelector controllers;
    private final TenantRateLimiter rateLimiter;
    private final BucketLeaseTimings timings;
    private final EventLog log;
    private final Map<String, HeldGroup> groups = new HashMap<>();
    /** Numbers the times that this proxy has begun to hold a group without knowing what was granted before. */
    private long lastTerm;

    private final long startedAtMs;
    private boolean isReturning;

    /**
     * @param holderId this proxy's peer address and the run of its process, separated by a space
     * @param controllers names the controllers to ask
     */
    public BucketHolder(
            Clock clock,
            PeerTransport transport,
            String holderId,
            ControllerSelector controllers,
            TenantRateLimiter rateLimiter,
            BucketLeaseTimings timings,
            EventLog log) {
        this.clock = clock;
        this.transport = transport;
        this.holderId = holderId;
        this.controllers = controllers;
        this.rateLimiter = rateLimiter;
        this.timings = timings;
        this.log = log;
        this.startedAtMs = clock.nowMs();
    }

    /** Begins to renew leases. */
    public void start() {
        clock.scheduleRepeatedly(timings.renewalMs(), this::renewAll);
    }

    /**
     * How this proxy names itself as a possible holder; null where it takes no buckets: it is shutting down, or it has
     * just started and is slow.
     */
    String candidate() {
        boolean hasJustStarted = clock.nowMs() - startedAtMs < timings.startDelayMs();
        return isReturning || hasJustStarted ? null : holderId;
    }

    /** Whether this proxy may grant tokens of the group now. */
    boolean holds(String group) {
        HeldGroup held = groups.get(group);
        return held != null && clock.nowMs() < held.validUntilMs;
    }

    /** How many groups it holds. */
    public int heldCount() {
        return (int) groups.keySet().stream().filter(this::holds).count();
    }

    /** How many tokens were denied here, by tenant; tenants without a denial are left out. */
    public Map<String, Long> deniedCounts() {
        return rateLimiter.deniedCounts();
    }

    // ---- granting tokens

    /** Takes a token; undecided where this proxy does not hold the bucket. */
    AdmissionResponse takeToken(TokenRequest request) {
        String group = request.group();
        if (!holds(group)) {
            return AdmissionResponse.UNDECIDED;
        }
        HeldGroup held = groups.get(group);
        held.lastUsedMs = clock.nowMs();
        long waitMs = rateLimiter.takeToken(
                request.tenant(),
                held.term,
                held.isFull,
                request.epoch(),
                request.ratePerSecond(),
                request.burst(),
                rateShare(held));
        return waitMs == 0
                ? AdmissionResponse.ADMITTED
                : new AdmissionResponse(new AdmissionResponse.RateLimited(waitMs), null);
    }

    private double rateShare(HeldGroup held) {
        return BucketLeaseTimings.holderShare(clock.nowMs() - held.renewalAskedAtMs, timings.leaseMs());
    }

    /** Serves another daemon's request for a token. */
    public void handleTokenRequest(JsonNode body, Consumer<ObjectNode> callback) {
        TokenRequest request = AdmissionCodec.TOKEN_CODEC.decodeRequest(body);
        callback.accept(AdmissionCodec.TOKEN_CODEC.encodeResponse(takeToken(request)));
    }

    // ---- leases

    /**
     * Takes buckets that an owner has lent.
     *
     * @param askedAtMs when the request was sent to which this is the answer
     */
    void accept(String group, String shardOwner, BucketGrant grant, long askedAtMs) {
        if (isReturning) {
            giveBack(group, shardOwner, grant.tokens());
            return;
        }
        HeldGroup held = groups.get(group);
        if (held == null || !grant.isContinued()) {
            lastTerm++;
            held = new HeldGroup(lastTerm, grant.isFull());
            groups.put(group, held);
            rateLimiter.putBuckets(grant.tokens(), lastTerm);
        }
        held.shardOwner = shardOwner;
        held.lastUsedMs = clock.nowMs();
        extend(group, held, askedAtMs, grant.leaseMs());
        log.log(Event.BUCKETS_ACQUIRED, "group", group, "owner", shardOwner, "continued", grant.isContinued());
    }

    private void extend(String group, HeldGroup held, long askedAtMs, long leaseMs) {
        // What was gained until now was gained at the share that counted until now.
        rateLimiter.refillBuckets(TenantSharding.isInGroup(group), rateShare(held));
        held.validUntilMs = Math.max(held.validUntilMs, askedAtMs + BucketLeaseTimings.holderLeaseMs(leaseMs));
        held.renewalAskedAtMs = Math.max(held.renewalAskedAtMs, askedAtMs);
    }

    private void renewAll() {
        Map<String, List<String>> groupsByOwner = new HashMap<>();
        long nowMs = clock.nowMs();
        groups.forEach((group, held) -> {
            // What nobody asks for is left to lapse.
            if (holds(group) && !held.isReattaching && nowMs - held.lastUsedMs < timings.leaseMs()) {
                groupsByOwner
                        .computeIfAbsent(held.shardOwner, owner -> new ArrayList<>())
                        .add(group);
            }
        });
        groupsByOwner.forEach((owner, owned) -> renew(owner, owned, new HashSet<>()));
    }

    private void renew(String controller, List<String> renewed, Set<String> asked) {
        long askedAtMs = clock.nowMs();
        asked.add(controller);
        transport.call(
                controller,
                BucketCodec.RENEW_KIND,
                BucketCodec.encodeRenewal(new BucketRenewal(holderId, renewed)),
                timings.callTimeoutMs(),
                body -> {
                    boolean isInTime = body != null && clock.nowMs() - askedAtMs <= timings.callTimeoutMs();
                    BucketRenewalResult result = isInTime
                            ? BucketCodec.decodeRenewalResult(body)
                            : new BucketRenewalResult(Set.of(), Map.of());
                    for (String group : renewed) {
                        onRenewalAnswered(group, controller, askedAtMs, result, asked);
                    }
                });
    }

    private void onRenewalAnswered(
            String group, String controller, long askedAtMs, BucketRenewalResult result, Set<String> asked) {
        HeldGroup held = groups.get(group);
        if (held == null) {
            return;
        }
        if (result.renewedGroups().contains(group)) {
            held.isReattaching = false;
            held.shardOwner = controller;
            extend(group, held, askedAtMs, timings.leaseMs());
            return;
        }
        held.isReattaching = true;
        Set<String> askedForGroup = new HashSet<>(asked);
        clock.schedule(timings.retryMs(), () -> {
            if (groups.get(group) == held) {
                renewElsewhere(group, held, result.shardOwners().get(group), askedForGroup);
            }
        });
    }

    /** @param hint the shard's owner as the controller asked last has it, or null */
    private void renewElsewhere(String group, HeldGroup held, String hint, Set<String> asked) {
        if (!holds(group)) {
            held.isReattaching = false;
            log.log(Event.BUCKETS_LOST, "group", group);
            return;
        }
        String controller = hint != null && !asked.contains(hint)
                ? hint
                : controllers.nextForShard(TenantSharding.shardOfGroup(group), asked);
        if (controller == null) {
            held.isReattaching = false;
        } else {
            renew(controller, List.of(group), asked);
        }
    }

    /** Gives all buckets back, and takes none from now on: this proxy is shutting down. */
    public void returnAll() {
        isReturning = true;
        groups.forEach((group, held) -> {
            if (holds(group)) {
                giveBack(
                        group,
                        held.shardOwner,
                        rateLimiter.removeBuckets(TenantSharding.isInGroup(group), held.term, rateShare(held)));
            }
        });
        groups.clear();
    }

    private void giveBack(String group, String shardOwner, Map<String, Double> tokens) {
        transport.call(
                shardOwner,
                BucketCodec.RETURN_KIND,
                BucketCodec.encodeReturn(new BucketReturn(holderId, group, tokens)),
                timings.callTimeoutMs(),
                response -> {});
    }
}
