package bramblespool.proxy;

import bramblespool.state.Metric;
import bramblespool.state.Metrics;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Tells everything that works on a request that its client has left. Whoever begins work on the request registers how
 * to end it and closes the registration when the work has ended.
 *
 * <p>Invariants, checked as it runs: no work begins once the request is cancelled, and no registration is left after
 * its cancellation. Confined to the event loop.
 */
final class RequestCancellation {
    private final ClientClosePolicy policy;
    private final Metrics metrics;
    private final Set<Registration> registrations = new LinkedHashSet<>(4);
    private Runnable bodySentListener = () -> {};
    private boolean isCancelled;

    RequestCancellation(ClientClosePolicy policy, Metrics metrics) {
        this.policy = policy;
        this.metrics = metrics;
    }

    /** Work on the request that is under way. */
    final class Registration {
        private final Runnable onCancelled;

        private Registration(Runnable onCancelled) {
            this.onCancelled = onCancelled;
        }

        /** The work has ended, or goes on for its own sake. */
        void close() {
            registrations.remove(this);
        }
    }

    ClientClosePolicy policy() {
        return policy;
    }

    boolean isCancelled() {
        return isCancelled;
    }

    /** Registers work that begins; {@code onCancelled} has to end it and to close the registration. */
    Registration register(Runnable onCancelled) {
        Registration registration = new Registration(onCancelled);
        registrations.add(registration);
        return registration;
    }

    /** The listener runs once a body that is streamed has been read to its end. */
    void whenBodySent(Runnable listener) {
        bodySentListener = listener;
    }

    void onBodySent() {
        bodySentListener.run();
    }

    /** Whether the request may be sent on; a violation is counted where its client was seen to leave. */
    boolean checkMaySend(String attemptId) {
        if (isCancelled) {
            metrics.recordViolation(Metric.VIOLATIONS_SENT_AFTER_CLOSE, attemptId);
        }
        return !isCancelled;
    }

    /** Ends all registered work in the order in which it began; has no effect after the first time. */
    void cancel(String attemptId) {
        if (isCancelled) {
            return;
        }
        isCancelled = true;
        for (Registration registration : new ArrayList<>(registrations)) {
            registration.onCancelled.run();
        }
        if (!registrations.isEmpty()) {
            metrics.recordViolation(Metric.VIOLATIONS_WORK_AFTER_CLOSE, attemptId);
        }
    }
}
