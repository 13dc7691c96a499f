package bramblespool.coordination.tenancy;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Ownership of the tenants' shards, without a leader. A controller may act for its shards only under a lease, which a
 * majority of the voters has granted within a short time, counted from its request. A controller that takes a shard
 * over first has a majority of the voters promise not to grant the silent owner anything more, which each does only
 * when its own last grant is older than a lease; then it replaces the owner in the shard's register. An owner that
 * finds its lease expired gives up all its shards before it asks for another lease. Confined to the event loop.
 */
public final class ShardLeases {
    /** A lease lasts {@code quiet} divided by this. */
    private static final int LEASE_DIVISOR = 7;
    /** A lease is renewed every {@code quiet} divided by this. */
    private static final int RENEWAL_DIVISOR = 24;
    /** The owner counts its lease for this fraction of it, because clocks differ in rate. */
    private static final double OWNER_LEASE_FRACTION = 0.9;
    /** Duration of a bar in leases: as long as an earlier request of the barred controller may still arrive. */
    private static final int BARRED_LEASES = 2;
    /** Leases for which the lease is renewed after the last request for tokens. */
    private static final int REQUESTED_LEASES = 20;

    /** A shard's owner as encoded in its register: peer address, lease id and fencing token, separated by spaces. */
    private record ShardOwner(String peer, String leaseId, long fencingToken, String encoded) {
        static ShardOwner decode(String encoded) {
            String[] parts = encoded == null ? new String[0] : encoded.split(" ");
            return parts.length == 3 ? new ShardOwner(parts[0], parts[1], Long.parseLong(parts[2]), encoded) : null;
        }
    }

    private final ReplicatedState replicatedState;
    private final RegisterProposer registerProposer;
    private final String self;
    private final String peer;
    private final Clock clock;
    private final PeerTransport transport;
    private final EventLog log;
    private final long leaseMs;
    private final long renewalMs;
    private final long refreshIntervalMs;
    private final long startedAtMs;
    private boolean isVoter;
    private long voterSinceMs;
    /** As a voter: when each controller was last granted a lease. */
    private final Map<String, Long> grantedAtMs = new HashMap<>();
    /** As a voter: until when a controller is granted none. */
    private final Map<String, Long> barredUntilMs = new HashMap<>();
    /** Distinguishes the runs of this process in lease ids. */
    private final String processId;
    /** As an owner: the present lease. */
    private String leaseId;

    private long leaseCount;
    /** As an owner: the time of the last request that a majority granted. */
    private long leasedSinceMs = Long.MIN_VALUE / 2;

    private final Map<String, ShardOwner> owners = new HashMap<>();
    private final Set<String> acquiringShards = new HashSet<>();
    private final Map<String, Long> ownershipTerms = new HashMap<>();
    private long lastOwnershipTerm;
    /** Shards without an owner for as long as a register is retained, each with its ownership term. */
    private final Set<String> firstOwnerships = new HashSet<>();

    private boolean isLeaseLost;
    private long requestedAtMs = Long.MIN_VALUE / 2;

    /**
     * @param self this controller's member id
     * @param quietMs the setting {@code quiet}
     * @param registerRetentionMs how long a register without a write is retained
     */
    public ShardLeases(
            ReplicatedState replicatedState,
            RegisterProposer registerProposer,
            String self,
            Clock clock,
            PeerTransport transport,
            long quietMs,
            long registerRetentionMs,
            EventLog log) {
        this.replicatedState = replicatedState;
        this.registerProposer = registerProposer;
        this.self = self;
        this.peer = RaftNode.addressOf(self);
        this.clock = clock;
        this.transport = transport;
        this.leaseMs = quietMs / LEASE_DIVISOR;
        this.renewalMs = quietMs / RENEWAL_DIVISOR;
        this.refreshIntervalMs = registerRetentionMs / 4;
        this.startedAtMs = clock.nowMs();
        this.log = log;
        this.processId = Long.toHexString((long) (clock.random() * (1L << 48)));
        startNewLease();
    }

    /** The voters have changed. A new voter does not know what earlier voters granted and promised. */
    public void onVotersChanged() {
        boolean isNowVoter = replicatedState.voterSinceIndexes().containsKey(self);
        if (isNowVoter && !isVoter) {
            voterSinceMs = clock.nowMs();
        }
        isVoter = isNowVoter;
    }

    /** Starts the timers for renewals. */
    public void start() {
        clock.scheduleRepeatedly(renewalMs, this::renewLease);
        clock.scheduleRepeatedly(refreshIntervalMs, this::refreshOwned);
    }

    private void startNewLease() {
        leaseId = processId + "." + ++leaseCount;
    }

