package bramblespool.coordination.tenancy;

import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Which controller owns which shard of the tenants, decided without a leader. A shard's register names its owner and
 * the lease under which it owns the shard; the owner acts only while its {@link HeldLease} is valid.
 *
 * <p>Whoever takes a shard over from a silent owner first has a majority of the voters bar that owner, which each does
 * only once its own last grant has lapsed (see {@link LeaseGrantor}); then it replaces the owner in the register by
 * comparison. An owner whose lease has lapsed gives up all its shards before it asks for another lease.
 *
 * <p>Confined to the event loop.
 */
public final class ShardLeases {
    private static final String OWNER_REGISTER_SUFFIX = "/owner";

    private final RegisterProposer registerProposer;
    private final String peer;
    private final Clock clock;
    private final LeaseTimings timings;
    private final EventLog log;
    private final LeaseGrantor grantor;
    private final LeaseClient voters;
    private final HeldLease lease;
    /** Owners of shards as far as they are known here. */
    private final Map<String, ShardOwner> owners = new HashMap<>();
    /** Shards whose register is being read or written. */
    private final Set<String> acquiringShards = new HashSet<>();
    /** The shards that this process has taken, see {@link #ownership}. */
    private final Map<String, ShardOwnership> ownerships = new HashMap<>();

    private final long startedAtMs;
    private long lastOwnershipTerm;

    /** @param self this controller's member id */
    public ShardLeases(
            ReplicatedState replicatedState,
            RegisterProposer registerProposer,
            String self,
            Clock clock,
            PeerTransport transport,
            LeaseTimings timings,
            EventLog log) {
        this.registerProposer = registerProposer;
        this.peer = RaftNode.addressOf(self);
        this.clock = clock;
        this.startedAtMs = clock.nowMs();
        this.timings = timings;
        this.log = log;
        this.grantor = new LeaseGrantor(clock, timings);
        this.voters = new LeaseClient(replicatedState, self, grantor, transport, timings.leaseMs());
        this.lease = new HeldLease(peer, voters, clock, timings, log);
    }

    /** Begins to renew the lease, while it is wanted, and the registers of the shards owned here. */
    public void start() {
        clock.scheduleRepeatedly(timings.renewalMs(), this::renewLease);
        clock.scheduleRepeatedly(timings.refreshMs(), this::refreshOwned);
    }

    /** To be called at each change of the replicated voters. */
    public void onVotersChanged() {
        grantor.onVotersChanged(voters.isSelfVoter());
    }

    /** Serves the leases' messages; false where the kind is another's, and then the callback is not called. */
    public boolean handleRequest(String kind, JsonNode json, Consumer<ObjectNode> callback) {
        if (!LeaseCodec.isLeaseKind(kind)) {
            return false;
        }
        LeaseRequest.Addressed message = LeaseCodec.decode(kind, json);
        LeaseReply reply = voters.isForSelf(message) ? grantor.answer(message.request()) : LeaseReply.REFUSED;
        callback.accept(LeaseCodec.encodeReply(reply));
        return true;
    }

    // ---- what is known of owners

    /** The fencing token under which this controller owns the shard and may act for it now, or -1. */
    public long fencingToken(String shard) {
        ShardOwner owner = owners.get(shard);
        return owner != null && isOwn(owner) && hasLease() ? owner.fencingToken() : -1;
    }

    /** The controller to ask for the shard instead, as far as that is known; null where this one should take it. */
    public String ownerOf(String shard) {
        ShardOwner owner = owners.get(shard);
        boolean isUsable = owner != null && !owner.peer().equals(peer) && !grantor.hasLapsed(owner.peer());
        return isUsable ? owner.peer() : null;
    }

    /** How many shards this controller owns. */
    public int ownedCount() {
        return (int) owners.values().stream().filter(this::isOwn).count();
    }

    /**
     * The last time that this process took the shard from somebody else, or as the first owner: it knows what it has
     * granted since then, and nothing of what others granted before.
     */
    public ShardOwnership ownership(String shard) {
        return ownerships.getOrDefault(shard, new ShardOwnership(shard, 0, false, startedAtMs));
    }

    /** The ownerships of the shards that this controller owns now. */
    public Set<ShardOwnership> currentOwnerships() {
        Set<ShardOwnership> current = new HashSet<>();
        owners.forEach((shard, owner) -> {
            if (isOwn(owner)) {
                current.add(ownership(shard));
            }
        });
        return current;
    }

    private boolean isOwn(ShardOwner owner) {
        return owner.peer().equals(peer) && owner.leaseId().equals(lease.id());
    }

    // ---- the lease

    /** Whether this controller may act for its shards now; where not, it owns none from now on. */
    private boolean hasLease() {
        if (lease.isValid()) {
            return true;
        }
        if (owners.values().removeIf(this::isOwn)) {
            lease.giveUp();
        }
        return false;
    }

    private void renewLease() {
        hasLease();
        lease.renew();
    }

    /** To be called when a token is asked for here: the lease is kept for a while from then on. */
    public void markRequested() {
        if (lease.markRequested()) {
            renewLease();
        }
    }

    // ---- taking shards

    /** The controller that was thought to own the shard does not: the register is read again. */
    public void onWrongOwner(String shard) {
        ShardOwner owner = owners.get(shard);
        if (owner != null && !isOwn(owner)) {
            owners.remove(shard);
        }
        acquire(shard);
    }

