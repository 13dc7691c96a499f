package bramblespool.coordination.tenancy;

import bramblespool.transport.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * The voter's part in the leases on shards (after Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
 * distributed file cache consistency", 1989). It grants a lease to whoever asks for one, save to a barred controller;
 * and it bars a controller only once its own last grant to it has lapsed. So when a majority has barred a controller,
 * no majority of grants to it is in force, nor will one be before the bars end.
 *
 * <p>Grants and bars are kept in memory only. A voter that knows nothing of those before it, after a start or as a new
 * voter, refuses everything until all of them have lapsed. Confined to the event loop.
 */
final class LeaseGrantor {
    private final Clock clock;
    private final LeaseTimings timings;
    private final long startedAtMs;
    private final Map<String, Long> grantedAtMs = new HashMap<>();
    private final Map<String, Long> barredUntilMs = new HashMap<>();
    private boolean isVoter;
    private long voterSinceMs;

    LeaseGrantor(Clock clock, LeaseTimings timings) {
        this.clock = clock;
        this.timings = timings;
        this.startedAtMs = clock.nowMs();
    }

    /** To be called at each change of voters: what those before a new voter granted and promised it does not know. */
    void onVotersChanged(boolean isNowVoter) {
        if (isNowVoter && !isVoter) {
            voterSinceMs = clock.nowMs();
        }
        isVoter = isNowVoter;
    }

    /** Decides on a request; from now on the answer binds this voter. */
    boolean decide(LeaseRequest request) {
        if (clock.nowMs() - Math.max(startedAtMs, voterSinceMs) < timings.barredMs()) {
            return false;
        }
        return request.kind() == LeaseRequest.Kind.RENEW ? grant(request.holder()) : bar(request.holder());
    }

    /** Decides on a request, and says with a bar for how long nothing was granted. */
    LeaseReply answer(LeaseRequest request) {
        boolean isGranted = decide(request);
        boolean isBar = request.kind() == LeaseRequest.Kind.BAR;
        return new LeaseReply(isGranted, isGranted && isBar ? silentMs(request.holder()) : 0);
    }

    /** How long ago this voter, or a voter that it does not know of, may have granted the controller a lease. */
    private long silentMs(String holder) {
        long lastKnownMs = Math.max(startedAtMs, voterSinceMs);
        return clock.nowMs() - Math.max(lastKnownMs, grantedAtMs.getOrDefault(holder, lastKnownMs));
    }

    private boolean grant(String holder) {
        long nowMs = clock.nowMs();
        if (barredUntilMs.getOrDefault(holder, nowMs) > nowMs) {
            return false;
        }
        grantedAtMs.put(holder, nowMs);
        return true;
    }

    private boolean bar(String holder) {
        if (!hasLapsed(holder)) {
            return false;
        }
        barredUntilMs.put(holder, clock.nowMs() + timings.barredMs());
        return true;
    }

    /** Whether the last grant to this controller, if any, is older than a lease. */
    boolean hasLapsed(String holder) {
        return clock.nowMs() - grantedAtMs.getOrDefault(holder, startedAtMs) >= timings.leaseMs();
    }

    /**
     * Another voter has granted the controller a lease lately: it counts as if this one had, and is barred no longer.
     */
    void markGrantedElsewhere(String holder) {
        barredUntilMs.remove(holder);
        grantedAtMs.put(holder, clock.nowMs());
    }
}
