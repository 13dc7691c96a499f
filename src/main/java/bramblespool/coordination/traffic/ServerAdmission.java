package bramblespool.coordination.traffic;

import bramblespool.protocol.Heartbeat;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import java.util.function.Consumer;

/**
 * Admission of requests to one server: its identity, capacity, slow start, draining and evacuation, a queue with
 * deadlines, and detection of failures and slowness. A request that is rejected here has not reached the server and has
 * not been executed. Source: PROTOCOL-bramblespool.md, "Servers". Confined to the event loop.
 */
public final class ServerAdmission implements RequestScheduler.Server {
    private final Clock clock;
    private final EventLog log;
    private final AdmissionSettings admissionSettings;
    private final String address;
    private final String target;
    private final Runnable onChange;
    private final ServerIdentity identity = new ServerIdentity();
    private final OutlierDetector outlierDetector;
    private final SlowStart slowStart;
    private int capacity;
    private boolean isDraining;
    private long drainingSinceMs;
    private boolean isUnreachable;
    private long unreachableSinceMs;
    private boolean isEvacuated;
    private long lastHeartbeatMs;
    private final RequestScheduler scheduler;

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
        this.outlierDetector = new OutlierDetector(clock, admissionSettings.drainTimeoutMs());
        this.slowStart = new SlowStart(admissionSettings, clock.nowMs());
        this.scheduler = new RequestScheduler(clock, this, slowStart);
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
        if (identity.isOutdated(heartbeat, isUnreachable)) {
            return null;
        }
        boolean isNewServer = !identity.isCurrent(heartbeat.id());
        if (isNewServer) {
            replaceServer(heartbeat);
        } else if (isUnreachable) {
            log.log(Event.SERVER_RECOVERED, "server", identity.currentId());
        }
        long nowMs = clock.nowMs();
        boolean wasWarmingUp = isWarmingUp(nowMs);
        boolean hasChanged = isNewServer
                || isUnreachable
                || heartbeat.isDraining() && !isDraining
                || heartbeat.capacity() != capacity;
        isUnreachable = false;
        lastHeartbeatMs = nowMs;
        identity.recordCallSequence(heartbeat.callSequence());
        capacity = heartbeat.capacity();
        slowStart.onWarmupLeft(heartbeat.warmupLeftMs(), nowMs);
        if (heartbeat.isDraining() && !isDraining) {
            // One that is draining at its first heartbeat may have been acknowledged by an earlier run of this process.
            startDraining(isNewServer ? nowMs - admissionSettings.drainTimeoutMs() : nowMs);
        }
        if (hasChanged || wasWarmingUp != isWarmingUp(nowMs)) {
            onChange.run();
        }
        scheduler.dispatch();
        return null;
    }

    private void replaceServer(Heartbeat heartbeat) {
        boolean wasHereBefore = identity.replace(heartbeat.id(), isDraining);
        scheduler.forgetRunning();
        outlierDetector.reset();
        isDraining = false;
        if (!wasHereBefore) {
            slowStart.forgetStarts();
        }
        log.log(
                Event.SERVER_REGISTERED,
                "server",
                heartbeat.id(),
                "capacity",
                heartbeat.capacity(),
                "slowStartLeftMs",
                heartbeat.warmupLeftMs());
    }

    private void startDraining(long sinceMs) {
        isDraining = true;
        drainingSinceMs = sinceMs;
        log.log(Event.SERVER_DRAINING, "server", identity.currentId());
    }

    /** Takes the registry's entry of this server. */
    public void onRegistryEntry(String listedServerId, int newCapacity, boolean shouldDrain, long warmupLeftMs) {
        boolean isNewServer = !identity.isKnown();
        boolean hasChanged = isNewServer || shouldDrain && !isDraining || newCapacity != capacity;
        identity.setCurrent(listedServerId);
        capacity = newCapacity;
        lastHeartbeatMs = clock.nowMs();
        slowStart.onWarmupLeft(warmupLeftMs, lastHeartbeatMs);
        if (shouldDrain && !isDraining) {
            startDraining(lastHeartbeatMs);
        }
        if (hasChanged) {
            onChange.run();
            rejectQueued();
        }
    }

    /** Marks the server as draining, which is never undone. */
    public void markDraining() {
        if (!isDraining) {
            startDraining(clock.nowMs());
            onChange.run();
            rejectQueued();
        }
    }

    /** Ends admission to this server: queued requests are rejected. */
    public void close() {
        if (identity.isKnown()) {
            identity.markEnded(identity.currentId());
            isUnreachable = true;
            unreachableSinceMs = Long.MAX_VALUE / 2;
            rejectQueued();
        }
    }

    /** Takes the answer to a health check, where no heartbeat has come since this process started. */
    public void onHealthCheck(String checkedServerId, int newCapacity, long warmupLeftMs) {
        if (identity.isKnown() || identity.hasEnded(checkedServerId)) {
            return;
        }
        identity.setCurrent(checkedServerId);
        capacity = newCapacity;
        isUnreachable = false;
        lastHeartbeatMs = clock.nowMs();
        slowStart.onWarmupLeft(warmupLeftMs, lastHeartbeatMs);
        log.log(
                Event.SERVER_REGISTERED,
                "server",
                identity.currentId(),
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
        identity.markEnded(leavingServerId);
        if (identity.isCurrent(leavingServerId)) {
            takeOutOfService(Event.SERVER_DEREGISTERED);
        }
    }

    /** A connection to the server failed: no more requests are admitted until its next heartbeat. */
    public void markUnreachable(String unreachableServerId) {
        if (identity.isCurrent(unreachableServerId) && !isUnreachable) {
            takeOutOfService(Event.SERVER_UNRESPONSIVE);
        }
    }

    private void takeOutOfService(Event event) {
        if (!isUnreachable) {
            log.log(event, "server", identity.currentId());
        }
        isUnreachable = true;
        unreachableSinceMs = clock.nowMs();
        slowStart.markUncertain();
        onChange.run();
        rejectQueued();
    }

    private void publishHealth() {
        if (outlierDetector.refresh()) {
            onChange.run();
        }
    }

    /** The announced failure rate, 0 to 1, in steps. */
    public double reportedFailureRate() {
        return outlierDetector.reportedFailureRate();
    }

    /** The announced slowness level: 0 to 2, see {@link LatencyBaseline}. */
    public int slownessLevel() {
        return outlierDetector.slownessLevel();
    }

    /** Detects a silent server and publishes changes of health; to be called periodically. */
    public void check() {
        long nowMs = clock.nowMs();
        publishHealth();
        if (identity.isKnown() && !isUnreachable && admissionSettings.isUnreachableAfter(nowMs - lastHeartbeatMs)) {
            takeOutOfService(Event.SERVER_UNRESPONSIVE);
        } else if (isUnreachable
                && !admissionSettings.expectsHeartbeats()
                && nowMs - unreachableSinceMs > admissionSettings.retryUnreachableMs()) {
            // Nothing will announce that it is back: the next request finds out.
            isUnreachable = false;
            slowStart.clearUncertain();
            onChange.run();
        }
    }

    /** The process was paused: what the server announced before may be out of date. */
    public void onProcessPaused() {
        slowStart.markUncertain();
    }

    /** Sets whether the zone is evacuated; queued requests are rejected. */
    public void setEvacuated(boolean evacuated) {
        if (isEvacuated && !evacuated) {
            // It may have gone into slow start meanwhile, which the next heartbeat shows.
            slowStart.markUncertain();
        }
        isEvacuated = evacuated;
        if (evacuated) {
            rejectQueued();
        }
    }

    /** Sets the service's slow start: requests a second, 0 for no limit, and its duration. */
    public void configureSlowStart(double ratePerSecond, long durationMs) {
        slowStart.configure(ratePerSecond, durationMs);
    }

    // ---- announced state

    /** The id of the present server; null where none is known. */
    @Override
    public String serverId() {
        return identity.currentId();
    }

    /** Whether the server is known, reachable and not draining. */
    public boolean isAccepting() {
        return identity.isKnown() && !isUnreachable && !isDraining;
    }

    /** Requests that the server runs at the same time. */
    @Override
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
        return scheduler.load();
    }

    /** Remaining time of slow start; a heartbeat interval where its state is uncertain. */
    public long warmupLeftMs() {
        return slowStart.warmupLeftMs(clock.nowMs());
    }

    /** Whether a request should be sent here rather than to the other server of the same service. */
    boolean precedes(ServerAdmission other) {
        if (isAccepting() != other.isAccepting()) {
            return isAccepting();
        }
        return costOfNext() < other.costOfNext();
    }

    /** Utilization with one more request, and the cost of failures and slowness. */
    private double costOfNext() {
        return (load() + 1.0) / capacity + outlierDetector.cost();
    }

    // ---- requests

    /**
     * Admits a request, queues it, or rejects it at once. Exactly one of the callbacks runs, possibly before this
     * returns, unless the request is still queued at the event loop's end or its ticket is cancelled.
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
        return scheduler.admit(
                new RequestScheduler.Arrival(route, rank, latencyTargetMs, deadlineMs), onAdmitted, onRejected);
    }

    private void rejectQueued() {
        Rejection rejection = currentRejection(clock.nowMs());
        if (rejection != null) {
            scheduler.rejectQueued(rejection);
        }
    }

    @Override
    public Rejection currentRejection(long nowMs) {
        if (!identity.isKnown() || isUnreachable) {
            return new Rejection("none", admissionSettings.recheckDelayMs());
        }
        if (isEvacuated) {
            return new Rejection("evacuated", 0);
        }
        if (isDraining && nowMs - drainingSinceMs >= admissionSettings.drainGraceMs()) {
            return new Rejection("draining", 0);
        }
        return null;
    }

    @Override
    public boolean isWarmingUp(long nowMs) {
        return slowStart.isWarmingUp(nowMs, nowMs - lastHeartbeatMs);
    }

    @Override
    public boolean isCurrentServer(String id) {
        return identity.isCurrent(id);
    }

    @Override
    public void onOutcome(boolean isSuccess) {
        outlierDetector.recordOutcome(isSuccess);
        publishHealth();
    }

    @Override
    public void onLatency(String route, long latencyMs) {
        outlierDetector.recordLatency(route, latencyMs);
        publishHealth();
    }
}
