package bramblespool.proxy;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import bramblespool.transport.Clock;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * The exchanges of one listener whose request was read to its end, until they are complete. Watches their clients,
 * counts how they end, and checks two invariants: each is answered unless its client has left or its response broke off
 * at the server, and none stays open long after its deadline. Confined to the event loop.
 */
final class ExchangeMonitor {
    /**
     * The counters of a listener.
     *
     * @param read requests that were read to their end
     * @param answered those that were answered to the end
     * @param clientClosed those whose client left before
     */
    record Counters(Metric read, Metric answered, Metric clientClosed) {
        static final Counters OF_CLIENTS =
                new Counters(Metric.REQUESTS_READ, Metric.REQUESTS_ANSWERED, Metric.REQUESTS_CLIENT_CLOSED);
        static final Counters OF_PROXIES =
                new Counters(Metric.FORWARDED_READ, Metric.FORWARDED_ANSWERED, Metric.FORWARDED_CLIENT_CLOSED);
    }

    /** What the owner of an exchange does when it is to end before its response. */
    interface Owner {
        /** What the request is waiting for, for the log. */
        String stage();

        /** The process ends: the exchange is to be answered now; returns whether it had no answer yet. */
        boolean endForShutdown();
    }

    private static final int OVERDUE_CHECKS = 2;

    private final Clock clock;
    private final Counters counters;
    private final long overdueMs;
    private final Metrics metrics;
    private final EventLog log;
    private final Set<MonitoredExchange> inFlight = new LinkedHashSet<>();

    /** {@code overdueMs}: how long after its deadline an exchange may be open. */
    ExchangeMonitor(Clock clock, Counters counters, long overdueMs, Metrics metrics, EventLog log) {
        this.clock = clock;
        this.counters = counters;
        this.overdueMs = overdueMs;
        this.metrics = metrics;
        this.log = log;
        clock.scheduleRepeatedly(overdueMs, this::checkOverdue);
    }

    /** Watches an exchange; where its client leaves, cancels the request as its policy wants. */
    void begin(HttpServerExchange exchange, ForwardedRequest request, Owner owner) {
        metrics.increment(counters.read);
        MonitoredExchange monitored = new MonitoredExchange(exchange, request, owner);
        inFlight.add(monitored);
        exchange.addExchangeCompleteListener((done, next) -> {
            monitored.onComplete();
            next.proceed();
        });
        if (request.body().isComplete()) {
            monitored.watch();
        } else {
            // Until then the client's close shows as an incomplete body.
            request.cancellation().whenBodySent(monitored::watch);
        }
    }

    /** Answers every exchange that is not complete, because the process ends. */
    void endForShutdown() {
        for (MonitoredExchange exchange : new ArrayList<>(inFlight)) {
            if (exchange.owner.endForShutdown()) {
                metrics.increment(Metric.REQUESTS_ENDED_AT_SHUTDOWN);
            }
        }
    }

    /** An exchange counts at the second check in a row, for after a pause of the process its timers come late. */
    private void checkOverdue() {
        long limitMs = clock.nowMs() - overdueMs;
        for (MonitoredExchange exchange : inFlight) {
            if (exchange.isOverdue(limitMs) && ++exchange.overdueChecks == OVERDUE_CHECKS) {
                metrics.recordViolation(Metric.VIOLATIONS_OVERDUE, exchange.describe());
            }
        }
    }

    /** One exchange under watch. */
    private final class MonitoredExchange {
        private final HttpServerExchange exchange;
        private final ForwardedRequest request;
        private final Owner owner;
        private boolean hasClientClosed;
        private int overdueChecks;

        private MonitoredExchange(HttpServerExchange exchange, ForwardedRequest request, Owner owner) {
            this.exchange = exchange;
            this.request = request;
            this.owner = owner;
        }

        private void watch() {
            if (!exchange.isComplete()) {
                ClientConnectionWatch.start(exchange, this::onClientClosed);
            }
        }

        private void onClientClosed() {
            hasClientClosed = true;
            log.log(Event.CLIENT_CLOSED, "attempt", request.attemptId(), "stage", owner.stage());
            if (request.cancellation().policy() == ClientClosePolicy.CONTINUE) {
                return;
            }
            request.cancellation().cancel(request.attemptId());
            IoUtils.safeClose(exchange.getConnection());
        }

        private void onComplete() {
            inFlight.remove(this);
            if (hasClientClosed) {
                metrics.increment(counters.clientClosed);
            } else if (exchange.isResponseComplete()) {
                metrics.increment(counters.answered);
            } else if (exchange.isResponseStarted()) {
                // Writing failed, or the response broke off at its source: the client sees that it is incomplete.
                metrics.increment(counters.clientClosed);
            } else {
                metrics.recordViolation(Metric.VIOLATIONS_UNANSWERED, describe());
            }
        }

        private boolean isOverdue(long nowMs) {
            return !exchange.isResponseStarted() && nowMs > request.deadlineMs();
        }

        private String describe() {
            return request.attemptId() + " waiting for " + owner.stage();
        }
    }
}
