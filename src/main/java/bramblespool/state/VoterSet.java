package bramblespool.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The voters of a cluster. While they change there are two groups, those before the change and those after it, and
 * only what a majority of each agrees on counts (joint consensus: Raft dissertation, section 4.3). So a change needs
 * no more members alive than the groups before and after it do. Immutable, and so safe on any thread.
 */
public final class VoterSet {
    /** Marks of the encoded form, which is stored and sent. */
    private static final String LEAVING_PREFIX = "-";

    private static final String JOINING_PREFIX = "+";

    private final List<String> encoded;
    private final List<String> all = new ArrayList<>();
    private final List<String> oldVoters = new ArrayList<>();
    private final List<String> newVoters = new ArrayList<>();

    private VoterSet(Collection<String> encoded) {
        this.encoded = List.copyOf(encoded);
        for (String encodedVoter : this.encoded) {
            boolean isLeaving = encodedVoter.startsWith(LEAVING_PREFIX);
            boolean isJoining = encodedVoter.startsWith(JOINING_PREFIX);
            String id = isLeaving || isJoining ? encodedVoter.substring(1) : encodedVoter;
            all.add(id);
            if (!isJoining) {
                oldVoters.add(id);
            }
            if (!isLeaving) {
                newVoters.add(id);
            }
        }
    }

    /** Reads the form that {@link #encoded} gives; a list of plain ids is a group that doesn't change. */
    public static VoterSet decode(Collection<String> encoded) {
        return new VoterSet(encoded);
    }

    /** The voters' ids; those that leave have a minus in front, those that join a plus. */
    public List<String> encoded() {
        return encoded;
    }

    /** All voters, of the group before the change or the one after it. */
    public List<String> all() {
        return all;
    }

    /** The voters before the change; all where there is none. */
    public List<String> oldVoters() {
        return oldVoters;
    }

    /** The voters after the change; all where there is none. */
    public List<String> newVoters() {
        return newVoters;
    }

    /** Whether a change is under way. */
    public boolean isJoint() {
        return oldVoters.size() + newVoters.size() != 2 * all.size();
    }

    /** Whether this member is a voter, before the change or after it. */
    public boolean contains(String id) {
        return all.contains(id);
    }

    /** The change from this group, which must not itself be changing, to another one. */
    public VoterSet transitionTo(Collection<String> targetVoters) {
        List<String> encodedVoters = new ArrayList<>();
        all.forEach(voter -> encodedVoters.add(targetVoters.contains(voter) ? voter : LEAVING_PREFIX + voter));
        targetVoters.stream()
                .filter(voter -> !all.contains(voter))
                .forEach(voter -> encodedVoters.add(JOINING_PREFIX + voter));
        return new VoterSet(encodedVoters);
    }

    /** Whether a majority agrees; during a change, one of each group. */
    public boolean hasMajority(Predicate<String> agrees) {
        return hasQuorum(agrees, 0);
    }

    /**
     * Whether a majority agrees, and no fewer than the required replicas as far as there are that many voters; during a
     * change, of each group.
     */
    public boolean hasQuorum(Predicate<String> agrees, int requiredReplicas) {
        return hasQuorum(oldVoters, agrees, requiredReplicas) && hasQuorum(newVoters, agrees, requiredReplicas);
    }

    private static boolean hasQuorum(List<String> voters, Predicate<String> agrees, int requiredReplicas) {
        return voters.stream().filter(agrees).count() >= quorumSize(voters.size(), requiredReplicas);
    }

    /** The highest value that a quorum, as in {@link #hasQuorum}, has reached. */
    public long quorumValue(ToLongFunction<String> value, int requiredReplicas) {
        return Math.min(
                quorumValue(oldVoters, value, requiredReplicas), quorumValue(newVoters, value, requiredReplicas));
    }

    private static long quorumValue(List<String> voters, ToLongFunction<String> value, int requiredReplicas) {
        long[] values = voters.stream().mapToLong(value).toArray();
        Arrays.sort(values);
        return values.length == 0
                ? Long.MIN_VALUE
                : values[values.length - quorumSize(values.length, requiredReplicas)];
    }

    /** A majority, and as many as there are to be replicas as far as there are that many voters. */
    private static int quorumSize(int voterCount, int requiredReplicas) {
        return Math.max(voterCount / 2 + 1, Math.min(requiredReplicas, voterCount));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VoterSet otherSet && encoded.equals(otherSet.encoded);
    }

    @Override
    public int hashCode() {
        return encoded.hashCode();
    }

    @Override
    public String toString() {
        return encoded.toString();
    }
}
