package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.LeadershipConfirmation;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The leader's part in the shadow commit: takes operators' changes, one at a time, through the phases of {@link
 * CommitPhase} ("Shadow Configuration as a Network Management Primitive", sections 6.2 and 6.3).
 *
 * <p>Departures from the paper (docs/design.md, docs/control.md): candidate, decision and the last two phases are
 * entries in the controllers' log, so that a new leader takes the commit up. The decision, after phase 1, is the
 * point of no return: the operator is answered then, and nothing is rolled back. A proxy that does not acknowledge
 * phase 1 aborts only the first attempt; the second goes on without it, and it takes the decided version by gossip.
 *
 * <p>Confined to the event loop. Each change is answered once, also where this controller loses leadership meanwhile.
 */
public final class ShadowCommitCoordinator {
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final Supplier<Set<String>> members;
    private final Clock clock;
    private final PhaseTimeouts timeouts;
    private final EventLog log;
    private final CommitLog commitLog;
    private final PhaseRunner phaseRunner;
    private final CandidateFactory candidates;
    private final LeadershipGuard leadership = new LeadershipGuard();
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private boolean isBusy;
    private Set<String> unconfirmed = new HashSet<>();

    /**
     * The phases after the decision: which version, which proxies take part, and who missed SWAP or MARK SHADOW
     * BIT.
     */
    private record DecidedCommit(long epoch, Set<String> proxies, Set<String> unresponsive) {
        private DecidedCommit(long epoch, Set<String> proxies) {
            this(epoch, proxies, new HashSet<>());
        }
    }

    /** @param members the nodes of all proxies that have a session, as a set of the caller's own */
    public ShadowCommitCoordinator(
            RaftNode raft,
            ReplicatedState replicatedState,
            PhaseSender phaseSender,
            Supplier<Set<String>> members,
            Clock clock,
            PhaseTimeouts timeouts,
            EventLog log) {
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.members = members;
        this.clock = clock;
        this.timeouts = timeouts;
        this.log = log;
        this.commitLog = new CommitLog(raft);
        this.phaseRunner = new PhaseRunner(raft::currentTerm, replicatedState, phaseSender, timeouts);
        this.candidates = new CandidateFactory(replicatedState);
    }

    /** Proxies that have not confirmed the version in force, as far as this leader knows. */
    public Set<String> unconfirmed() {
        return unconfirmed;
    }

    /** Begins or ends this controller's leadership. A new leader first finishes what the last one left. */
    public void onLeadershipChanged(boolean isLeader) {
        leadership.onLeadershipChanged();
        candidates.dropCandidate();
        isBusy = false;
        if (isLeader) {
            recover();
            return;
        }
        while (!pendingChanges.isEmpty()) {
            pendingChanges.poll().complete(new ChangeOutcome.LeadershipLost());
        }
    }

    /** Takes up the commit that the last leader left, then the changes that came meanwhile. */
    private void recover() {
        switch (RecoveryAction.of(replicatedState)) {
            case ABORT_CANDIDATE -> {
                isBusy = true;
                ReplicatedState.Version candidate = replicatedState.candidate();
                String stamp = RoutingConfiguration.stampOf(candidate.compressedDocument());
                abort(candidate.epoch(), stamp, "left by the last leader", this::recover, () -> {});
            }
            case FINISH_COMMIT -> {
                isBusy = true;
                long epoch = replicatedState.current().epoch();
                log.log(Event.COMMIT_RECOVERED, "epoch", epoch, "phase", replicatedState.phase());
                runPhase(CommitPhase.TAG_PACKET, new DecidedCommit(epoch, members.get()));
            }
            case NONE -> startNext();
            default -> throw new IllegalStateException("unknown recovery action");
        }
    }

    /**
     * Takes a change. It is answered when it is decided; a repeat of a change that is in force is answered at once.
     *
     * @param callback takes the outcome
     */
    public void submit(OperatorRequest.ConfigurationChange change, Consumer<ChangeOutcome> callback) {
        PendingChange pending = new PendingChange(change, callback);
        if (replicatedState.isCommitted(change.digest())) {
            // A repeat need not wait for those before it.
            confirmAndComplete(
                    pending,
                    new ChangeOutcome.Committed(replicatedState.current().epoch()));
            return;
        }
        pendingChanges.add(pending);
        if (!isBusy) {
            startNext();
        }
    }

