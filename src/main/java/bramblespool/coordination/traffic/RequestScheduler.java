package bramblespool.coordination.traffic;

import bramblespool.transport.Clock;
import java.util.function.Consumer;

/**
 * Runs the requests to one server: never more than its capacity at a time nor faster than its slow start allows, the
 * others in a queue with deadlines. Confined to the event loop.
 */
final class RequestScheduler {
    /** The server as it is known, and what its requests show of it. */
    interface Server {
        /** The id of the present server; null where none is known. */
        String serverId();

        /** Requests that it runs at the same time. */
        int capacity();

        /** Why it takes no requests now; null where it does. */
        Rejection currentRejection(long nowMs);

        /** Whether slow start applies, or may. */
        boolean isWarmingUp(long nowMs);

        /** Whether this is still the server behind the address. */
        boolean isCurrentServer(String id);

        /** A request at the present server has succeeded or failed. */
        void onOutcome(boolean isSuccess);

        /** A request of the route has taken this long at the present server. */
        void onLatency(String route, long latencyMs);
    }

    /**
     * A request that arrives.
     *
     * @param rank a lower one goes first
     * @param latencyTargetMs the route's latency target; 0 where it has none
     * @param deadlineMs on the event loop's clock
     */
    record Arrival(String route, int rank, long latencyTargetMs, long deadlineMs) {}

    /** Limit of the queue as a multiple of the capacity: beyond it no deadline in use could be met. */
    private static final int MAX_QUEUED_PER_SLOT = 4;
    /** A step of rank counts as the latency target divided by this. */
    private static final int RANK_STEP_DIVISOR = 4;
    /** A request whose expected latency exceeds its target may still take this multiple of the expected latency. */
    private static final double MIN_WAIT_FACTOR = 1.1;

    private static final long MIN_RETRY_AFTER_MS = 20;
    /** A request leaves the queue when less than this fraction of its expected latency is left. */
    private static final double MIN_RUN_SHARE = 0.7;

    private final Clock clock;
    private final Server server;
    private final SlowStart slowStart;
    private final LatencyEstimator latency = new LatencyEstimator();
    private final AdmissionQueue queue = new AdmissionQueue();
    private int runningRequests;
    private Clock.Timer slowStartTimer;

    RequestScheduler(Clock clock, Server server, SlowStart slowStart) {
        this.clock = clock;
        this.server = server;
        this.slowStart = slowStart;
    }

    /** Starts, queues or rejects a request; see {@link ServerAdmission#admit}. */
    AdmissionTicket admit(Arrival arrival, Runnable onAdmitted, Consumer<Rejection> onRejected) {
        long nowMs = clock.nowMs();
        long effectiveTargetMs = arrival.latencyTargetMs > 0 ? arrival.latencyTargetMs : arrival.deadlineMs - nowMs;
        AdmissionTicket ticket = new AdmissionTicket(
                this,
                arrival.route,
                nowMs + arrival.rank * effectiveTargetMs / RANK_STEP_DIVISOR,
                onAdmitted,
                onRejected);
        Rejection rejection = server.currentRejection(nowMs);
        if (rejection != null) {
            onRejected.accept(rejection);
            return ticket;
        }
        if (queue.isEmpty() && canStart(nowMs)) {
            start(ticket, nowMs);
            return ticket;
        }
        int queuePosition = queue.positionOf(ticket);
        double expectedMs = latency.expectedMs(arrival.route);
        double msPerStart = msPerStart(nowMs);
        double waitMs = (queuePosition + 0.5) * msPerStart;
        double allowedMs = allowedMs(arrival.latencyTargetMs, arrival.deadlineMs - nowMs, expectedMs);
        if (queue.size() >= server.capacity() * MAX_QUEUED_PER_SLOT || waitMs + expectedMs > allowedMs) {
            onRejected.accept(
                    new Rejection(server.isWarmingUp(nowMs) ? "cold" : "full", Math.max(MIN_RETRY_AFTER_MS, (long)
                            (waitMs + msPerStart))));
            return ticket;
        }
        queue.add(queuePosition, ticket);
        long timeoutMs = Math.max(1, arrival.deadlineMs - nowMs - (long) (expectedMs * MIN_RUN_SHARE));
        ticket.setTimeout(clock.schedule(timeoutMs, () -> {
            if (queue.remove(ticket)) {
                ticket.reject(new Rejection("late", 0));
            }
        }));
        dispatch();
        return ticket;
    }

    private double msPerStart(long nowMs) {
        return server.isWarmingUp(nowMs) && slowStart.isLimited()
                ? slowStart.msPerStart()
                : latency.overallMeanMs() / Math.max(1, server.capacity());
    }

    /**
     * The time that a request may take with its wait. One that would miss its latency target is better tried elsewhere,
     * or later, than queued: a queue that grows up to the deadlines delays all requests without any gain in throughput.
     */
    private static double allowedMs(long latencyTargetMs, long remainingMs, double expectedMs) {
        return latencyTargetMs > 0
                ? Math.min(remainingMs, Math.max(latencyTargetMs, expectedMs * MIN_WAIT_FACTOR))
                : remainingMs;
    }

    private boolean canStart(long nowMs) {
        return runningRequests < server.capacity() && (!server.isWarmingUp(nowMs) || slowStart.hasCapacity(nowMs));
    }

    private void start(AdmissionTicket ticket, long nowMs) {
        runningRequests++;
        slowStart.recordStart(nowMs);
        ticket.admit(server.serverId(), nowMs);
    }

    /** Starts what may start, in order. */
    void dispatch() {
        long nowMs = clock.nowMs();
        while (!queue.isEmpty()) {
            Rejection rejection = server.currentRejection(nowMs);
            if (rejection != null) {
                queue.rejectAll(rejection);
                return;
            }
            if (!canStart(nowMs)) {
                break;
            }
            start(queue.removeFirst(), nowMs);
        }
        if (!queue.isEmpty() && runningRequests < server.capacity() && slowStartTimer == null) {
            slowStartTimer = clock.schedule(slowStart.recheckDelayMs(nowMs), () -> {
                slowStartTimer = null;
                dispatch();
            });
        }
    }

    /** Rejects everything that is queued. */
    void rejectQueued(Rejection rejection) {
        queue.rejectAll(rejection);
    }

    /** Another server has taken the place: what runs at the former one takes no slot. */
    void forgetRunning() {
        runningRequests = 0;
    }

    /** Running and queued requests. */
    int load() {
        return runningRequests + queue.size();
    }

    void onReleased(AdmissionTicket ticket, String releasedServerId, boolean countsLatency) {
        if (server.isCurrentServer(releasedServerId)) {
            runningRequests--;
            if (countsLatency) {
                updateLatency(ticket.route(), clock.nowMs() - ticket.startedMs());
            }
        }
        dispatch();
    }

    void onCancelled(AdmissionTicket ticket) {
        queue.remove(ticket);
    }

    void onOutcome(String executingServerId, boolean isSuccess) {
        if (server.isCurrentServer(executingServerId)) {
            server.onOutcome(isSuccess);
        }
    }

    boolean isSlowerThanUsual(AdmissionTicket ticket) {
        return latency.exceedsMean(ticket.route(), clock.nowMs() - ticket.startedMs());
    }

    private void updateLatency(String route, long latencyMs) {
        server.onLatency(route, latencyMs);
        latency.record(route, latencyMs);
    }
}
