package bramblespool.coordination;

import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The duty of leasing out a service's retry slack in whole tries. No more is granted in any span of a window and a
 * lease's life than the leased part of the slack, so that no window of the rule sees more used. A new owner does not
 * know what its predecessor granted and waits until nothing of that can be left.
 */
public final class Slack {
    /** The part of the slack that is leased; the rest is saved up by the daemons, or left for calls of repeated runs. */
    private static final double LEASED_SHARE = 0.25;

    private static final int AT_ONCE = 2;

    private record Grant(long at, int tries) {}

    private static final class Owned {
        final long fence;
        final long since;
        final ArrayDeque<Grant> grants = new ArrayDeque<>();
        int out;

        Owned(long fence, long since) {
            this.fence = fence;
            this.since = since;
        }
    }

    private final Clock clock;
    private final int most;
    private final long lifeMs;
    private final long spanMs;
    private final Map<String, Owned> owned = new HashMap<>();

    public Slack(Clock clock, double slack, long windowMs) {
        this.clock = clock;
        this.most = (int) (slack * LEASED_SHARE);
        this.lifeMs = windowMs / 4;
        this.spanMs = windowMs + lifeMs;
    }

    public long lifeMs() {
        return lifeMs;
    }

    /** Grants tries of a service under the duty's fence; 0 where there are none left for now. */
    public int grant(String service, long fence) {
        long now = clock.now();
        Owned o = owned.get(service);
        if (o == null || o.fence != fence) {
            o = new Owned(fence, now);
            owned.put(service, o);
        }
        while (!o.grants.isEmpty() && now - o.grants.peek().at > spanMs) {
            o.out -= o.grants.poll().tries;
        }
        int n = now - o.since <= spanMs ? 0 : Math.min(AT_ONCE, most - o.out);
        if (n > 0) {
            o.grants.add(new Grant(now, n));
            o.out += n;
        }
        return Math.max(0, n);
    }
}
