package bramblespool.coordination.traffic;

import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.protocol.Heartbeat;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import it.unimi.dsi.fastutil.longs.LongArrayFIFOQueue;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Admission of requests to one server: its identity, capacity, slow start, draining and evacuation, a queue with
 * deadlines, and detection of failures and slowness. A request that is rejected here has not reached the server and has
 * not been executed. Source: PROTOCOL-bramblespool.md, "Servers". Confined to the event loop.
 */
public final class ServerAdmission {
    /**
     * A rejected request.
     *
     * @param reason sent to the calling proxy, which compares some of the values
     * @param retryAfterMs when to try again; 0 where nothing is known
     */
    public record Rejection(String reason, long retryAfterMs) {}

    /**
     * Parameters from the settings.
     *
     * @param heartbeatIntervalMs 0 where servers send no heartbeats but are known from the registry
     * @param drainGraceMs how long requests are still admitted to a draining server, until callers have learned of it
     * @param drainTimeoutMs the rule's limit for requests to a draining server
     * @param slowStartExcessFactor factor on the slow-start rate that the rule allows
     * @param slowStartAllowance requests in a second that the rule allows besides
     */
    public record AdmissionSettings(
            long heartbeatIntervalMs,
            long drainGraceMs,
            long drainTimeoutMs,
            double slowStartExcessFactor,
            double slowStartAllowance) {
        /** For a server that sends heartbeats to its sidecar. */
        public static AdmissionSettings forHeartbeats(Settings settings) {
            Settings.Bounds bounds = settings.bounds();
            return new AdmissionSettings(
                    settings.heartbeatIntervalMs(),
                    bounds.drainMs() / 3,
                    bounds.drainMs(),
                    bounds.slowStartExcess(),
                    bounds.slowStartAllowance());
        }

        /** For a server known from the registry, which shows changes late already: without a drain grace. */
        public static AdmissionSettings forRegistry(Settings settings) {
            Settings.Bounds bounds = settings.bounds();
            return new AdmissionSettings(0, 0, bounds.drainMs(), bounds.slowStartExcess(), bounds.slowStartAllowance());
        }

        private boolean expectsHeartbeats() {
            return heartbeatIntervalMs > 0;
        }

        /** When a caller should try again while there is no server. */
        private long recheckDelayMs() {
            return expectsHeartbeats() ? heartbeatIntervalMs / 3 : drainTimeoutMs / 12;
        }
    }

    /** One request: queued, running or ended. */
    public final class AdmissionTicket {
        private final String route;
        /**
         * Order in the queue: a step of rank counts as a fraction of the latency target, so that no rank starves
         * another.
         */
        private final long queueOrderMs;

        private final Runnable onAdmitted;
        private final Consumer<Rejection> onRejected;
        private long startedMs;
        private String serverId;
        private Clock.Timer timeoutTimer;

        private AdmissionTicket(String route, long queueOrderMs, Runnable onAdmitted, Consumer<Rejection> onRejected) {
            this.route = route;
            this.queueOrderMs = queueOrderMs;
            this.onAdmitted = onAdmitted;
            this.onRejected = onRejected;
        }

        /** The id of the server it was admitted to; null before that and after its release. */
        public String serverId() {
            return serverId;
        }

        /** Frees the slot; {@code countsLatency} where the time it took is a sample of its route's latency. */
        public void release(boolean countsLatency) {
            if (serverId == null) {
                return;
            }
            boolean isSameServer = serverId.equals(currentServerId);
            serverId = null;
            if (isSameServer) {
                runningRequests--;
                if (countsLatency) {
                    updateLatency(route, clock.nowMs() - startedMs);
                }
            }
            dispatchQueue();
        }

        /** Takes the request out of the queue without a callback; has no effect on one that is not queued. */
        public void cancel() {
            cancelTimer();
            queue.remove(this);
        }

