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
 * The one gate to this machine's server: identity, capacity, warm-up, draining, evacuation. A refusal here is no
 * arrival at the server, and a promise that the request has not run.
 */
public final class ServerAdmission {
    /** Why a request was not let through, and when to come back. */
    public record Rejection(String reason, long retryAfterMs) {}

    /**
     * Figures of the rules, as the settings give them. {@code beat} is 0 where servers send none but stand on a list;
     * {@code serveOn}: how long a draining server is still sent to, until callers have learned of it.
     */
    public record AdmissionSettings(
            long heartbeatIntervalMs,
            long drainGraceMs,
            long drainTimeoutMs,
            double slowStartExcessFactor,
            double slowStartAllowance) {
        /** For a server that beats to the daemon beside it. */
        public static AdmissionSettings forHeartbeats(Settings settings) {
            Settings.Bounds bounds = settings.bounds();
            return new AdmissionSettings(
                    settings.heartbeatIntervalMs(),
                    bounds.drainMs() / 3,
                    bounds.drainMs(),
                    bounds.slowStartExcess(),
                    bounds.slowStartAllowance());
        }

        /** For a server known from a list: what the list shows is late already. */
        public static AdmissionSettings forRegistry(Settings settings) {
            Settings.Bounds bounds = settings.bounds();
            return new AdmissionSettings(0, 0, bounds.drainMs(), bounds.slowStartExcess(), bounds.slowStartAllowance());
        }

        private boolean expectsHeartbeats() {
            return heartbeatIntervalMs > 0;
        }

        /** When to look again after a server that is not there. */
        private long recheckDelayMs() {
            return expectsHeartbeats() ? heartbeatIntervalMs / 3 : drainTimeoutMs / 12;
        }
    }

    /** One request at the gate. */
    public final class AdmissionTicket {
        private final String route;
        /** When its turn comes: a step of rank is worth a part of its aim, so that no rank starves another for good. */
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

        /** The id of the server it was let through to. */
        public String serverId() {
            return serverId;
        }

        /** Frees the slot; {@code worked} where the time it took tells how long such requests work. */
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

        /** Tells how the server dealt with it. */
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

    /** Queue at most this many times the capacity: beyond it no deadline in use could be kept. */
    private static final int MAX_QUEUED_PER_SLOT = 4;
    /** Share of a cold server's hard bound that is used, so that a late arrival never crosses it. */
    private static final double SLOW_START_LIMIT_SHARE = 0.92;
    /** A step of rank is worth this part of a request's aim in waiting. */
    private static final int RANK_STEP_DIVISOR = 4;
    /** A request whose work alone takes longer than its aim may still wait this part of its work. */
    private static final double MIN_WAIT_FACTOR = 1.1;
    /** Mean deviations above the mean within which a request is counted on to be done. */
    private static final double LATENCY_DEVIATIONS = 1.5;

    private static final long SECOND_MS = 1000;
    /** How much one outcome weighs in a server's illness. */
    private static final double OUTCOME_EWMA_WEIGHT = 0.15;
    /** Steps in which illness is told: one failure among many sound answers stays below the first. */
    private static final int FAILURE_RATE_STEPS = 5;

    private static final double LATENCY_EWMA_WEIGHT = 0.1;
    private static final double INITIAL_LATENCY_MS = 100;
    /** After so many beats' time without one the server may have gone cold unnoticed. */
    private static final double UNCERTAIN_AFTER_HEARTBEATS = 1.5;
    /** A server at most this much older than this process was not there in the last one's time: no start is quicker. */
    private static final long START_TIME_TOLERANCE_MS = 200;
    /** Beats missed before the server is taken for silent. */
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
    /** Lives that will never be heard of again: they have left, or said that they are about to. */
    private final Set<String> endedServerIds = new HashSet<>();
    /** Lives that another one has followed, each with its last {@code callSeq}. */
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

    // ---- what the server says

    /** Takes a beat; null where it is acknowledged, else what is wrong with it. */
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
            // One that is draining at the first word may have been acknowledged by an earlier life of this process.
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
     * Whether it is a late word of a life that another one has followed. After a restart of this process the order of
     * lives is not known, and it may be the other one that was late: that one does not answer, and this one goes on.
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

    /** Takes the word of the platform's list, which knows this server by the id the gate was made for. */
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