    private void startNext() {
        isBusy = false;
        while (!isBusy && !pendingChanges.isEmpty()) {
            start(pendingChanges.poll());
        }
    }

    private void start(PendingChange pending) {
        CandidateFactory.Evaluation evaluation = candidates.evaluate(pending.change());
        if (evaluation instanceof CandidateFactory.Decided decided) {
            confirmAndComplete(pending, decided.outcome());
            return;
        }
        RoutingConfiguration candidate = ((CandidateFactory.Candidate) evaluation).configuration();
        isBusy = true;
        BooleanSupplier isStillLeading = leadership.currentLeadership();
        commitLog.storeCandidate(pending.change(), candidate, outcome -> {
            if (outcome != ProposalOutcome.COMMITTED || !isStillLeading.getAsBoolean()) {
                pending.complete(new ChangeOutcome.LeadershipLost());
                return;
            }
            log.log(
                    Event.CONFIGURATION_CANDIDATE_STORED,
                    "epoch",
                    candidate.epoch(),
                    "base",
                    pending.change().baseVersion());
            candidates.onCandidateStored(candidate);
            distribute(pending, candidate, members.get(), CommitPhase.TAG_DISTRIBUTION.maxAttempts());
        });
    }

    /**
     * Answers what is decided behind a read barrier: the answer holds for the moment at which it was worked out if a
     * majority of this term has confirmed since then that nobody else leads. Otherwise another leader may have decided
     * more, and the outcome is unknown.
     */
    private void confirmAndComplete(PendingChange pending, ChangeOutcome outcome) {
        raft.confirmLeadership(confirmation -> {
            OperatorRequest.Result result = outcome.toResult();
            if (confirmation != LeadershipConfirmation.CONFIRMED) {
                log.log(Event.QUORUM_UNCONFIRMED, "status", result.status(), "cause", result.message());
                pending.complete(new ChangeOutcome.NoMajority());
                return;
            }
            if (!(outcome instanceof ChangeOutcome.Committed)) {
                log.log(Event.CONFIGURATION_REJECTED, "status", result.status(), "cause", result.message());
            }
            pending.complete(outcome);
        });
    }

    /** Changes in the queue that cannot be committed any more are answered now, not after the phases that are left. */
    private void completeDecidedChanges() {
        pendingChanges.removeIf(pending -> {
            Optional<ChangeOutcome> outcome = candidates.decidedOutcome(pending.change());
            outcome.ifPresent(decided -> confirmAndComplete(pending, decided));
            return outcome.isPresent();
        });
    }

    /** Phase 1, TAG DISTRIBUTION. Where acknowledgements are missing it is aborted, and once attempted without them. */
    private void distribute(
            PendingChange pending, RoutingConfiguration candidate, Set<String> proxies, int attemptsLeft) {
        BooleanSupplier isStillLeading = leadership.currentLeadership();
        phaseRunner.distribute(candidate, proxies, attemptsLeft, acknowledgements -> {
            if (!isStillLeading.getAsBoolean()) {
                pending.complete(new ChangeOutcome.LeadershipLost());
                return;
            }
            if (!acknowledgements.rejected().isEmpty()) {
                rejectCandidate(pending, candidate, new ChangeOutcome.RejectedByProxies(acknowledgements.rejected()));
                return;
            }
            Set<String> confirmed = acknowledgements.confirmed();
            Set<String> unresponsive = acknowledgements.unconfirmedOf(proxies);
            if (!unresponsive.isEmpty()) {
                log.log(Event.COMMIT_UNCONFIRMED, "epoch", candidate.epoch(), "proxies", unresponsive);
            }
            if (unresponsive.isEmpty() || attemptsLeft <= 1) {
                decide(pending, candidate, confirmed);
                return;
            }
            phaseRunner.abort(candidate.epoch(), candidate.stamp(), confirmed, () -> {
                if (isStillLeading.getAsBoolean()) {
                    distribute(pending, candidate, confirmed, attemptsLeft - 1);
                } else {
                    pending.complete(new ChangeOutcome.LeadershipLost());
                }
            });
        });
    }

