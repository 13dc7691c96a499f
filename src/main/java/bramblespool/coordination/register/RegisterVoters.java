package bramblespool.coordination.register;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The acceptors of the registers: the voters that the replicated log names, as one controller knows them.
 *
 * <p>The epoch is the log index of the entry that named them. Requests carry it, and an acceptor answers only under the
 * epoch that it knows itself. So a quorum stands for one group of voters, and since a change passes through joint
 * consensus, quorums of successive epochs share an acceptor: what one epoch has chosen the next one finds (CASPaxos,
 * "Cluster membership change").
 */
public final class RegisterVoters {
    /** The log index of the entry that names the founders. */
    private static final long FIRST_INDEX = 1;

    private final ReplicatedState replicatedState;
    private final String self;
    private final int requiredCopies;
    private final boolean isFounder;

    /**
     * @param self the member id of this controller
     * @param requiredCopies how many voters must have a value on disk at least before it is chosen, as far as there are
     *     that many; a majority is needed in any case
     */
    public RegisterVoters(ReplicatedState replicatedState, String self, int requiredCopies) {
        this.replicatedState = replicatedState;
        this.self = self;
        this.requiredCopies = requiredCopies;
        this.isFounder = self.endsWith("#" + RaftNode.FOUNDER_INCARNATION);
    }

    String self() {
        return self;
    }

    long epoch() {
        return replicatedState.votersChangedIndex();
    }

    /** The member ids of all voters; while they change, of those before and after. */
    Set<String> ids() {
        return replicatedState.voterSinceIndexes().keySet();
    }

    /** Whether these are the founders, before whom there were no other voters. */
    boolean areFounders() {
        return epoch() == FIRST_INDEX;
    }

    VoterSet voterSet() {
        return replicatedState.voterSet();
    }

    boolean isSelfVoter() {
        return replicatedState.voterSinceIndexes().containsKey(self);
    }

    /** The log index since which this controller has been a voter without a break; only where it is one. */
    long selfVoterSince() {
        return replicatedState.voterSinceIndexes().get(self);
    }

    /** Whether this controller has been a voter from the group's first entry on: nothing was chosen without it. */
    boolean isSelfFoundingVoter() {
        return isFounder && isSelfVoter() && selfVoterSince() == FIRST_INDEX;
    }

    /** Whether these voters are enough for a value to be chosen. */
    boolean hasQuorum(VoterSet voterSet, Predicate<String> agrees) {
        return voterSet.hasQuorum(agrees, requiredCopies);
    }

    static String addressOf(String voter) {
        return RaftNode.addressOf(voter);
    }

    /**
     * Whether this controller is the one proposer that may skip the prepare phase for the register in this epoch.
     * Rendezvous hashing names it, so that all voters agree on it without a message.
     */
    boolean isSelfPreferredProposer(String registerId) {
        List<String> addresses = new ArrayList<>();
        for (String voter : ids()) {
            addresses.add(addressOf(voter));
        }
        // Two voters at one address are a lost disk and its successor: neither may until one of them is gone.
        Set<String> distinctAddresses = new HashSet<>(addresses);
        return distinctAddresses.size() == addresses.size()
                && addressOf(self).equals(RendezvousHash.highestWeighted(shardOf(registerId), addresses));
    }

    /** The shard that a register belongs to: its id begins with the shard's number and a slash. */
    public static String shardOf(String registerId) {
        return RegisterProposer.SHARD_KEY_PREFIX + registerId.substring(0, registerId.indexOf('/'));
    }
}
