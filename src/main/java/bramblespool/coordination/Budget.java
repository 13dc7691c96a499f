package bramblespool.coordination;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this daemon may spend on further tries, per service. Each request earns a share of one; what is saved up is
 * bounded so that the sum over all daemons keeps the rule in every window without a word between them. With so many
 * daemons that a part of the slack is under one try, nothing is saved; whole tries are leased from its owner.
 */
public final class Budget {
    /** The rest of the ratio and of the slack is left for the calls that repeated runs make in their turn. */
    private static final double RATIO_SHARE = 0.5;

    private static final double SLACK_SHARE = 0.3;
    /** Up to this share of the slack may be saved up as one whole try each. */
    private static final double SAVED_SHARE = 0.45;

    private record Lease(int tries, long until) {}

    private final double ratio;
    private final double slack;
    private int sharers = 1;
    private final Object2DoubleOpenHashMap<String> saved = new Object2DoubleOpenHashMap<>();
    private final Map<String, ArrayDeque<Lease>> leases = new HashMap<>();
    private final Set<String> wanting = new LinkedHashSet<>();

    public Budget(double ratio, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        saved.defaultReturnValue(-1);
    }

    /** How many daemons share the slack. */
    public void sharers(int n) {
        sharers = Math.max(sharers, n);
    }

    private double cap() {
        double part = slack / sharers;
        return part * SAVED_SHARE < 1 ? 0 : Math.max(1, part * SLACK_SHARE);
    }

    private double held(String service) {
        double s = saved.getDouble(service);
        return s < 0 ? Math.min(1, cap()) : Math.min(s, cap());
    }

    public void request(String service) {
        saved.put(service, Math.min(Math.max(1, cap()), held(service) + ratio * RATIO_SHARE));
    }

    /** Whether there is a further try to take. */
    public boolean holds(String service, long now) {
        if (held(service) >= 1 || leased(service, now)) {
            return true;
        }
        wanting.add(service);
        return false;
    }

    /** Takes one further try if there is one. */
    public boolean draw(String service, long now) {
        if (!holds(service, now)) {
            return false;
        }
        if (held(service) >= 1) {
            saved.put(service, held(service) - 1);
        } else {
            ArrayDeque<Lease> q = leases.get(service);
            Lease l = q.poll();
            if (l.tries > 1) {
                q.push(new Lease(l.tries - 1, l.until));
            }
        }
        return true;
    }

    private boolean leased(String service, long now) {
        ArrayDeque<Lease> q = leases.get(service);
        if (q == null) {
            return false;
        }
        q.removeIf(l -> l.until <= now);
        return !q.isEmpty();
    }

    /** Tries leased from the owner of the service's slack, good until then. */
    public void leased(String service, int tries, long until) {
        if (tries > 0) {
            leases.computeIfAbsent(service, s -> new ArrayDeque<>()).add(new Lease(tries, until));
        }
    }

    /** The services that lacked a further try since this was last asked. */
    public Set<String> wanting() {
        Set<String> out = new LinkedHashSet<>(wanting);
        wanting.clear();
        return out;
    }
}
