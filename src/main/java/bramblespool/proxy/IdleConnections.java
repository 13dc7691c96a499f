package bramblespool.proxy;

import bramblespool.transport.Clock;
import java.nio.channels.Channel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.xnio.IoUtils;

/**
 * The clients' connections without a request in progress, and how long each may stay idle. A raised limit applies to
 * the present connections; a lowered one only to idle periods that begin under it, because a client may rely on the
 * previous limit. Confined to the event loop.
 */
public final class IdleConnections<C extends Channel> {
    private record IdlePeriod(long sinceMs, long limitMs) {}

    private final Clock clock;
    private final Map<C, IdlePeriod> idlePeriods = new LinkedHashMap<>();
    private long idleLimitMs;

    /** {@code idleLimitMs}: limit of an idle period. */
    public IdleConnections(Clock clock, long idleLimitMs) {
        this.clock = clock;
        this.idleLimitMs = idleLimitMs;
    }

    /** Sets the limit of an idle period. */
    public void setIdleLimit(long limitMs) {
        idleLimitMs = limitMs;
    }

    /** A request has arrived on the connection. */
    public void onRequestStarted(C connection) {
        idlePeriods.remove(connection);
    }

    /** Its request has been answered. */
    public void onRequestEnded(C connection) {
        idlePeriods.put(connection, new IdlePeriod(clock.nowMs(), idleLimitMs));
    }

    /** Closes connections that were idle for too long and forgets closed ones; to be called periodically. */
    public void closeExpired() {
        long nowMs = clock.nowMs();
        closeIdle((connection, period) ->
                !connection.isOpen() || nowMs - period.sinceMs >= Math.max(period.limitMs, idleLimitMs));
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        closeIdle((connection, period) -> true);
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
