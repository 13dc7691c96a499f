package bramblespool.coordination.traffic;

import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The duty of leasing out a service's retry slack in whole tries. No more is granted in any span of a window and a
 * lease's life than the leased part of the slack, so that no window of the rule sees more used. A new owner does not
 * know what its predecessor granted and waits until nothing of that can be left.
 */
public final class RetryBudgetLeases {
    /** The part of the slack that is leased; the rest is saved up by the daemons, or left for calls of repeated runs. */
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

    public RetryBudgetLeases(Clock clock, double reserve, long windowMs) {
        this.clock = clock;
        this.maxLeasedRetries = (int) (reserve * LEASED_SHARE);
        this.leaseDurationMs = windowMs / 4;
        this.accountingWindowMs = windowMs + leaseDurationMs;
    }

    public long leaseDurationMs() {
        return leaseDurationMs;
    }

    /** Grants tries of a service under the duty's fence; 0 where there are none left for now. */
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