    /** The list shows that it is about to end; whoever says so, it is never taken back. */
    public void markDraining() {
        if (!isDraining) {
            isDraining = true;
            drainingSinceMs = clock.nowMs();
            log.log(Event.SERVER_DRAINING, "server", currentServerId);
            onChange.run();
            rejectQueued();
        }
    }

    /** No longer this daemon's: nothing more goes there, and what waits is refused. */
    public void close() {
        if (currentServerId != null) {
            endedServerIds.add(currentServerId);
            isUnreachable = true;
            unreachableSinceMs = Long.MAX_VALUE / 2;
            rejectQueued();
        }
    }

    /** Takes the word of a probe where no beat has come since this process started. */
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

    public void onServerLeft(String leavingServerId) {
        supersededServers.remove(leavingServerId);
        endedServerIds.add(leavingServerId);
        if (leavingServerId.equals(currentServerId)) {
            takeOutOfService(Event.SERVER_DEREGISTERED);
        }
    }

    /** Its port refused or stayed silent: nothing more goes there until it beats again. */
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

    /** The share of requests that it fails, of late; forgotten by half in each {@code drain} without one. */
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

    /** Illness as others are told, from 0 to 1. Health answers may lie and have no part in it. */
    public double reportedFailureRate() {
        return (double) reportedFailureStep / FAILURE_RATE_STEPS;
    }

    /** How much slower it has become than it usually is, in steps as others are told: 0 not, 1 some times, 2 many times. */
    public int slownessLevel() {
        return reportedSlownessLevel;
    }

    /** What its illness and slowness are worth in load of itself: at these gates and at those who choose among them. */
    double outlierCost() {
        return reportedFailureRate() * EndpointDirectory.FAILURE_COST
                + reportedSlownessLevel * EndpointDirectory.SLOWNESS_COST;
    }

    /** To be called now and then. */
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
            // Nobody will say that it is back: the next request finds out.
            isUnreachable = false;
            isStateUncertain = false;
            onChange.run();
        }
    }

    /** This process itself stood still: what the server said before may no longer be true. */
    public void onProcessPaused() {
        isStateUncertain = true;
    }

    public void setEvacuated(boolean evacuated) {
        if (isEvacuated && !evacuated) {
            // It may have gone cold meanwhile: the next beat tells.
            isStateUncertain = true;
        }
        isEvacuated = evacuated;
        if (evacuated) {
            rejectQueued();
        }
    }

    public void configureSlowStart(double ratePerSecond, long durationMs) {
        slowStartRatePerSecond = ratePerSecond;
        warmupMs = durationMs;
    }

    // ---- what others may know

    public String serverId() {
        return currentServerId;
    }

    /** Whether callers should send here at all. */
    public boolean isAccepting() {
        return currentServerId != null && !isUnreachable && !isDraining;
    }

    public int capacity() {
        return capacity;
    }

    public String target() {
        return target;
    }

    /** Where the server is reached. */
    public String address() {
        return address;
    }

    public int load() {
        return runningRequests + queue.size();
    }

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
     * Whether an earlier process here may have sent to this cold server within the last second: it did if the server
     * is older than this process, and nobody remembers how much.
     */
    private boolean mayHaveEarlierStarts(long nowMs) {
        long serverAgeMs = isStateUncertain ? Long.MAX_VALUE : warmupMs - (warmingUpUntilMs - nowMs);
        return nowMs - createdMs < SECOND_MS && serverAgeMs > nowMs - createdMs + START_TIME_TOLERANCE_MS;
    }

    /** How long a request that came now would wait for a slot. */
    public long expectedWaitMs() {
        if (runningRequests < capacity && queue.isEmpty()) {
            return 0;
        }
        return (long) (meanLatencyMs * (queue.size() + 1) / Math.max(1, capacity));
    }

    /** Whether a request would rather come here than to the other gate of the same service. */
    boolean precedes(ServerAdmission other) {
        if (isAccepting() != other.isAccepting()) {
            return isAccepting();
        }
        return (load() + 1.0) / capacity + outlierCost() < (other.load() + 1.0) / other.capacity + other.outlierCost();
    }

    // ---- requests

    /** Lets a request through, queues it, or refuses it at once. */
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
        // What would be too late for its aim is better tried elsewhere, or a little later, than kept: a queue that
        // grows to the deadlines makes everybody late and serves not one request more.
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

    /** Room in the sliding second of a cold server. */
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

    /** The time that most requests of a route need once they are let through. */
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
