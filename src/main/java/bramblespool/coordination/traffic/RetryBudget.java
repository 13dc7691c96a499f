package bramblespool.coordination.traffic;

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
public final class RetryBudget {
    /** The rest of the ratio and of the slack is left for the calls that repeated runs make in their turn. */
    private static final double RATIO_SHARE = 0.5;

    private static final double RESERVE_SHARE = 0.3;
    /** Up to this share of the slack may be saved up as one whole try each. */
    private static final double WHOLE_RETRY_SHARE = 0.45;

    private record Lease(int retries, long expiresMs) {}

    private final double ratio;
    private final double reserve;
    private int proxyCount = 1;
    private final Object2DoubleOpenHashMap<String> balances = new Object2DoubleOpenHashMap<>();
    private final Map<String, ArrayDeque<Lease>> leases = new HashMap<>();
    private final Set<String> exhaustedServices = new LinkedHashSet<>();

    public RetryBudget(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        balances.defaultReturnValue(-1);
    }

    /** How many daemons share the slack. */
    public void setProxyCount(int count) {
        proxyCount = Math.max(proxyCount, count);
    }

    private double balanceLimit() {
        double reserveShare = reserve / proxyCount;
        return reserveShare * WHOLE_RETRY_SHARE < 1 ? 0 : Math.max(1, reserveShare * RESERVE_SHARE);
    }

    private double balance(String service) {
        double savedBalance = balances.getDouble(service);
        return savedBalance < 0 ? Math.min(1, balanceLimit()) : Math.min(savedBalance, balanceLimit());
    }

    public void onRequest(String service) {
        balances.put(service, Math.min(Math.max(1, balanceLimit()), balance(service) + ratio * RATIO_SHARE));
    }

    /** Whether there is a further try to take. */
    public boolean hasRetry(String service, long nowMs) {
        if (balance(service) >= 1 || leased(service, nowMs)) {
            return true;
        }
        exhaustedServices.add(service);
        return false;
    }

    /** Takes one further try if there is one. */
    public boolean tryAcquire(String service, long nowMs) {
        if (!hasRetry(service, nowMs)) {
            return false;
        }
        if (balance(service) >= 1) {
            balances.put(service, balance(service) - 1);
        } else {
            ArrayDeque<Lease> serviceLeases = leases.get(service);
            Lease lease = serviceLeases.poll();
            if (lease.retries > 1) {
                serviceLeases.push(new Lease(lease.retries - 1, lease.expiresMs));
            }
        }
        return true;
    }

    private boolean leased(String service, long nowMs) {
        ArrayDeque<Lease> serviceLeases = leases.get(service);
        if (serviceLeases == null) {
            return false;
        }
        serviceLeases.removeIf(lease -> lease.expiresMs <= nowMs);
        return !serviceLeases.isEmpty();
    }

    /** Tries leased from the owner of the service's slack, good until then. */
    public void leased(String service, int retries, long expiresMs) {
        if (retries > 0) {
            leases.computeIfAbsent(service, s -> new ArrayDeque<>()).add(new Lease(retries, expiresMs));
        }
    }

    /** The services that lacked a further try since this was last asked. */
    public Set<String> takeExhaustedServices() {
        Set<String> services = new LinkedHashSet<>(exhaustedServices);
        exhaustedServices.clear();
        return services;
    }
}
