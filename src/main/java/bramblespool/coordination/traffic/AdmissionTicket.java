package bramblespool.coordination.traffic;

import bramblespool.transport.Clock;
import java.util.function.Consumer;

/** A request at a {@link ServerAdmission}: queued, running or ended. Confined to the event loop. */
public final class AdmissionTicket {
    private final RequestScheduler scheduler;
    private final String route;
    private final long queueOrderMs;
    private final Runnable onAdmitted;
    private final Consumer<Rejection> onRejected;
    private long startedMs;
    private String serverId;
    private Clock.Timer timeoutTimer;

    /**
     * {@code queueOrderMs}: order in the queue. A step of rank counts as a fraction of the latency target, so that no
     * rank starves another.
     */
    AdmissionTicket(
            RequestScheduler scheduler,
            String route,
            long queueOrderMs,
            Runnable onAdmitted,
            Consumer<Rejection> onRejected) {
        this.scheduler = scheduler;
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
        if (serverId != null) {
            String releasedServerId = serverId;
            serverId = null;
            scheduler.onReleased(this, releasedServerId, countsLatency);
        }
    }

    /**
     * Frees the slot of a request that was broken off. Its time so far is a sample of the latency only where it exceeds
     * the mean: a server that has become slow shows although its clients leave early.
     */
    public void releaseCancelled() {
        release(scheduler.isSlowerThanUsual(this));
    }

    /** Takes the request out of the queue without a callback; has no effect on one that is not queued. */
    public void cancel() {
        scheduler.onCancelled(this);
    }

    /** Records whether the server succeeded, for its failure rate; to be called before {@link #release}. */
    public void recordOutcome(boolean isSuccess) {
        if (serverId != null) {
            scheduler.onOutcome(serverId, isSuccess);
        }
    }

    String route() {
        return route;
    }

    long startedMs() {
        return startedMs;
    }

    /** Whether it stays before another one that is queued later. */
    boolean precedes(AdmissionTicket other) {
        return queueOrderMs <= other.queueOrderMs;
    }

    void setTimeout(Clock.Timer timer) {
        timeoutTimer = timer;
    }

    void cancelTimeout() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
            timeoutTimer = null;
        }
    }

    void admit(String admittingServerId, long nowMs) {
        cancelTimeout();
        serverId = admittingServerId;
        startedMs = nowMs;
        onAdmitted.run();
    }

    void reject(Rejection rejection) {
        cancelTimeout();
        onRejected.accept(rejection);
    }
}
