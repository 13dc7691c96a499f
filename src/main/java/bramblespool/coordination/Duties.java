package bramblespool.coordination;

import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Hands out the keyed duties as the leader: each key is held by a live helm, and changes hands with a higher fence. */
final class Duties {
    private final RaftNode raft;
    private final ReplicatedState ledger;
    private final Supplier<Collection<String>> keys;
    /** Which keys are held under a right that lapses soon, so that they change hands sooner. */
    private final Predicate<String> leased;

    private final Set<String> proposed = new HashSet<>();

    Duties(RaftNode raft, ReplicatedState ledger, Supplier<Collection<String>> keys, Predicate<String> leased) {
        this.raft = raft;
        this.ledger = ledger;
        this.keys = keys;
        this.leased = leased;
    }

    /** Gives a duty to its holder once more, under a higher fence, where the one named is still in force. */
    void raise(String key, long fence) {
        ReplicatedState.SingletonRole d = ledger.singletonRoles().get(key);
        if (raft.isLeader() && d != null && d.fencingToken() == fence && proposed.add(key)) {
            raft.propose(
                    ReplicatedState.entry("duty").put("key", key).put("holder", d.owner()), ok -> proposed.remove(key));
        }
    }

    /** One round: what nobody alive holds is given away. */
    void check() {
        if (!raft.isLeader()) {
            proposed.clear();
            return;
        }
        List<String> all = raft.liveMemberAddresses();
        List<String> withRight = raft.leaseHolderAddresses();
        for (String key : keys.get()) {
            ReplicatedState.SingletonRole d = ledger.singletonRoles().get(key);
            List<String> alive = leased.test(key) ? withRight : all;
            if (d != null && alive.contains(d.owner()) || !proposed.add(key)) {
                continue;
            }
            raft.propose(
                    ReplicatedState.entry("duty").put("key", key).put("holder", Rendezvous.first(key, alive)),
                    ok -> proposed.remove(key));
        }
    }
}