    private void rejectCandidate(
            PendingChange pending, RoutingConfiguration candidate, ChangeOutcome.RejectedByProxies outcome) {
        Runnable onAborted = () -> {
            pending.complete(outcome);
            startNext();
        };
        Runnable onLeadershipLost = () -> pending.complete(new ChangeOutcome.LeadershipLost());
        abort(candidate.epoch(), candidate.stamp(), outcome.reason(), onAborted, onLeadershipLost);
    }

    /** Withdraws a candidate from all proxies and from the log; exactly one of the callbacks runs. */
    private void abort(long epoch, String stamp, String reason, Runnable onAborted, Runnable onLeadershipLost) {
        BooleanSupplier isStillLeading = leadership.currentLeadership();
        log.log(Event.COMMIT_ABORTED, "epoch", epoch, "cause", reason);
        candidates.dropCandidate();
        phaseRunner.abort(epoch, stamp, members.get(), () -> {});
        commitLog.abortCandidate(epoch, outcome -> {
            if (outcome == ProposalOutcome.COMMITTED && isStillLeading.getAsBoolean()) {
                onAborted.run();
            } else {
                onLeadershipLost.run();
            }
        });
    }

    /** The point of no return: the decision is in the log, and the operator is answered. */
    private void decide(PendingChange pending, RoutingConfiguration candidate, Set<String> confirmed) {
        BooleanSupplier isStillLeading = leadership.currentLeadership();
        unconfirmed = members.get();
        unconfirmed.removeAll(confirmed);
        commitLog.decideCandidate(candidate.epoch(), outcome -> {
            if (outcome != ProposalOutcome.COMMITTED
                    || !replicatedState.isCommitted(pending.change().digest())) {
                pending.complete(new ChangeOutcome.LeadershipLost());
                return;
            }
            log.log(Event.COMMIT_DECIDED, "epoch", candidate.epoch());
            pending.complete(new ChangeOutcome.Committed(candidate.epoch()));
            completeDecidedChanges();
            if (isStillLeading.getAsBoolean()) {
                runPhase(CommitPhase.TAG_PACKET, new DecidedCommit(candidate.epoch(), confirmed));
            }
        });
    }

    /** Runs a phase after the decision, then those that follow it. Proxies that stay silent are left unconfirmed. */
    private void runPhase(CommitPhase phase, DecidedCommit commit) {
        BooleanSupplier isStillLeading = leadership.currentLeadership();
        phaseRunner.run(phase, commit.epoch(), commit.proxies(), isStillLeading, unresponsive -> {
            if (phase == CommitPhase.TAG_PACKET) {
                // Section 6.2: after the latency bound no call that is marked with the bit is in transit.
                clock.schedule(timeouts.latencyMs(), () -> runNextPhase(phase, commit, isStillLeading));
                return;
            }
            commit.unresponsive().addAll(unresponsive);
            ReplicatedState.Phase recorded = phase.recordedAs().orElseThrow();
            commitLog.recordPhase(commit.epoch(), recorded, outcome -> {
                if (outcome == ProposalOutcome.COMMITTED) {
                    runNextPhase(phase, commit, isStillLeading);
                }
            });
        });
    }

    private void runNextPhase(CommitPhase phase, DecidedCommit commit, BooleanSupplier isStillLeading) {
        if (isStillLeading.getAsBoolean()) {
            phase.next().ifPresentOrElse(next -> runPhase(next, commit), () -> complete(commit));
        }
    }

    private void complete(DecidedCommit commit) {
        unconfirmed = members.get();
        unconfirmed.removeAll(commit.proxies());
        unconfirmed.addAll(commit.unresponsive());
        log.log(Event.COMMIT_COMPLETED, "epoch", commit.epoch(), "unconfirmed", unconfirmed);
        startNext();
    }
}