    /** Finds out who owns a shard, and takes it where nobody does or its owner is silent. Needs a valid lease. */
    public void acquire(String shard) {
        if (!hasLease() || !acquiringShards.add(shard)) {
            return;
        }
        registerProposer.read(ownerRegister(shard), timings.leaseMs(), result -> onOwnerRead(shard, result));
    }

    private void onOwnerRead(String shard, RegisterResult result) {
        if (result instanceof RegisterResult.Chosen chosen) {
            LeaseCodec.decodeOwner(chosen.value())
                    .ifPresentOrElse(owner -> onOwnerFound(shard, owner), () -> takeOwnerless(shard, chosen.value()));
        } else if (result instanceof RegisterResult.Empty) {
            takeOwnerless(shard, null);
        } else {
            acquiringShards.remove(shard);
        }
    }

    private void onOwnerFound(String shard, ShardOwner owner) {
        if (owner.peer().equals(peer)) {
            // An earlier incarnation's, or of this process under a lapsed lease: that it is over nobody knows better.
            takeFrom(shard, owner, startedAtMs);
            return;
        }
        owners.put(shard, owner);
        if (grantor.hasLapsed(owner.peer())) {
            barOwner(shard, owner);
        } else {
            acquiringShards.remove(shard);
        }
    }

    private void barOwner(String shard, ShardOwner owner) {
        LeaseVote vote = voters.newVote();
        boolean[] isDecided = new boolean[1];
        long[] lastGrantMs = {Long.MIN_VALUE};
        voters.askAll(new LeaseRequest(LeaseRequest.Kind.BAR, owner.peer()), (voter, reply) -> {
            vote.add(voter, reply.isGranted());
            if (isDecided[0]) {
                return;
            }
            if (reply.isGranted()) {
                long silentMs = Math.max(reply.silentMs(), timings.leaseMs());
                lastGrantMs[0] = Math.max(lastGrantMs[0], clock.nowMs() - silentMs);
            }
            if (vote.hasMajority()) {
                isDecided[0] = true;
                // A majority that granted the owner its last lease shares a voter with this one.
                takeFrom(shard, owner, lastGrantMs[0] + timings.leaseMs());
            } else if (vote.cannotReachMajority()) {
                isDecided[0] = true;
                acquiringShards.remove(shard);
                // The owner is not silent, only out of this voter's reach. To bar it again and again would silence it.
                grantor.markGrantedElsewhere(owner.peer());
            }
        });
    }

    /**
     * Takes a shard whose register is empty or forgotten. Proxies may still remember a higher fencing token than 1 from
     * before, which nobody here knows; so it begins with the time of day in milliseconds. Later ones rise by one for
     * each take-over or refresh, far slower than time; only a clock that was set back could begin below one.
     */
    private void takeOwnerless(String shard, String currentValue) {
        ShardOwner newOwner = new ShardOwner(peer, lease.id(), clock.wallTimeMs());
        writeOwner(shard, newOwner, currentValue, () -> beginOwnership(shard, true, startedAtMs));
    }

    /**
     * Takes a shard over, or writes an own one anew; either raises the fencing token by one.
     *
     * @param endedMs when the previous owner's lease had lapsed at the latest
     */
    private void takeFrom(String shard, ShardOwner previousOwner, long endedMs) {
        ShardOwner newOwner = new ShardOwner(peer, lease.id(), previousOwner.fencingToken() + 1);
        boolean wasOwn = previousOwner.peer().equals(peer) && lease.isOfThisProcess(previousOwner.leaseId());
        writeOwner(shard, newOwner, LeaseCodec.encodeOwner(previousOwner), () -> {
            if (!wasOwn) {
                beginOwnership(shard, false, endedMs);
            }
        });
    }

    private void beginOwnership(String shard, boolean isFirst, long formerOwnerEndedMs) {
        lastOwnershipTerm++;
        ownerships.put(shard, new ShardOwnership(shard, lastOwnershipTerm, isFirst, formerOwnerEndedMs));
    }

    private void writeOwner(String shard, ShardOwner newOwner, String expectedValue, Runnable onTaken) {
        String newValue = LeaseCodec.encodeOwner(newOwner);
        registerProposer.compareAndSet(ownerRegister(shard), newValue, expectedValue, timings.leaseMs(), result -> {
            acquiringShards.remove(shard);
            if (result instanceof RegisterResult.Chosen && newOwner.leaseId().equals(lease.id())) {
                owners.put(shard, newOwner);
                onTaken.run();
                log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", shard, "fencingToken", newOwner.fencingToken());
            }
        });
    }

    /** Writes the registers of the shards owned here anew, before they are forgotten. */
    private void refreshOwned() {
        if (!hasLease()) {
            return;
        }
        for (ShardOwnership ownership : currentOwnerships()) {
            String shard = ownership.shard();
            if (acquiringShards.add(shard)) {
                takeFrom(shard, owners.get(shard), startedAtMs);
            }
        }
    }

    private static String ownerRegister(String shard) {
        return shard.substring(RegisterProposer.SHARD_KEY_PREFIX.length()) + OWNER_REGISTER_SUFFIX;
    }
}
