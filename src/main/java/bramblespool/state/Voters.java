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
public final class Voters {
    private static final String LEAVES = "-";
    private static final String COMES = "+";

    private final List<String> written;
    private final List<String> all = new ArrayList<>();
    private final List<String> before = new ArrayList<>();
    private final List<String> after = new ArrayList<>();

    private Voters(Collection<String> written) {
        this.written = List.copyOf(written);
        for (String w : this.written) {
            boolean leaves = w.startsWith(LEAVES);
            boolean comes = w.startsWith(COMES);
            String id = leaves || comes ? w.substring(1) : w;
            all.add(id);
            if (!comes) {
                before.add(id);
            }
            if (!leaves) {
                after.add(id);
            }
        }
    }

    /** As {@link #written}; a list of plain ids is a group that doesn't change. */
    public static Voters read(Collection<String> written) {
        return new Voters(written);
    }

    /** Ids; those that leave bear a minus, those that come a plus. */
    public List<String> written() {
        return written;
    }

    /** All who have a vote, in the group before or the group after. */
    public List<String> all() {
        return all;
    }

    public List<String> before() {
        return before;
    }

    public List<String> after() {
        return after;
    }

    /** Whether this is a change under way. */
    public boolean joint() {
        return before.size() + after.size() != 2 * all.size();
    }

    public boolean contains(String id) {
        return all.contains(id);
    }

    /** The change from this group to another one. */
    public Voters to(Collection<String> next) {
        List<String> out = new ArrayList<>();
        all.forEach(v -> out.add(next.contains(v) ? v : LEAVES + v));
        next.stream().filter(v -> !all.contains(v)).forEach(v -> out.add(COMES + v));
        return new Voters(out);
    }

    /** How many of so many voters agree: a majority, and as many as are to have a copy, as far as there are that many. */
    private static int enough(int voters, int copies) {
        return Math.max(voters / 2 + 1, Math.min(copies, voters));
    }

    private static boolean enough(List<String> of, Predicate<String> says, int copies) {
        return of.stream().filter(says).count() >= enough(of.size(), copies);
    }

    /** Whether a majority says so. */
    public boolean majority(Predicate<String> says) {
        return enough(says, 0);
    }

    /** Whether a majority says so, and no fewer than {@code copies} of them while there are that many. */
    public boolean enough(Predicate<String> says, int copies) {
        return enough(before, says, copies) && enough(after, says, copies);
    }

    /** The highest value that a majority, and no fewer than {@code copies}, have reached. */
    public long reached(ToLongFunction<String> value, int copies) {
        return Math.min(reached(before, value, copies), reached(after, value, copies));
    }

    private static long reached(List<String> of, ToLongFunction<String> value, int copies) {
        long[] values = of.stream().mapToLong(value).toArray();
        Arrays.sort(values);
        return values.length == 0 ? Long.MIN_VALUE : values[values.length - enough(values.length, copies)];
    }

    @Override
    public String toString() {
        return written.toString();
    }
}