    // ---- lease

    /** Whether this controller may act for its shards now; where not, it gives them up. */
    private boolean hasLease() {
        if (clock.nowMs() - leasedSinceMs < leaseMs * OWNER_LEASE_FRACTION) {
            return true;
        }
        if (owners.values().stream().anyMatch(this::isOwn)) {
            // Others may own them from now on. The next request is for a lease with a new id.
            owners.values().removeIf(this::isOwn);
            startNewLease();
            isLeaseLost = true;
            log.log(Event.LEASE_LOST, "incarnation", leaseCount);
        }
        return false;
    }

    private boolean isOwn(ShardOwner owner) {
        return owner.peer.equals(peer) && owner.leaseId.equals(leaseId);
    }

    private void renewLease() {
        hasLease();
        if (clock.nowMs() - requestedAtMs >= leaseMs * REQUESTED_LEASES
                || replicatedState.voterSinceIndexes().isEmpty()) {
            // No requests for tokens: a system without rate limits pays nothing for them.
            return;
        }
        long sentAtMs = clock.nowMs();
        String requestedLeaseId = leaseId;
        VoterSet voterSet = replicatedState.voterSet();
        Set<String> agreed = new HashSet<>();
        BiConsumer<String, Boolean> onAnswer = (voter, isAgreed) -> {
            if (isAgreed
                    && agreed.add(voter)
                    && voterSet.hasMajority(agreed::contains)
                    && requestedLeaseId.equals(leaseId)) {
                leasedSinceMs = Math.max(leasedSinceMs, sentAtMs);
                if (isLeaseLost) {
                    isLeaseLost = false;
                    log.log(Event.LEASE_REGAINED, "incarnation", leaseCount);
                }
            }
        };
        askAllVoters("lease/renew", JsonNodeFactory.instance.objectNode().put("holder", peer), onAnswer);
    }

    /** Asks every voter, this one among them. */
    private void askAllVoters(String kind, ObjectNode request, BiConsumer<String, Boolean> onAnswer) {
        for (String voter : List.copyOf(replicatedState.voterSinceIndexes().keySet())) {
            if (voter.equals(self)) {
                onAnswer.accept(voter, decideAsVoter(kind, request));
            } else {
                transport.call(
                        RaftNode.addressOf(voter),
                        kind,
                        request.deepCopy().put("to", voter).put("epoch", replicatedState.votersChangedIndex()),
                        leaseMs,
                        response -> onAnswer.accept(
                                voter, response != null && response.path("ok").asBoolean()));
            }
        }
    }

    /** As a voter: grants a lease, or promises to grant none. */
    private boolean decideAsVoter(String kind, JsonNode request) {
        String holder = request.path("holder").asText();
        long nowMs = clock.nowMs();
        if (nowMs - Math.max(startedAtMs, voterSinceMs) < leaseMs * BARRED_LEASES) {
            // What an earlier run of this process or earlier voters granted or promised is not known here.
            return false;
        }
        if (kind.equals("lease/renew")) {
            if (barredUntilMs.getOrDefault(holder, nowMs) > nowMs) {
                return false;
            }
            grantedAtMs.put(holder, nowMs);
            return true;
        }
        if (nowMs - grantedAtMs.getOrDefault(holder, startedAtMs) < leaseMs) {
            return false;
        }
        barredUntilMs.put(holder, nowMs + leaseMs * BARRED_LEASES);
        return true;
    }

    /** Answers the peer messages of leases; returns false, without a call of the callback, for other kinds. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (!kind.startsWith("lease/")) {
            return false;
        }
        boolean isCurrent = self.equals(request.path("to").asText())
                && request.path("epoch").asLong() == replicatedState.votersChangedIndex();
        callback.accept(JsonNodeFactory.instance.objectNode().put("ok", isCurrent && decideAsVoter(kind, request)));
        return true;
    }

    // ---- ownership

    /** The fencing token with which this controller owns the shard and may act for it now, or -1. */
    public long fencingToken(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner != null && isOwn(owner) && hasLease() && isOwn(owner) ? owner.fencingToken : -1;
    }

    /** The peer address of the shard's known owner; null where this controller should acquire it. */
    public String ownerOf(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner == null || owner.peer.equals(peer) || isSilent(owner.peer) ? null : owner.peer;
    }

    /** Whether the controller has requested no lease from this voter for the duration of one. */
    private boolean isSilent(String holder) {
        return clock.nowMs() - grantedAtMs.getOrDefault(holder, startedAtMs) >= leaseMs;
    }

    /** Number of shards owned here. */
    public int ownedCount() {
        return (int) owners.values().stream().filter(this::isOwn).count();
    }

