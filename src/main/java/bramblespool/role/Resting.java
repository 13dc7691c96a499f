package bramblespool.role;

import bramblespool.transport.Clock;
import java.nio.channels.Channel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.xnio.IoUtils;

/**
 * The clients' connections on which no request is under way, and how long each may rest. A bound that rises holds for
 * the connections there are; one that falls only for rests that begin under it, for a client may still count on the last.
 */
public final class Resting<C extends Channel> {
    private record Rest(long since, long bound) {}

    private final Clock clock;
    private final Map<C, Rest> resting = new LinkedHashMap<>();
    private long boundMs;

    public Resting(Clock clock, long boundMs) {
        this.clock = clock;
        this.boundMs = boundMs;
    }

    public void bound(long ms) {
        boundMs = ms;
    }

    /** A request has come on it. */
    public void begins(C connection) {
        resting.remove(connection);
    }

    /** Its request has been answered. */
    public void ends(C connection) {
        resting.put(connection, new Rest(clock.now(), boundMs));
    }

    /** Closes those that have rested for too long and forgets those that are closed; to be called now and then. */
    public void sweep() {
        long now = clock.now();
        close((c, r) -> !c.isOpen() || now - r.since >= Math.max(r.bound, boundMs));
    }

    /** Closes all that rest. */
    public void close() {
        close((c, r) -> true);
    }

    private void close(BiPredicate<C, Rest> which) {
        resting.entrySet().removeIf(e -> {
            boolean over = which.test(e.getKey(), e.getValue());
            if (over) {
                IoUtils.safeClose(e.getKey());
            }
            return over;
        });
    }
}
