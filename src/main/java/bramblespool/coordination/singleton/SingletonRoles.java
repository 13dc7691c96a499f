package bramblespool.coordination.singleton;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Assigns the singleton roles, as the leader: each role is owned by one live controller. An assignment is an entry
 * in the replicated log, and its index is the role's fencing token, so that the token rises each time a role
 * changes hands. Confined to the event loop.
 */
public final class SingletonRoles {
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final Supplier<Collection<String>> roleKeys;
    private final Predicate<String> requiresLease;
    /** Roles with an assignment proposed that is not decided yet. */
    private final Set<String> proposedKeys = new HashSet<>();

    /**
     * @param roleKeys keys of all roles there are
     * @param requiresLease whether the owner of a role acts only while it holds its voter lease; such a role is
     *     taken away as soon as the lease has lapsed
     */
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

    /**
     * Assigns a role to its present owner again, under a higher fencing token. Does nothing where this controller
     * does not lead, or the token named is not the present one.
     */
    public void raiseFencingToken(String key, long fencingToken) {
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(key);
        if (raft.isLeader() && role != null && role.fencingToken() == fencingToken && proposedKeys.add(key)) {
            propose(key, role.owner());
        }
    }

    /** Assigns each role whose owner is gone, or that has none, to a live controller. To be called at intervals. */
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
            boolean hasLiveOwner = role != null && candidates.contains(role.owner());
            if (!hasLiveOwner && proposedKeys.add(key)) {
                propose(key, RendezvousHash.highestWeighted(key, candidates));
            }
        }
    }

    private void propose(String key, String owner) {
        raft.propose(
                ReplicatedEntryCodec.encode(new ReplicatedEntry.SingletonRoleAssigned(key, owner)),
                outcome -> proposedKeys.remove(key));
    }
}
