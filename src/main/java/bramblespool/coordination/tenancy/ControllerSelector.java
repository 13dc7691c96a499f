package bramblespool.coordination.tenancy;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.register.RegisterVoters;
import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Which controller a proxy asks about a shard's tenants: its owner where that is known, else the one that rendezvous
 * hashing names. One that did not answer is avoided for a while. Confined to the event loop.
 */
public final class ControllerSelector {
    /** A controller that did not answer is avoided for {@code quiet} divided by this. */
    private static final int EXCLUSION_DIVISOR = 5;

    private final Clock clock;
    private final Supplier<List<String>> voters;
    private final Supplier<? extends Collection<String>> controllers;
    private final long exclusionMs;
    private final Map<String, String> ownersByShard = new HashMap<>();
    private final Map<String, Long> fencingTokens = new HashMap<>();
    private final Map<String, Long> excludedUntilMs = new HashMap<>();

    /**
     * @param voters the peer addresses of the controllers that may own shards
     * @param controllers those of all controllers
     * @param quietMs the setting {@code quiet}, from which the times follow
     */
    public ControllerSelector(
            Clock clock,
            Supplier<List<String>> voters,
            Supplier<? extends Collection<String>> controllers,
            long quietMs) {
        this.clock = clock;
        this.voters = voters;
        this.controllers = controllers;
        this.exclusionMs = quietMs / EXCLUSION_DIVISOR;
    }

    /**
     * The shard's owner where it is known, else the next voter by rendezvous hashing; each voter once, then all again.
     *
     * @param asked the controllers that were asked already; emptied where all were
     * @return null where no controller is known
     */
    String nextForShard(String shard, Set<String> asked) {
        String owner = ownersByShard.get(shard);
        if (owner != null && isUsable(owner, asked)) {
            return owner;
        }
        return next(shard, voters.get(), asked);
    }

    /**
     * The controller to reserve an idempotency key with: the voter that can do so in one round while it answers, else
     * any, a different one for each key, for the work of a lost one is to be spread over all that are left.
     */
    String nextForRegister(String registerId, Set<String> asked) {
        String preferred = RendezvousHash.highestWeighted(RegisterVoters.shardOf(registerId), voters.get());
        if (preferred != null && isUsable(preferred, asked)) {
            return preferred;
        }
        return next(registerId, controllers.get(), asked);
    }

    private boolean isUsable(String controller, Set<String> asked) {
        return !asked.contains(controller) && excludedUntilMs.getOrDefault(controller, 0L) <= clock.nowMs();
    }

    private String next(String key, Collection<String> known, Set<String> asked) {
        List<String> candidates = new ArrayList<>(known);
        candidates.removeIf(controller -> !isUsable(controller, asked));
        if (candidates.isEmpty()) {
            candidates.addAll(known);
            candidates.removeAll(asked);
        }
        if (candidates.isEmpty()) {
            asked.clear();
            candidates.addAll(known);
        }
        return RendezvousHash.highestWeighted(key, candidates);
    }

    /** Notes that a controller did not answer. */
    void onSilent(String shard, String controller) {
        excludedUntilMs.put(controller, clock.nowMs() + exclusionMs);
        ownersByShard.remove(shard, controller);
    }

    /**
     * Notes who answered for the shard.
     *
     * @param owner null where the answer is no owner's
     * @return false where it is a former owner, which does not know yet that there is a new one
     */
    boolean onAnswered(String shard, AdmissionResponse.ShardOwner owner) {
        if (owner == null) {
            return true;
        }
        if (owner.fencingToken() < fencingTokens.getOrDefault(shard, 0L)) {
            return false;
        }
        fencingTokens.put(shard, owner.fencingToken());
        ownersByShard.put(shard, owner.address());
        return true;
    }
}
