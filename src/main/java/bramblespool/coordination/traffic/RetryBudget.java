package bramblespool.coordination.traffic;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A proxy's budget of retries, for each service. Each request earns a fraction of a retry; the balance is bounded so
 * that the sum over all proxies keeps the rule in every window without communication. With so many proxies that each
 * one's share of the allowance is below one retry, nothing is saved up, and whole retries are leased from the owner of
 * {@link RetryBudgetLeases}. Source: RULES-bramblespool.md, "Further tries". Confined to the event loop.
 */
public final class RetryBudget {
    /**
     * Fraction of the rule's ratio that is earned; the rest is left for the calls that retried requests make in turn.
     */
    private static final double RATIO_SHARE = 0.5;
    /** Fraction of this proxy's share of the allowance that may be saved up. */
    private static final double RESERVE_SHARE = 0.3;
    /** Fraction of the share that has to be at least one retry; otherwise nothing is saved up. */
    private static final double WHOLE_RETRY_SHARE = 0.45;

    private record Lease(int retries, long expiresMs) {}

    private final double ratio;
    private final double reserve;
    private int proxyCount = 1;
    private final Object2DoubleOpenHashMap<String> balances = new Object2DoubleOpenHashMap<>();
    private final Map<String, ArrayDeque<Lease>> leases = new HashMap<>();
    private final Set<String> exhaustedServices = new LinkedHashSet<>();

    /**
     * @param ratio retries allowed for each request, as the rule gives it
     * @param reserve retries allowed in a window besides, over all proxies
     */
    public RetryBudget(double ratio, double reserve) {
        this.ratio = ratio;
        this.reserve = reserve;
        balances.defaultReturnValue(-1);
    }

    /** Sets how many proxies share the allowance; never decreases. */
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

    /** Earns a fraction of a retry for a first attempt. */
    public void onRequest(String service) {
        balances.put(service, Math.min(Math.max(1, balanceLimit()), balance(service) + ratio * RATIO_SHARE));
    }

    /** Whether a retry is available; otherwise the service is noted as exhausted. */
    public boolean hasRetry(String service, long nowMs) {
        if (balance(service) >= 1 || hasLease(service, nowMs)) {
            return true;
        }
        exhaustedServices.add(service);
        return false;
    }

    /** Takes one retry if one is available. */
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

    private boolean hasLease(String service, long nowMs) {
        ArrayDeque<Lease> serviceLeases = leases.get(service);
        if (serviceLeases == null) {
            return false;
        }
        serviceLeases.removeIf(lease -> lease.expiresMs <= nowMs);
        return !serviceLeases.isEmpty();
    }

    /** Adds retries leased from the owner of the service's allowance, valid until {@code expiresMs}. */
    public void addLease(String service, int retries, long expiresMs) {
        if (retries > 0) {
            leases.computeIfAbsent(service, s -> new ArrayDeque<>()).add(new Lease(retries, expiresMs));
        }
    }

    /** The services that lacked a retry since the last call. */
    public Set<String> takeExhaustedServices() {
        Set<String> services = new LinkedHashSet<>(exhaustedServices);
        exhaustedServices.clear();
        return services;
    }
}
