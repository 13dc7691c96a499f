package bramblespool.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * A group of voters. While it changes it is two in one (joint consensus): those before and those after, and only what a
 * majority of each says counts. So a change needs no more of the living than the groups before and after it do.
 */
public final class VoterSet {
    private static final String LEAVING_PREFIX = "-";
    private static final String JOINING_PREFIX = "+";

    private final List<String> encoded;
    private final List<String> all = new ArrayList<>();
    private final List<String> oldVoters = new ArrayList<>();
    private final List<String> newVoters = new ArrayList<>();

    private VoterSet(Collection<String> encoded) {
        this.encoded = List.copyOf(encoded);
        for (String mark : this.encoded) {
            boolean isLeaving = mark.startsWith(LEAVING_PREFIX);
            boolean isJoining = mark.startsWith(JOINING_PREFIX);
            String id = isLeaving || isJoining ? mark.substring(1) : mark;
            all.add(id);
            if (!isJoining) {
                oldVoters.add(id);
            }
            if (!isLeaving) {
                newVoters.add(id);
            }
        }
    }

    /** As {@link #encoded}; a list of plain ids is a group that doesn't change. */
    public static VoterSet decode(Collection<String> encoded) {
        return new VoterSet(encoded);
    }

    /** Ids; those that leave bear a minus, those that come a plus. */
    public List<String> encoded() {
        return encoded;
    }

    /** All who have a vote, in the group before or the group after. */
    public List<String> all() {
        return all;
    }

    public List<String> oldVoters() {
        return oldVoters;
    }

    public List<String> newVoters() {
        return newVoters;
    }

    /** Whether this is a change under way. */
    public boolean isJoint() {
        return oldVoters.size() + newVoters.size() != 2 * all.size();
    }

    public boolean contains(String id) {
        return all.contains(id);
    }

    /** The change from this group to another one. */
    public VoterSet transitionTo(Collection<String> targetVoters) {
        List<String> marks = new ArrayList<>();
        all.forEach(voter -> marks.add(targetVoters.contains(voter) ? voter : LEAVING_PREFIX + voter));
        targetVoters.stream().filter(voter -> !all.contains(voter)).forEach(voter -> marks.add(JOINING_PREFIX + voter));
        return new VoterSet(marks);
    }

    /** How many of so many voters agree: a majority, and as many as are to have a copy, as far as there are that many. */
    private static int hasQuorum(int voterCount, int requiredReplicas) {
        return Math.max(voterCount / 2 + 1, Math.min(requiredReplicas, voterCount));
    }

    private static boolean hasQuorum(List<String> voterIds, Predicate<String> agrees, int requiredReplicas) {
        return voterIds.stream().filter(agrees).count() >= hasQuorum(voterIds.size(), requiredReplicas);
    }

    /** Whether a majority says so. */
    public boolean hasMajority(Predicate<String> agrees) {
        return hasQuorum(agrees, 0);
    }

    /** Whether a majority says so, and no fewer than {@code copies} of them while there are that many. */
    public boolean hasQuorum(Predicate<String> agrees, int requiredReplicas) {
        return hasQuorum(oldVoters, agrees, requiredReplicas) && hasQuorum(newVoters, agrees, requiredReplicas);
    }

    /** The highest value that a majority, and no fewer than {@code copies}, have reached. */
    public long quorumValue(ToLongFunction<String> value, int requiredReplicas) {
        return Math.min(
                quorumValue(oldVoters, value, requiredReplicas), quorumValue(newVoters, value, requiredReplicas));
    }

    private static long quorumValue(List<String> voterIds, ToLongFunction<String> value, int requiredReplicas) {
        long[] values = voterIds.stream().mapToLong(value).toArray();
        Arrays.sort(values);
        return values.length == 0 ? Long.MIN_VALUE : values[values.length - hasQuorum(values.length, requiredReplicas)];
    }

    @Override
    public String toString() {
        return encoded.toString();
    }
}
