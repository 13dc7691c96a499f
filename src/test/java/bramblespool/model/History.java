package bramblespool.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What operators sent and what helms answered, each with the moments between which it took effect. */
final class History {
    /** A change as an operator sends it. */
    static final class Change {
        /** So many letters of a digest are kept in a ledger. */
        private static final int KNOWN_BY = 32;

        final int name;
        final long base;
        final long number;
        final String document;
        final String digest;
        long sent = Long.MAX_VALUE;
        long taken = Long.MAX_VALUE;
        int refused;

        Change(int name, long base, long number, String document, String digest) {
            this.name = name;
            this.base = base;
            this.number = number;
            this.document = document;
            this.digest = digest.substring(0, KNOWN_BY);
        }

        @Override
        public String toString() {
            return "order " + name + " (" + number + " on " + base + ")";
        }
    }

    /** A refusal of a change, or a read-back, of {@code number}, which began and ended at these steps. */
    private record Seen(long began, long ended, Change refused, long number) {}

    private final Map<String, Change> byDigest = new HashMap<>();
    private final Map<Long, Change> takenOn = new HashMap<>();
    private final List<Seen> seen = new ArrayList<>();
    /** The versions agreed, in order: digest and number. */
    final Map<String, Long> versions = new LinkedHashMap<>();

    void sent(Change c, long step) {
        byDigest.put(c.digest, c);
        c.sent = Math.min(c.sent, step);
    }

    void taken(Change c, long step) {
        if (c.refused != 0) {
            throw new Broken("RefusedStaysOut", c + " was refused " + c.refused + " and is acknowledged");
        }
        Change rival = takenOn.putIfAbsent(c.base, c);
        if (rival != null && rival != c) {
            throw new Broken("OneChangeOnEachVersion", rival + " and " + c + " are both acknowledged");
        }
        c.taken = Math.min(c.taken, step);
    }

    void refused(Change c, int status, long began, long step) {
        c.refused = status;
        if (c.taken != Long.MAX_VALUE) {
            throw new Broken("TakenIsNotRefused", c + " was acknowledged and is refused " + status);
        }
        if (versions.containsKey(c.digest)) {
            throw new Broken("TakenIsNotRefused", c + " is agreed and is refused " + status);
        }
        seen.add(new Seen(began, step, c, 0));
    }

    void read(long number, long began, long step) {
        seen.add(new Seen(began, step, null, number));
    }

    /** Takes up the versions as a helm has agreed them. */
    void agreed(Map<String, Long> more) {
        if (more.size() <= versions.size() && versions.keySet().containsAll(more.keySet())) {
            return;
        }
        more.forEach((digest, number) -> {
            if (versions.putIfAbsent(digest, number) == null) {
                Change c = byDigest.get(digest);
                if (c == null || c.number != number) {
                    throw new Broken("OnlyWhatWasSent", "version " + number + " is no order's");
                }
                if (c.refused != 0) {
                    throw new Broken("RefusedStaysOut", c + " was refused " + c.refused + " and is agreed");
                }
            }
        });
    }

    /**
     * Whether all that was heard fits one register that goes through the agreed versions in their order: each refusal and
     * each read gets the first place in that order that it allows and that no earlier answer has passed.
     */
    void linearizable() {
        List<Change> order = new ArrayList<>();
        long last = 0;
        for (String digest : versions.keySet()) {
            Change c = byDigest.get(digest);
            if (c.base != last || c.number <= last) {
                throw new Broken("Linearizable", c + " is agreed on top of " + last);
            }
            last = c.number;
            order.add(c);
        }
        for (Change c : byDigest.values()) {
            if (c.taken != Long.MAX_VALUE && !versions.containsKey(c.digest)) {
                throw new Broken("AcknowledgedIsKept", c + " was acknowledged and is not among " + versions.values());
            }
        }
        seen.sort(Comparator.comparingLong(Seen::began));
        // Places that are passed for whatever begins after a step.
        List<long[]> passed = new ArrayList<>();
        for (int k = 0; k < order.size(); k++) {
            if (order.get(k).taken != Long.MAX_VALUE) {
                passed.add(new long[] {order.get(k).taken, k + 1});
            }
        }
        for (Seen s : seen) {
            int from = passedBefore(passed, s.began);
            int place = from;
            while (place <= order.size() && !fits(s, order, place)) {
                place++;
            }
            if (place > order.size() || place > 0 && order.get(place - 1).sent >= s.ended) {
                String what = s.refused != null ? s.refused + " was refused" : s.number + " was read";
                throw new Broken(
                        "Linearizable",
                        what + " when " + (from == 0 ? 0 : order.get(from - 1).number)
                                + " had been told as current, of " + versions.values());
            }
            passed.add(new long[] {s.ended, place});
        }
        for (int k = 0; k < order.size(); k++) {
            if (passedBefore(passed, order.get(k).sent) > k) {
                throw new Broken("Linearizable", order.get(k) + " was told of before it was sent");
            }
        }
    }

    private static int passedBefore(List<long[]> passed, long step) {
        int out = 0;
        for (long[] p : passed) {
            if (p[0] < step && p[1] > out) {
                out = (int) p[1];
            }
        }
        return out;
    }

    private static boolean fits(Seen s, List<Change> order, int place) {
        long current = place == 0 ? 0 : order.get(place - 1).number;
        return s.refused == null ? current == s.number : s.refused.base != current && order.indexOf(s.refused) < 0;
    }
}
