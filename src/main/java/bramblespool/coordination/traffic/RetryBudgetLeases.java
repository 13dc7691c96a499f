package bramblespool.coordination.traffic;

import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The singleton role that leases out a service's retry allowance in whole retries. In any period of a window and a
 * lease's duration it grants no more than the leased part of the allowance, so that no window of the rule has more
 * retries. A new owner does not know what its predecessor granted and waits until all of that has expired. Confined to
 * the event loop.
 */
public final class RetryBudgetLeases {
    /**
     * Fraction of the allowance that is leased; the rest is saved up by proxies or left for calls of retried requests.
     */
    private static final double LEASED_SHARE = 0.25;

    private static final int MAX_RETRIES_PER_GRANT = 2;

    private record Grant(long grantedMs, int retries) {}

    private static final class ServiceLeases {
        final long fencingToken;
        final long ownedSinceMs;
        final ArrayDeque<Grant> grants = new ArrayDeque<>();
        int outstandingRetries;

        ServiceLeases(long fencingToken, long ownedSinceMs) {
            this.fencingToken = fencingToken;
            this.ownedSinceMs = ownedSinceMs;
        }
    }

    private final Clock clock;
    private final int maxLeasedRetries;
    private final long leaseDurationMs;
    private final long accountingWindowMs;
    private final Map<String, ServiceLeases> leasesByService = new HashMap<>();

    /**
     * @param reserve retries allowed in a window over all proxies
     * @param windowMs the rule's window
     */
    public RetryBudgetLeases(Clock clock, double reserve, long windowMs) {
        this.clock = clock;
        this.maxLeasedRetries = (int) (reserve * LEASED_SHARE);
        this.leaseDurationMs = windowMs / 4;
        this.accountingWindowMs = windowMs + leaseDurationMs;
    }

    /** How long a granted retry is valid. */
    public long leaseDurationMs() {
        return leaseDurationMs;
    }

    /** Grants retries of a service under the role's fencing token; 0 where none is available now. */
    public int grant(String service, long fencingToken) {
        long nowMs = clock.nowMs();
        ServiceLeases leases = leasesByService.get(service);
        if (leases == null || leases.fencingToken != fencingToken) {
            leases = new ServiceLeases(fencingToken, nowMs);
            leasesByService.put(service, leases);
        }
        while (!leases.grants.isEmpty() && nowMs - leases.grants.peek().grantedMs > accountingWindowMs) {
            leases.outstandingRetries -= leases.grants.poll().retries;
        }
        int retries = nowMs - leases.ownedSinceMs <= accountingWindowMs
                ? 0
                : Math.min(MAX_RETRIES_PER_GRANT, maxLeasedRetries - leases.outstandingRetries);
        if (retries > 0) {
            leases.grants.add(new Grant(nowMs, retries));
            leases.outstandingRetries += retries;
        }
        return Math.max(0, retries);
    }
}