        /**
         * Frees the slot of a request that was broken off. Its time so far is a sample of the latency only where it
         * exceeds the mean: a server that has become slow shows although its clients leave early.
         */
        public void releaseCancelled() {
            release(clock.nowMs() - startedMs > meanLatencyByRoute.getDouble(route));
        }

        /** Records whether the server succeeded, for its failure rate; to be called before {@link #release}. */
        public void recordOutcome(boolean isSuccess) {
            if (serverId != null && serverId.equals(currentServerId)) {
                updateFailureRate(isSuccess);
            }
        }

        private void cancelTimer() {
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
                timeoutTimer = null;
            }
        }
    }

    /** Limit of the queue as a multiple of the capacity: beyond it no deadline in use could be met. */
    private static final int MAX_QUEUED_PER_SLOT = 4;
    /** Fraction of the rule's slow-start limit that is used, so that a delayed arrival never exceeds the limit. */
    private static final double SLOW_START_LIMIT_SHARE = 0.92;
    /** A step of rank counts as the latency target divided by this. */
    private static final int RANK_STEP_DIVISOR = 4;
    /** A request whose expected latency exceeds its target may still take this multiple of the expected latency. */
    private static final double MIN_WAIT_FACTOR = 1.1;
    /** Mean deviations above the mean that make up the expected latency. */
    private static final double LATENCY_DEVIATIONS = 1.5;

    private static final long SECOND_MS = 1000;
    /** Weight of one outcome in the failure rate. */
    private static final double OUTCOME_EWMA_WEIGHT = 0.15;
    /** Steps in which the failure rate is announced: one failure among many successes stays below the first. */
    private static final int FAILURE_RATE_STEPS = 5;

    private static final double LATENCY_EWMA_WEIGHT = 0.1;
    private static final double INITIAL_LATENCY_MS = 100;
    /** Heartbeat intervals without one after which the server may be in slow start unnoticed. */
    private static final double UNCERTAIN_AFTER_HEARTBEATS = 1.5;
    /** A server at most this much older than this process was not running at the time of its predecessor. */
    private static final long START_TIME_TOLERANCE_MS = 200;
    /** Heartbeat intervals without one after which the server counts as unreachable. */
    private static final double UNREACHABLE_AFTER_HEARTBEATS = 2.4;

    private final Clock clock;
    private final EventLog log;
    private final AdmissionSettings admissionSettings;
    private final String address;
    private final String target;
    private final Runnable onChange;
    private String currentServerId;
    private int capacity;
    private boolean isDraining;
    private long drainingSinceMs;
    private boolean isUnreachable;
    private long unreachableSinceMs;
    private boolean isEvacuated;
    private boolean isStateUncertain = true;
    private long warmingUpUntilMs;
    private double slowStartRatePerSecond;
    private long warmupMs;
    private final long createdMs;
    private long lastHeartbeatMs;
    private long lastCallSequence = -1;
    private int runningRequests;
    /** Ids of servers that have left, or were draining when another one replaced them. */
    private final Set<String> endedServerIds = new HashSet<>();
    /** Ids of servers that another one has replaced, each with its last {@code callSeq}. */
    private final Map<String, Long> supersededServers = new HashMap<>();

    private final List<AdmissionTicket> queue = new ArrayList<>();
    private final LongArrayFIFOQueue startTimesMs = new LongArrayFIFOQueue();
    private final Object2DoubleOpenHashMap<String> meanLatencyByRoute = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> latencyDeviationByRoute = new Object2DoubleOpenHashMap<>();
    private double meanLatencyMs = INITIAL_LATENCY_MS;
    private double failureRate;
    private long failureRateAtMs;
    private int reportedFailureStep;
    private final LatencyBaseline latencyBaseline;
    private int reportedSlownessLevel;
    private Clock.Timer slowStartTimer;

    /**
     * @param address where the server is reached
     * @param target its service
     * @param onChange runs after a change of what is announced of this server
     */
    public ServerAdmission(
            Clock clock,
            AdmissionSettings admissionSettings,
            String address,
            String target,
            Runnable onChange,
            EventLog log) {
        this.clock = clock;
        this.admissionSettings = admissionSettings;
        this.address = address;
        this.target = target;
        this.onChange = onChange;
        this.log = log;
        this.createdMs = clock.nowMs();
        this.latencyBaseline = new LatencyBaseline(admissionSettings.drainTimeoutMs);
        meanLatencyByRoute.defaultReturnValue(-1);
    }

    // ---- information about the server

    /** Takes a heartbeat; returns null where it is acknowledged, else its fault. */
    public String onHeartbeat(Heartbeat heartbeat) {
        if (!heartbeat.target().equals(target)) {
            return "target: this machine's server is of " + target;
        }
        if (!heartbeat.address().equals(address)) {
            return "address: this machine's server is at " + address;
        }
        if (endedServerIds.contains(heartbeat.id())
                || heartbeat.id().equals(currentServerId) && heartbeat.callSequence() <= lastCallSequence
                || isLate(heartbeat)) {
            return null;
        }
        boolean isNewServer = !heartbeat.id().equals(currentServerId);
        if (isNewServer) {
            if (isDraining) {
                endedServerIds.add(currentServerId);
            } else if (currentServerId != null) {
                supersededServers.put(currentServerId, lastCallSequence);
            }
            currentServerId = heartbeat.id();
            runningRequests = 0;
            failureRate = 0;
            latencyBaseline.reset();
            isDraining = false;
            if (supersededServers.remove(currentServerId) == null) {
                startTimesMs.clear();
            }
            log.log(
                    Event.SERVER_REGISTERED,
                    "server",
                    currentServerId,
                    "capacity",
                    heartbeat.capacity(),
                    "slowStartLeftMs",
                    heartbeat.warmupLeftMs());
        } else if (isUnreachable) {
            log.log(Event.SERVER_RECOVERED, "server", currentServerId);
        }
        long nowMs = clock.nowMs();
        boolean wasWarmingUp = isWarmingUp(nowMs);
        boolean hasChanged = isNewServer
                || isUnreachable
                || heartbeat.isDraining() && !isDraining
                || heartbeat.capacity() != capacity;
        isUnreachable = false;
        isStateUncertain = false;
        lastHeartbeatMs = nowMs;
        lastCallSequence = heartbeat.callSequence();
        capacity = heartbeat.capacity();
        warmingUpUntilMs = heartbeat.warmupLeftMs() > 0 ? nowMs + heartbeat.warmupLeftMs() : 0;
        if (heartbeat.isDraining() && !isDraining) {
            isDraining = true;
            // One that is draining at its first heartbeat may have been acknowledged by an earlier run of this process.
            drainingSinceMs = isNewServer ? nowMs - admissionSettings.drainTimeoutMs : nowMs;
            log.log(Event.SERVER_DRAINING, "server", currentServerId);
        }
        if (hasChanged || wasWarmingUp != isWarmingUp(nowMs)) {
            onChange.run();
        }
        dispatchQueue();
        return null;
    }

    /**
     * Whether the heartbeat is a delayed one of a server that another one has replaced. After a restart of this process
     * the order of servers is not known, and the delayed heartbeat may have been the other one's: where that server is
     * unreachable, this one is accepted.
     */
    private boolean isLate(Heartbeat heartbeat) {
        Long lastSequence = supersededServers.get(heartbeat.id());
        if (lastSequence == null) {
            return false;
        }
        if (heartbeat.isDraining()) {
            supersededServers.remove(heartbeat.id());
            endedServerIds.add(heartbeat.id());
            return true;
        }
        return !isUnreachable || heartbeat.callSequence() <= lastSequence;
    }

    /** Takes the registry's entry of this server. */
    public void onRegistryEntry(String listedServerId, int newCapacity, boolean shouldDrain, long warmupLeftMs) {
        boolean isNewServer = currentServerId == null;
        boolean hasChanged = isNewServer || shouldDrain && !isDraining || newCapacity != capacity;
        currentServerId = listedServerId;
        capacity = newCapacity;
        lastHeartbeatMs = clock.nowMs();
        isStateUncertain = false;
        warmingUpUntilMs = warmupLeftMs > 0 ? lastHeartbeatMs + warmupLeftMs : 0;
        if (shouldDrain && !isDraining) {
            isDraining = true;
            drainingSinceMs = lastHeartbeatMs;
            log.log(Event.SERVER_DRAINING, "server", currentServerId);
        }
        if (hasChanged) {
            onChange.run();
            rejectQueued();
        }
    }

    /** Marks the server as draining, which is never undone. */
    public void markDraining() {
        if (!isDraining) {
            isDraining = true;
            drainingSinceMs = clock.nowMs();
            log.log(Event.SERVER_DRAINING, "server", currentServerId);
            onChange.run();
            rejectQueued();
        }
    }

    /** Ends admission to this server: queued requests are rejected. */
    public void close() {
        if (currentServerId != null) {
            endedServerIds.add(currentServerId);
            isUnreachable = true;
            unreachableSinceMs = Long.MAX_VALUE / 2;
            rejectQueued();
        }
    }

    /** Takes the answer to a health check, where no heartbeat has come since this process started. */
    public void onHealthCheck(String checkedServerId, int newCapacity, long warmupLeftMs) {
        if (currentServerId != null || endedServerIds.contains(checkedServerId)) {
            return;
        }
        currentServerId = checkedServerId;
        capacity = newCapacity;
        isStateUncertain = false;
        isUnreachable = false;
        lastHeartbeatMs = clock.nowMs();
        warmingUpUntilMs = warmupLeftMs > 0 ? lastHeartbeatMs + warmupLeftMs : 0;
        log.log(
                Event.SERVER_REGISTERED,
                "server",
                currentServerId,
                "capacity",
                newCapacity,
                "slowStartLeftMs",
                warmupLeftMs,
                "source",
                "probe");
        onChange.run();
    }

    /** The server has deregistered. */
    public void onServerLeft(String leavingServerId) {
        supersededServers.remove(leavingServerId);
        endedServerIds.add(leavingServerId);
        if (leavingServerId.equals(currentServerId)) {
            takeOutOfService(Event.SERVER_DEREGISTERED);
        }
    }

    /** A connection to the server failed: no more requests are admitted until its next heartbeat. */
    public void markUnreachable(String unreachableServerId) {
        if (unreachableServerId.equals(currentServerId) && !isUnreachable) {
            takeOutOfService(Event.SERVER_UNRESPONSIVE);
        }
    }

    private void takeOutOfService(Event event) {
        if (!isUnreachable) {
            log.log(event, "server", currentServerId);
        }
        isUnreachable = true;
        unreachableSinceMs = clock.nowMs();
        isStateUncertain = true;
        onChange.run();
        rejectQueued();
    }

    /** The failure rate, decayed with a half-life of {@code drain}. */
    private double decayedFailureRate() {
        return failureRate
                * Math.pow(0.5, (double) (clock.nowMs() - failureRateAtMs) / admissionSettings.drainTimeoutMs);
    }

    private void updateFailureRate(boolean isSuccess) {
        failureRate = decayedFailureRate() * (1 - OUTCOME_EWMA_WEIGHT) + (isSuccess ? 0 : OUTCOME_EWMA_WEIGHT);
        failureRateAtMs = clock.nowMs();
        publishHealth();
    }

    private void publishHealth() {
        int failureStep = (int) (decayedFailureRate() * FAILURE_RATE_STEPS);
        int currentSlownessLevel = latencyBaseline.slownessLevel(clock.nowMs(), reportedSlownessLevel);
        if (failureStep != reportedFailureStep || currentSlownessLevel != reportedSlownessLevel) {
            reportedFailureStep = failureStep;
            reportedSlownessLevel = currentSlownessLevel;
            onChange.run();
        }
    }

    /**
     * The announced failure rate, 0 to 1, in steps. It is derived from requests only, because health checks may be
     * wrong.
     */
    public double reportedFailureRate() {
        return (double) reportedFailureStep / FAILURE_RATE_STEPS;
    }

    /** The announced slowness level: 0 to 2, see {@link LatencyBaseline}. */
    public int slownessLevel() {
        return reportedSlownessLevel;
    }

    /** The cost of its failures and slowness as utilization, the same as for callers that choose an endpoint. */
    double outlierCost() {
        return reportedFailureRate() * EndpointDirectory.FAILURE_COST
                + reportedSlownessLevel * EndpointDirectory.SLOWNESS_COST;
    }

    /** Detects a silent server and publishes changes of health; to be called periodically. */
    public void check() {
        long nowMs = clock.nowMs();
        publishHealth();
        if (currentServerId != null
                && !isUnreachable
                && admissionSettings.expectsHeartbeats()
                && nowMs - lastHeartbeatMs > admissionSettings.heartbeatIntervalMs * UNREACHABLE_AFTER_HEARTBEATS) {
            takeOutOfService(Event.SERVER_UNRESPONSIVE);
        } else if (isUnreachable
                && !admissionSettings.expectsHeartbeats()
                && nowMs - unreachableSinceMs > admissionSettings.drainTimeoutMs / 4) {
            // Nothing will announce that it is back: the next request finds out.
            isUnreachable = false;
            isStateUncertain = false;
            onChange.run();
        }
    }

    /** The process was paused: what the server announced before may be out of date. */
    public void onProcessPaused() {
        isStateUncertain = true;
    }

    /** Sets whether the zone is evacuated; queued requests are rejected. */
    public void setEvacuated(boolean evacuated) {
        if (isEvacuated && !evacuated) {
            // It may have gone into slow start meanwhile, which the next heartbeat shows.
            isStateUncertain = true;
        }
        isEvacuated = evacuated;
        if (evacuated) {
            rejectQueued();
        }
    }

    /** Sets the service's slow start: requests a second, 0 for no limit, and its duration. */
    public void configureSlowStart(double ratePerSecond, long durationMs) {
        slowStartRatePerSecond = ratePerSecond;
        warmupMs = durationMs;
    }

    // ---- announced state

    /** The id of the present server; null where none is known. */
    public String serverId() {
        return currentServerId;
    }

    /** Whether the server is known, reachable and not draining. */
    public boolean isAccepting() {
        return currentServerId != null && !isUnreachable && !isDraining;
    }

    /** Requests that the server runs at the same time. */
    public int capacity() {
        return capacity;
    }

    /** The server's service. */
    public String target() {
        return target;
    }

    /** The server's address. */
    public String address() {
        return address;
    }

    /** Running and queued requests. */
    public int load() {
        return runningRequests + queue.size();
    }

    /** Remaining time of slow start; a heartbeat interval where its state is uncertain. */
    public long warmupLeftMs() {
        long nowMs = clock.nowMs();
        return isStateUncertain && admissionSettings.expectsHeartbeats()
                ? admissionSettings.heartbeatIntervalMs
                : Math.max(0, warmingUpUntilMs - nowMs);
    }

    private boolean isWarmingUp(long nowMs) {
        return warmingUpUntilMs > nowMs
                || admissionSettings.expectsHeartbeats()
                        && (isStateUncertain
                                || nowMs - lastHeartbeatMs
                                        > admissionSettings.heartbeatIntervalMs * UNCERTAIN_AFTER_HEARTBEATS);
    }

    /**
     * Whether this process's predecessor may have sent requests to this server in slow start within the last second: it
     * may where the server is older than this process, and the number is not known.
     */
    private boolean mayHaveEarlierStarts(long nowMs) {
        long serverAgeMs = isStateUncertain ? Long.MAX_VALUE : warmupMs - (warmingUpUntilMs - nowMs);
        return nowMs - createdMs < SECOND_MS && serverAgeMs > nowMs - createdMs + START_TIME_TOLERANCE_MS;
    }

    /** Whether a request should be sent here rather than to the other server of the same service. */
    boolean precedes(ServerAdmission other) {
        if (isAccepting() != other.isAccepting()) {
            return isAccepting();
        }
        return (load() + 1.0) / capacity + outlierCost() < (other.load() + 1.0) / other.capacity + other.outlierCost();
    }

    // ---- requests

    /**
     * Admits a request, queues it, or rejects it at once. Exactly one of the callbacks runs, possibly before this
     * returns, unless the request is still queued at the event loop's end.
     *
     * @param rank the request's rank; a lower one goes first
     * @param latencyTargetMs the route's latency target; 0 where it has none
     * @param deadlineMs on the event loop's clock
     */
    public AdmissionTicket admit(
            String route,
            int rank,
            long latencyTargetMs,
            long deadlineMs,
            Runnable onAdmitted,
            Consumer<Rejection> onRejected) {
        long nowMs = clock.nowMs();
        long effectiveTargetMs = latencyTargetMs > 0 ? latencyTargetMs : deadlineMs - nowMs;
        AdmissionTicket ticket = new AdmissionTicket(
                route, nowMs + rank * effectiveTargetMs / RANK_STEP_DIVISOR, onAdmitted, onRejected);
        Rejection rejection = currentRejection(nowMs);
        if (rejection != null) {
            onRejected.accept(rejection);
            return ticket;
        }
        if (queue.isEmpty() && canStart(nowMs)) {
            start(ticket, nowMs);
            return ticket;
        }
        int queuePosition = 0;
        while (queuePosition < queue.size() && precedes(queue.get(queuePosition), ticket)) {
            queuePosition++;
        }
        double expectedMs = expectedLatencyMs(route);
        double msPerStart = isWarmingUp(nowMs) && slowStartRatePerSecond > 0
                ? SECOND_MS / slowStartRatePerSecond
                : meanLatencyMs / Math.max(1, capacity);
        double waitMs = (queuePosition + 0.5) * msPerStart;
        // A request that would miss its latency target is better tried elsewhere, or later, than queued: a queue that
        // grows
        // up to the deadlines delays all requests without any gain in throughput.
        double allowedMs = latencyTargetMs > 0
                ? Math.min(deadlineMs - nowMs, Math.max(latencyTargetMs, expectedMs * MIN_WAIT_FACTOR))
                : deadlineMs - nowMs;
        if (queue.size() >= capacity * MAX_QUEUED_PER_SLOT || waitMs + expectedMs > allowedMs) {
            onRejected.accept(
                    new Rejection(isWarmingUp(nowMs) ? "cold" : "full", Math.max(20, (long) (waitMs + msPerStart))));
            return ticket;
        }
        queue.add(queuePosition, ticket);
        ticket.timeoutTimer = clock.schedule(Math.max(1, deadlineMs - nowMs - (long) (expectedMs * 0.7)), () -> {
            if (queue.remove(ticket)) {
                onRejected.accept(new Rejection("late", 0));
            }
        });
        dispatchQueue();
        return ticket;
    }

    private static boolean precedes(AdmissionTicket first, AdmissionTicket second) {
        return first.queueOrderMs <= second.queueOrderMs;
    }

    private Rejection currentRejection(long nowMs) {
        if (currentServerId == null || isUnreachable) {
            return new Rejection("none", admissionSettings.recheckDelayMs());
        }
        if (isEvacuated) {
            return new Rejection("evacuated", 0);
        }
        if (isDraining && nowMs - drainingSinceMs >= admissionSettings.drainGraceMs) {
            return new Rejection("draining", 0);
        }
        return null;
    }

    private boolean canStart(long nowMs) {
        return runningRequests < capacity && (!isWarmingUp(nowMs) || hasSlowStartCapacity(nowMs));
    }

    /** Whether the slow-start limit of the last second leaves room. */
    private boolean hasSlowStartCapacity(long nowMs) {
        expireStartTimes(nowMs);
        if (slowStartRatePerSecond <= 0) {
            return true;
        }
        if (mayHaveEarlierStarts(nowMs)) {
            return false;
        }
        return startTimesMs.size() < slowStartLimit();
    }

    private int slowStartLimit() {
        return (int) Math.max(
                1,
                (slowStartRatePerSecond * admissionSettings.slowStartExcessFactor
                                + admissionSettings.slowStartAllowance)
                        * SLOW_START_LIMIT_SHARE);
    }

    private void expireStartTimes(long nowMs) {
        while (!startTimesMs.isEmpty() && nowMs - startTimesMs.firstLong() > SECOND_MS * 11 / 10) {
            startTimesMs.dequeueLong();
        }
    }

    private void start(AdmissionTicket ticket, long nowMs) {
        ticket.cancelTimer();
        runningRequests++;
        expireStartTimes(nowMs);
        startTimesMs.enqueue(nowMs);
        ticket.serverId = currentServerId;
        ticket.startedMs = nowMs;
        ticket.onAdmitted.run();
    }

    private void dispatchQueue() {
        long nowMs = clock.nowMs();
        while (!queue.isEmpty()) {
            if (currentRejection(nowMs) != null) {
                rejectQueued();
                return;
            }
            if (!canStart(nowMs)) {
                break;
            }
            start(queue.remove(0), nowMs);
        }
        if (!queue.isEmpty() && runningRequests < capacity && slowStartTimer == null) {
            long waitMs = startTimesMs.isEmpty()
                    ? Math.max(10, mayHaveEarlierStarts(nowMs) ? createdMs + SECOND_MS - nowMs : 0)
                    : Math.max(5, startTimesMs.firstLong() + SECOND_MS * 11 / 10 - nowMs);
            slowStartTimer = clock.schedule(waitMs, () -> {
                slowStartTimer = null;
                dispatchQueue();
            });
        }
    }

    private void rejectQueued() {
        Rejection rejection = currentRejection(clock.nowMs());
        if (rejection == null) {
            return;
        }
        List<AdmissionTicket> rejected = new ArrayList<>(queue);
        queue.clear();
        for (AdmissionTicket ticket : rejected) {
            ticket.cancelTimer();
            ticket.onRejected.accept(rejection);
        }
    }

    /** The latency that most requests of a route do not exceed once they are admitted. */
    private double expectedLatencyMs(String route) {
        double meanMs = meanLatencyByRoute.getDouble(route);
        return meanMs < 0
                ? INITIAL_LATENCY_MS
                : meanMs + LATENCY_DEVIATIONS * Math.max(0, latencyDeviationByRoute.getDouble(route));
    }

    private void updateLatency(String route, long latencyMs) {
        latencyBaseline.recordLatency(route, latencyMs, clock.nowMs());
        publishHealth();
        double meanMs = meanLatencyByRoute.getDouble(route);
        meanLatencyByRoute.put(route, meanMs < 0 ? latencyMs : meanMs + LATENCY_EWMA_WEIGHT * (latencyMs - meanMs));
        double deviationMs = Math.max(0, latencyDeviationByRoute.getDouble(route));
        latencyDeviationByRoute.put(
                route,
                deviationMs
                        + LATENCY_EWMA_WEIGHT
                                * (Math.abs(latencyMs - (meanMs < 0 ? latencyMs : meanMs)) - deviationMs));
        meanLatencyMs += LATENCY_EWMA_WEIGHT * (latencyMs - meanLatencyMs);
    }
}
