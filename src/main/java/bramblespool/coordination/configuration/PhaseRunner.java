package bramblespool.coordination.configuration;

import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Builds a leader's phase messages, sends them, and repeats those phases that may be. Confined to the event loop. */
final class PhaseRunner {
    private final LongSupplier currentTerm;
    private final ReplicatedState replicatedState;
    private final PhaseSender sender;
    private final PhaseTimeouts timeouts;
    /** Of two messages of one leader the one with the higher round is the later one. */
    private long lastRound;

    PhaseRunner(LongSupplier currentTerm, ReplicatedState replicatedState, PhaseSender sender, PhaseTimeouts timeouts) {
        this.currentTerm = currentTerm;
        this.replicatedState = replicatedState;
        this.sender = sender;
        this.timeouts = timeouts;
    }

    /**
     * Phase 1: sends the candidate and its tags.
     *
     * @param attemptsLeft how often phase 1 may be sent from now on; the proxies keep the candidate that long
     */
    void distribute(
            RoutingConfiguration candidate,
            Set<String> proxies,
            int attemptsLeft,
            Consumer<PhaseAcknowledgements> callback) {
        long timeoutMs = timeouts.distributeMs(candidate);
        PhaseMessage message = new PhaseMessage(
                CommitPhase.TAG_DISTRIBUTION,
                currentTerm.getAsLong(),
                ++lastRound,
                replicatedState.current().epoch(),
                candidate.epoch(),
                candidate.stamp(),
                new PhaseMessage.CandidateDocument(timeoutMs * attemptsLeft, candidate.compressedDocument()));
        sender.send(message, proxies, timeoutMs, callback);
    }

    /** Withdraws a candidate; who does not get this drops the candidate after its own time limit. */
    void abort(long epoch, String stamp, Set<String> proxies, Runnable callback) {
        PhaseMessage message =
                message(CommitPhase.ABORT, replicatedState.current().epoch(), epoch, stamp);
        sender.send(message, proxies, timeouts.phaseMs(), ignored -> callback.run());
    }

    /**
     * Runs a phase after the decision, and repeats it for those that have not acknowledged it as often as the phase
     * allows.
     *
     * @param isStillLeading where it fails nothing more is sent, and the callback does not run
     * @param callback takes the proxies that have not acknowledged
     */
    void run(
            CommitPhase phase,
            long epoch,
            Set<String> proxies,
            BooleanSupplier isStillLeading,
            Consumer<Set<String>> callback) {
        run(phase, epoch, proxies, phase.maxAttempts(), isStillLeading, callback);
    }

    private void run(
            CommitPhase phase,
            long epoch,
            Set<String> proxies,
            int attemptsLeft,
            BooleanSupplier isStillLeading,
            Consumer<Set<String>> callback) {
        String stamp = RoutingConfiguration.stampOf(replicatedState.current().compressedDocument());
        PhaseMessage message = message(phase, replicatedState.previous().epoch(), epoch, stamp);
        sender.send(message, proxies, timeouts.phaseMs(), acknowledgements -> {
            if (!isStillLeading.getAsBoolean()) {
                return;
            }
            Set<String> unconfirmed = acknowledgements.unconfirmedOf(proxies);
            if (unconfirmed.isEmpty() || attemptsLeft <= 1) {
                callback.accept(unconfirmed);
            } else {
                run(phase, epoch, unconfirmed, attemptsLeft - 1, isStillLeading, callback);
            }
        });
    }

    private PhaseMessage message(CommitPhase phase, long oldEpoch, long newEpoch, String stamp) {
        return new PhaseMessage(phase, currentTerm.getAsLong(), ++lastRound, oldEpoch, newEpoch, stamp, null);
    }
}
