package bramblespool.proxy;

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
public final class IdleConnections<C extends Channel> {
    private record IdlePeriod(long sinceMs, long limitMs) {}

    private final Clock clock;
    private final Map<C, IdlePeriod> idlePeriods = new LinkedHashMap<>();
    private long idleLimitMs;

    public IdleConnections(Clock clock, long idleLimitMs) {
        this.clock = clock;
        this.idleLimitMs = idleLimitMs;
    }

    public void setIdleLimit(long limitMs) {
        idleLimitMs = limitMs;
    }

    /** A request has come on it. */
    public void onRequestStarted(C connection) {
        idlePeriods.remove(connection);
    }

    /** Its request has been answered. */
    public void onRequestEnded(C connection) {
        idlePeriods.put(connection, new IdlePeriod(clock.nowMs(), idleLimitMs));
    }

    /** Closes those that have rested for too long and forgets those that are closed; to be called now and then. */
    public void closeExpired() {
        long nowMs = clock.nowMs();
        closeIdle((connection, period) ->
                !connection.isOpen() || nowMs - period.sinceMs >= Math.max(period.limitMs, idleLimitMs));
    }

    /** Closes all that rest. */
    public void closeIdle() {
        closeIdle((c, r) -> true);
    }

    private void closeIdle(BiPredicate<C, IdlePeriod> condition) {
        idlePeriods.entrySet().removeIf(entry -> {
            boolean shouldClose = condition.test(entry.getKey(), entry.getValue());
            if (shouldClose) {
                IoUtils.safeClose(entry.getKey());
            }
            return shouldClose;
        });
    }
}
