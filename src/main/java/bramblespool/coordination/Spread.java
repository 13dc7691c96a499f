package bramblespool.coordination;

import bramblespool.protocol.Listing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Spreads servers evenly over stewards, each service for itself and all together, moving no more than that takes. */
final class Spread {
    private final Map<String, Integer> all = new HashMap<>();
    private final Map<String, Map<String, Integer>> byService = new HashMap<>();
    private final Collection<String> stewards;

    private Spread(Collection<String> stewards) {
        this.stewards = stewards;
    }

    /** Completes and evens out an assignment of server ids to stewards. Servers about to leave stay where they are. */
    static void even(Collection<Listing.Entry> servers, Collection<String> of, Map<String, String> steward) {
        Spread s = new Spread(new TreeSet<>(of));
        List<Listing.Entry> open = new ArrayList<>();
        List<Listing.Entry> free = new ArrayList<>();
        for (Listing.Entry e : servers) {
            String at = steward.get(e.id());
            if (at == null) {
                free.add(e);
            } else if (!e.draining()) {
                s.count(e.target(), at, 1);
            }
            if (!e.draining()) {
                open.add(e);
            }
        }
        free.sort(Comparator.comparing(Listing.Entry::id));
        open.sort(Comparator.comparing(Listing.Entry::id));
        for (Listing.Entry e : free) {
            String to = s.least(e);
            steward.put(e.id(), to);
            if (!e.draining()) {
                s.count(e.target(), to, 1);
            }
        }
        for (Listing.Entry e : open) {
            String from = steward.get(e.id());
            String to = s.least(e);
            int less = s.of(e.target(), from) - s.of(e.target(), to);
            int lessAll = s.all(from) - s.all(to);
            if (less >= 2 && lessAll >= 0 || less >= 1 && lessAll >= 2) {
                s.count(e.target(), from, -1);
                s.count(e.target(), to, 1);
                steward.put(e.id(), to);
            }
        }
    }

    private void count(String service, String who, int by) {
        all.merge(who, by, Integer::sum);
        byService.computeIfAbsent(service, t -> new HashMap<>()).merge(who, by, Integer::sum);
    }

    private int of(String service, String who) {
        return byService.getOrDefault(service, Map.of()).getOrDefault(who, 0);
    }

    private int all(String who) {
        return all.getOrDefault(who, 0);
    }

    /** Who has the fewest of the service, then the fewest of all, then is first in line for the server. */
    private String least(Listing.Entry e) {
        String best = null;
        for (String who : stewards) {
            if (best == null || compare(e, who, best) < 0) {
                best = who;
            }
        }
        return best;
    }

    private int compare(Listing.Entry e, String a, String b) {
        int c = Integer.compare(of(e.target(), a), of(e.target(), b));
        if (c == 0) {
            c = Integer.compare(all(a), all(b));
        }
        return c != 0 ? c : Long.compare(Rendezvous.weight(e.id(), b), Rendezvous.weight(e.id(), a));
    }
}
