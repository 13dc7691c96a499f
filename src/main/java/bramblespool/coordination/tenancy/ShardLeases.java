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
 * Who owns which slice of the tenants, without a leader. A helm may act for its slices only under a lease: a majority of
 * the voters has granted it within a short time, counted from when it asked. Who takes a slice over first has a majority
 * of the voters promise to grant the silent owner nothing more, which each does only when its own last grant is older than
 * a lease; then it replaces the owner's name in the slice's register. An owner that finds its lease run out gives all its
 * slices up before it asks for another one.
 */
public final class ShardLeases {
    /** Ratios to {@code quiet}: how long a lease lasts, and how often it is asked for. */
    private static final int LEASE_DIVISOR = 7;

    private static final int RENEWAL_DIVISOR = 24;
    /** The owner counts its lease for this part of it: clocks run alike, but not quite. */
    private static final double OWNER_LEASE_FRACTION = 0.9;
    /** A barred helm is granted nothing for so many leases: as long as what it asked for before may still arrive. */
    private static final int BARRED_LEASES = 2;
    /** A lease is renewed for so many leases after anybody has asked. */
    private static final int REQUESTED_LEASES = 20;

    /** A slice's owner as its register names it. */
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
    /** As a voter: when each helm was last granted a lease, and until when it is granted none. */
    private final Map<String, Long> grantedAtMs = new HashMap<>();

    private final Map<String, Long> barredUntilMs = new HashMap<>();
    /** As an owner: this lease's name, and since when a majority stands behind it. */
    private final String processId;

    private String leaseId;
    private long leaseCount;
    private long leasedSinceMs = Long.MIN_VALUE / 2;
    private final Map<String, ShardOwner> owners = new HashMap<>();
    private final Set<String> acquiringShards = new HashSet<>();
    private final Map<String, Long> ownershipTerms = new HashMap<>();
    private long lastOwnershipTerm;
    /** Slices that nobody had owned for as long as a register lives, each with its term. */
    private final Set<String> firstOwnerships = new HashSet<>();

    private boolean isLeaseLost;
    private long requestedAtMs = Long.MIN_VALUE / 2;

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

    /** The voters have changed: what those before a new one granted and promised it does not know. */
    public void onVotersChanged() {
        boolean isNowVoter = replicatedState.voterSinceIndexes().containsKey(self);
        if (isNowVoter && !isVoter) {
            voterSinceMs = clock.nowMs();
        }
        isVoter = isNowVoter;
    }

    public void start() {
        clock.scheduleRepeatedly(renewalMs, this::renewLease);
        clock.scheduleRepeatedly(refreshIntervalMs, this::refreshOwned);
    }

    private void startNewLease() {
        leaseId = processId + "." + ++leaseCount;
    }

    // ---- the lease

    /** Whether this helm may act for its slices now. */
    private boolean hasLease() {
        if (clock.nowMs() - leasedSinceMs < leaseMs * OWNER_LEASE_FRACTION) {
            return true;
        }
        if (owners.values().stream().anyMatch(this::isOwn)) {
            // Others may have them from now on. What this helm asks for next is a lease of another name.
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
            // Nobody asks for tokens: a fleet without limits pays nothing for them.
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
            // What an earlier life of this process, or the voters before it, granted or promised is not known here.
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

    /** Serves the leases' messages; false where the kind is another's. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (!kind.startsWith("lease/")) {
            return false;
        }
        boolean isCurrent = self.equals(request.path("to").asText())
                && request.path("epoch").asLong() == replicatedState.votersChangedIndex();
        callback.accept(JsonNodeFactory.instance.objectNode().put("ok", isCurrent && decideAsVoter(kind, request)));
        return true;
    }

    // ---- owners

    /** The fence under which this helm owns the slice and may act for it now, or -1. */
    public long fencingToken(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner != null && isOwn(owner) && hasLease() && isOwn(owner) ? owner.fencingToken : -1;
    }

    /** Whom to ask for the slice instead, as far as that is known; null where this helm should take it. */
    public String ownerOf(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner == null || owner.peer.equals(peer) || isSilent(owner.peer) ? null : owner.peer;
    }

    /** A voter knows who still asks for leases. */
    private boolean isSilent(String holder) {
        return clock.nowMs() - grantedAtMs.getOrDefault(holder, startedAtMs) >= leaseMs;
    }

    /** Slices owned here. */
    public int ownedCount() {
        return (int) owners.values().stream().filter(this::isOwn).count();
    }

    /** Numbers the times that this process took the slice from somebody else; what it granted since then it knows. */
    public long ownershipTerm(String shard) {
        return ownershipTerms.getOrDefault(shard, 0L);
    }

    /** Whether nobody granted anything of this slice before this term. */
    public boolean isFirstOwnership(String shard) {
        return firstOwnerships.contains(shard + " " + ownershipTerm(shard));
    }

    /** Whoever was thought to own the slice does not: the register is read again. */
    public void onWrongOwner(String shard) {
        ShardOwner owner = owners.get(shard);
        if (owner != null && !isOwn(owner)) {
            owners.remove(shard);
        }
        acquire(shard);
    }

    /** Somebody asks for tokens here. */
    public void markRequested() {
        boolean isFirstRequest = clock.nowMs() - requestedAtMs >= leaseMs * REQUESTED_LEASES;
        requestedAtMs = clock.nowMs();
        if (isFirstRequest) {
            renewLease();
        }
    }

    /** Finds out who owns a slice, and takes it where nobody does or its owner is silent. */
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
                // An earlier life's, or one of this process that has run out: that it is over nobody knows better.
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
                        // A voter has heard it: it is not silent, only not here. Barring it again and again would keep
                        // it so.
                        barredUntilMs.remove(owner.peer);
                        grantedAtMs.put(owner.peer, clock.nowMs());
                    }
                });
    }

    private void takeOver(String shard, ShardOwner previousOwner, String expectedValue) {
        // Where the register has been forgotten the fence still has to rise.
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

    /** Registers are forgotten in time; those of slices that are owned are written anew before. */
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