    /** Counts the acquisitions of the shard from another owner; what was granted within a term is known here. */
    public long ownershipTerm(String shard) {
        return ownershipTerms.getOrDefault(shard, 0L);
    }

    /** Whether no owner granted tokens of this shard before the present term. */
    public boolean isFirstOwnership(String shard) {
        return firstOwnerships.contains(shard + " " + ownershipTerm(shard));
    }

    /** The supposed owner is not the owner: the register is read again. */
    public void onWrongOwner(String shard) {
        ShardOwner owner = owners.get(shard);
        if (owner != null && !isOwn(owner)) {
            owners.remove(shard);
        }
        acquire(shard);
    }

    /** Notes a request for tokens, so that the lease is renewed. */
    public void markRequested() {
        boolean isFirstRequest = clock.nowMs() - requestedAtMs >= leaseMs * REQUESTED_LEASES;
        requestedAtMs = clock.nowMs();
        if (isFirstRequest) {
            renewLease();
        }
    }

    /** Reads the shard's owner from its register, and takes the shard over where it has none or a silent one. */
    public void acquire(String shard) {
        if (!hasLease() || !acquiringShards.add(shard)) {
            return;
        }
        String registerId = registerId(shard);
        registerProposer.read(registerId, leaseMs, result -> {
            if (result instanceof RegisterResult.Unknown) {
                acquiringShards.remove(shard);
                return;
            }
            String currentValue = result instanceof RegisterResult.Chosen chosen ? chosen.value() : null;
            ShardOwner owner = ShardOwner.decode(currentValue);
            if (owner == null) {
                takeOver(shard, null, currentValue);
            } else if (owner.peer.equals(peer)) {
                // A lease of an earlier run, or an expired one of this process: known here to be over.
                takeOver(shard, owner, owner.encoded);
            } else {
                owners.put(shard, owner);
                if (isSilent(owner.peer)) {
                    barOwner(shard, owner);
                } else {
                    acquiringShards.remove(shard);
                }
            }
        });
    }

    private void barOwner(String shard, ShardOwner owner) {
        VoterSet voterSet = replicatedState.voterSet();
        Set<String> agreed = new HashSet<>();
        Set<String> refused = new HashSet<>();
        boolean[] isDecided = new boolean[1];
        askAllVoters(
                "lease/bar", JsonNodeFactory.instance.objectNode().put("holder", owner.peer), (voter, isAgreed) -> {
                    (isAgreed ? agreed : refused).add(voter);
                    if (isDecided[0]) {
                        return;
                    }
                    if (voterSet.hasMajority(agreed::contains)) {
                        isDecided[0] = true;
                        takeOver(shard, owner, owner.encoded);
                    } else if (!voterSet.hasMajority(member -> !refused.contains(member))) {
                        isDecided[0] = true;
                        acquiringShards.remove(shard);
                        // Another voter has granted it a lease: it is not silent, only not reachable from here.
                        // Repeated
                        // bars would keep it from its lease.
                        barredUntilMs.remove(owner.peer);
                        grantedAtMs.put(owner.peer, clock.nowMs());
                    }
                });
    }

    private void takeOver(String shard, ShardOwner previousOwner, String expectedValue) {
        // The fencing token has to rise even where the register has expired.
        ShardOwner newOwner = ShardOwner.decode(peer + " " + leaseId + " "
                + (previousOwner == null ? clock.wallTimeMs() : previousOwner.fencingToken + 1));
        registerProposer.compareAndSet(registerId(shard), newOwner.encoded, expectedValue, leaseMs, result -> {
            acquiringShards.remove(shard);
            if (result instanceof RegisterResult.Chosen && newOwner.leaseId.equals(leaseId)) {
                owners.put(shard, newOwner);
                if (previousOwner == null
                        || !previousOwner.peer.equals(peer)
                        || !previousOwner.leaseId.startsWith(processId + ".")) {
                    ownershipTerms.put(shard, ++lastOwnershipTerm);
                }
                if (previousOwner == null) {
                    firstOwnerships.add(shard + " " + lastOwnershipTerm);
                }
                log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", shard, "fencingToken", newOwner.fencingToken);
            }
        });
    }

    /** Registers expire; those of owned shards are rewritten before. */
    private void refreshOwned() {
        for (String shard : new ArrayList<>(owners.keySet())) {
            ShardOwner owner = owners.get(shard);
            if (isOwn(owner) && hasLease() && acquiringShards.add(shard)) {
                takeOver(shard, owner, owner.encoded);
            }
        }
    }

    private static String registerId(String shard) {
        return shard.substring(RegisterProposer.SHARD_KEY_PREFIX.length()) + "/owner";
    }
}
