package bramblespool.coordination.singleton;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Hands out the keyed duties as the leader: each key is held by a live helm, and changes hands with a higher fence. */
public final class SingletonRoles {
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final Supplier<Collection<String>> roleKeys;
    /** Which keys are held under a right that lapses soon, so that they change hands sooner. */
    private final Predicate<String> requiresLease;

    private final Set<String> proposedKeys = new HashSet<>();

    public SingletonRoles(
            RaftNode raft,
            ReplicatedState replicatedState,
            Supplier<Collection<String>> roleKeys,
            Predicate<String> requiresLease) {
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.roleKeys = roleKeys;
        this.requiresLease = requiresLease;
    }

    /** Gives a duty to its holder once more, under a higher fence, where the one named is still in force. */
    public void raiseFencingToken(String key, long fencingToken) {
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(key);
        if (raft.isLeader() && role != null && role.fencingToken() == fencingToken && proposedKeys.add(key)) {
            raft.propose(
                    ReplicatedState.entry("duty")
                            .put("key", key)
                            .put("holder", role.owner())
                            .toString(),
                    outcome -> proposedKeys.remove(key));
        }
    }

    /** One round: what nobody alive holds is given away. */
    public void assignRoles() {
        if (!raft.isLeader()) {
            proposedKeys.clear();
            return;
        }
        List<String> aliveControllers = raft.liveMemberAddresses();
        List<String> leaseHolders = raft.leaseHolderAddresses();
        for (String key : roleKeys.get()) {
            ReplicatedState.SingletonRole role =
                    replicatedState.singletonRoles().get(key);
            List<String> candidates = requiresLease.test(key) ? leaseHolders : aliveControllers;
            if (role != null && candidates.contains(role.owner()) || !proposedKeys.add(key)) {
                continue;
            }
            raft.propose(
                    ReplicatedState.entry("duty")
                            .put("key", key)
                            .put("holder", RendezvousHash.highestWeighted(key, candidates))
                            .toString(),
                    outcome -> proposedKeys.remove(key));
        }
    }
}
