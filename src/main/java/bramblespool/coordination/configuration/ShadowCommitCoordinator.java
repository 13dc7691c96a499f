package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.LeadershipConfirmation;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
import bramblespool.state.CompressedDocument;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The leader's side of the shadow commit: one change at a time through the four phases. */
public final class ShadowCommitCoordinator {
    /** Carries one phase to the wefts through their cells; the answer lists who acknowledged and who refused. */
    public interface PhaseSender {
        void sendPhase(ObjectNode message, Set<String> proxies, long timeoutMs, Consumer<Acknowledgements> callback);
    }

    public record Acknowledgements(Set<String> confirmed, Set<String> rejected) {}

    /** Milliseconds, ratios to {@code ack} and {@code apply}. */
    public record PhaseTimeouts(long distributeMs, long phaseMs, long latencyMs) {
        /** A third of what the operator allows for each route: the document travels over narrow links, twice if need be. */
        private static final long MS_PER_ROUTE = 1;

        long distributeTimeoutMs(RoutingConfiguration configuration) {
            return distributeMs + configuration.routeCount * MS_PER_ROUTE;
        }

        public static PhaseTimeouts of(long ackMs, long applyMs) {
            return new PhaseTimeouts(ackMs * 6 / 100, applyMs * 8 / 100, applyMs / 50);
        }
    }

    private record PendingChange(
            OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> callback) {}

    private static final int MAX_ATTEMPTS = 2;

    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final PhaseSender phaseSender;
    private final Supplier<Set<String>> members;
    private final Clock clock;
    private final PhaseTimeouts timeouts;
    private final EventLog log;
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private boolean isBusy;
    private long leadershipGeneration;
    /** Numbers what is said to the wefts: of what this leader says the later holds. */
    private long messageRound;

    private RoutingConfiguration compiledConfiguration;
    private Set<String> unconfirmed = new HashSet<>();

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
        this.phaseSender = phaseSender;
        this.members = members;
        this.clock = clock;
        this.timeouts = timeouts;
        this.log = log;
    }

    public Set<String> unconfirmed() {
        return unconfirmed;
    }

    /** Takes up, as the new leader, what the last one left. */
    public void onLeadershipChanged(boolean isLeader) {
        leadershipGeneration++;
        isBusy = false;
        if (!isLeader) {
            while (!pendingChanges.isEmpty()) {
                pendingChanges.poll().callback.accept(OperatorRequest.Result.unknown("no longer the leader"));
            }
            return;
        }
        if (replicatedState.candidate() != null) {
            isBusy = true;
            abort(
                    replicatedState.candidate().epoch(),
                    RoutingConfiguration.stampOf(replicatedState.candidate().compressedDocument()),
                    "left by the last leader",
                    this::resume);
        } else {
            resume();
        }
    }

    private void resume() {
        if (replicatedState.current().epoch() > 0 && replicatedState.phase() != ReplicatedState.Phase.MARKED) {
            isBusy = true;
            log.log(
                    Event.COMMIT_RECOVERED,
                    "epoch",
                    replicatedState.current().epoch(),
                    "phase",
                    replicatedState.phase());
            sendTagPacket(replicatedState.current().epoch(), members.get());
        } else {
            startNext();
        }
    }

    public void submit(OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> callback) {
        PendingChange pending = new PendingChange(change, callback);
        if (replicatedState.isCommitted(change.digest())) {
            // A repeat need not wait for those before it.
            confirmAndAnswer(
                    pending,
                    OperatorRequest.Result.accepted(replicatedState.current().epoch()));
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
            proposeCandidate(pendingChanges.poll());
        }
    }

    private void proposeCandidate(PendingChange pending) {
        OperatorRequest.ConfigurationChange change = pending.change;
        OperatorRequest.Result outcome = knownOutcome(change);
        if (outcome != null) {
            confirmAndAnswer(pending, outcome);
            return;
        }
        RoutingConfiguration configuration;
        try {
            JsonObject document = change.applyTo(currentConfiguration());
            configuration = RoutingConfiguration.compile(document, CompressedDocument.compress(document.toString()));
        } catch (InvalidConfigurationException e) {
            confirmAndAnswer(pending, OperatorRequest.Result.invalid(e.getMessage()));
            return;
        }
        if (configuration.epoch <= replicatedState.current().epoch()) {
            confirmAndAnswer(
                    pending,
                    OperatorRequest.Result.invalid(
                            "epoch: must be above " + replicatedState.current().epoch()));
            return;
        }
        isBusy = true;
        long generation = leadershipGeneration;
        ObjectNode e = ReplicatedState.entry("candidate")
                .put("epoch", configuration.epoch)
                .put("base", change.baseVersion())
                .put("digest", change.digest())
                .put("doc", configuration.compressedDocument);
        raft.propose(e.toString(), proposal -> {
            if (proposal != ProposalOutcome.COMMITTED || generation != leadershipGeneration) {
                pending.callback.accept(OperatorRequest.Result.unknown("the lead was lost"));
                return;
            }
            log.log(Event.CONFIGURATION_CANDIDATE_STORED, "epoch", configuration.epoch, "base", change.baseVersion());
            compiledConfiguration = configuration;
            distribute(pending, configuration, members.get(), MAX_ATTEMPTS);
        });
    }

    /**
     * An answer that says what is decided. It holds for the moment when it was worked out, if a majority of this term has
     * confirmed since that nobody else leads; else there is none, for another leader may have decided more.
     */
    private void confirmAndAnswer(PendingChange pending, OperatorRequest.Result outcome) {
        raft.confirmLeadership(confirmation -> {
            if (confirmation != LeadershipConfirmation.CONFIRMED) {
                log.log(Event.QUORUM_UNCONFIRMED, "status", outcome.status(), "cause", outcome.message());
                pending.callback.accept(OperatorRequest.Result.unknown("no majority confirms it"));
                return;
            }
            if (outcome.status() != 200) {
                log.log(Event.CONFIGURATION_REJECTED, "status", outcome.status(), "cause", outcome.message());
            }
            pending.callback.accept(outcome);
        });
    }

    /** What waits and can't come to anything more hears so now, not after the phases that are left. */
    private void answerDecidedChanges() {
        pendingChanges.removeIf(pending -> {
            OperatorRequest.Result outcome = knownOutcome(pending.change);
            if (outcome != null) {
                confirmAndAnswer(pending, outcome);
            }
            return outcome != null;
        });
    }

    /** What has been decided on a change already: it was taken, or another version is in force; null where it may yet win. */
    private OperatorRequest.Result knownOutcome(OperatorRequest.ConfigurationChange change) {
        long epoch = replicatedState.current().epoch();
        return replicatedState.isCommitted(change.digest())
                ? OperatorRequest.Result.accepted(epoch)
                : change.baseVersion() != epoch ? OperatorRequest.Result.versionConflict(epoch) : null;
    }

    private RoutingConfiguration currentConfiguration() throws InvalidConfigurationException {
        ReplicatedState.Version version = replicatedState.current();
        if (version.compressedDocument() == null) {
            return null;
        }
        if (compiledConfiguration == null || compiledConfiguration.epoch != version.epoch()) {
            compiledConfiguration = RoutingConfiguration.compileCompressed(version.compressedDocument());
        }
        return compiledConfiguration;
    }

    private ObjectNode phaseMessage(int phase, long oldEpoch, long newEpoch, String stamp) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("phase", phase)
                .put("term", raft.currentTerm())
                .put("round", ++messageRound)
                .put("old", oldEpoch)
                .put("new", newEpoch)
                .put("stamp", stamp);
    }

    /** Phase 1, TAG DISTRIBUTION: the candidate and its tags. A missing acknowledgement aborts this try. */
    private void distribute(
            PendingChange pending, RoutingConfiguration configuration, Set<String> proxies, int attemptsLeft) {
        long generation = leadershipGeneration;
        long timeoutMs = timeouts.distributeTimeoutMs(configuration);
        ObjectNode message = phaseMessage(
                        1, replicatedState.current().epoch(), configuration.epoch, configuration.stamp)
                .put("open", timeoutMs * attemptsLeft)
                .put("doc", configuration.compressedDocument);
        phaseSender.sendPhase(message, proxies, timeoutMs, acknowledgements -> {
            if (generation != leadershipGeneration) {
                pending.callback.accept(OperatorRequest.Result.unknown("the lead was lost"));
                return;
            }
            if (!acknowledgements.rejected.isEmpty()) {
                abort(configuration.epoch, configuration.stamp, "refused by " + acknowledgements.rejected, () -> {
                    pending.callback.accept(OperatorRequest.Result.unknown("refused by " + acknowledgements.rejected));
                    startNext();
                });
                return;
            }
            Set<String> unresponsive = new HashSet<>(proxies);
            unresponsive.removeAll(acknowledgements.confirmed);
            if (unresponsive.isEmpty()) {
                decide(pending, configuration, acknowledgements.confirmed);
                return;
            }
            // The try without the silent ones: the others go back first, then the tags are given out anew.
            log.log(Event.COMMIT_UNCONFIRMED, "epoch", configuration.epoch, "proxies", unresponsive);
            if (attemptsLeft <= 1) {
                decide(pending, configuration, acknowledgements.confirmed);
                return;
            }
            phaseSender.sendPhase(
                    phaseMessage(0, replicatedState.current().epoch(), configuration.epoch, configuration.stamp),
                    acknowledgements.confirmed,
                    timeouts.phaseMs,
                    ignored -> {
                        if (generation == leadershipGeneration) {
                            distribute(pending, configuration, acknowledgements.confirmed, attemptsLeft - 1);
                        } else {
                            pending.callback.accept(OperatorRequest.Result.unknown("the lead was lost"));
                        }
                    });
        });
    }

    private void abort(long epoch, String stamp, String reason, Runnable onAborted) {
        long generation = leadershipGeneration;
        log.log(Event.COMMIT_ABORTED, "epoch", epoch, "cause", reason);
        phaseSender.sendPhase(
                phaseMessage(0, replicatedState.current().epoch(), epoch, stamp),
                members.get(),
                timeouts.phaseMs,
                ignored -> {});
        raft.propose(ReplicatedState.entry("abort").put("epoch", epoch).toString(), proposal -> {
            if (proposal == ProposalOutcome.COMMITTED && generation == leadershipGeneration) {
                onAborted.run();
            }
        });
    }

    /** The point of no return. */
    private void decide(PendingChange pending, RoutingConfiguration configuration, Set<String> confirmed) {
        long generation = leadershipGeneration;
        unconfirmed = new HashSet<>(members.get());
        unconfirmed.removeAll(confirmed);
        raft.propose(
                ReplicatedState.entry("decide")
                        .put("epoch", configuration.epoch)
                        .toString(),
                proposal -> {
                    if (proposal != ProposalOutcome.COMMITTED
                            || !replicatedState.isCommitted(pending.change.digest())) {
                        pending.callback.accept(OperatorRequest.Result.unknown("the lead was lost"));
                        return;
                    }
                    log.log(Event.COMMIT_DECIDED, "epoch", configuration.epoch);
                    pending.callback.accept(OperatorRequest.Result.accepted(configuration.epoch));
                    answerDecidedChanges();
                    if (generation == leadershipGeneration) {
                        sendTagPacket(configuration.epoch, confirmed);
                    }
                });
    }

    /** Phase 2, TAG PACKET; then one latency bound, so that no call with a bit is under way. */
    private void sendTagPacket(long epoch, Set<String> proxies) {
        long generation = leadershipGeneration;
        runPhase(
                2,
                epoch,
                proxies,
                MAX_ATTEMPTS,
                unresponsive -> clock.schedule(timeouts.latencyMs, () -> {
                    if (generation == leadershipGeneration) {
                        sendSwap(epoch, proxies);
                    }
                }));
    }

    /** Phase 3, SWAP. */
    private void sendSwap(long epoch, Set<String> proxies) {
        long generation = leadershipGeneration;
        runPhase(
                3,
                epoch,
                proxies,
                1,
                unresponsive -> raft.propose(
                        ReplicatedState.entry("phase")
                                .put("epoch", epoch)
                                .put("phase", ReplicatedState.Phase.SWAPPED.name())
                                .toString(),
                        proposal -> {
                            if (proposal == ProposalOutcome.COMMITTED && generation == leadershipGeneration) {
                                sendMarkShadowBit(epoch, proxies, unresponsive);
                            }
                        }));
    }

    /** Phase 4, MARK SHADOW BIT. */
    private void sendMarkShadowBit(long epoch, Set<String> proxies, Set<String> unresponsiveAtSwap) {
        long generation = leadershipGeneration;
        runPhase(
                4,
                epoch,
                proxies,
                MAX_ATTEMPTS,
                unresponsive -> raft.propose(
                        ReplicatedState.entry("phase")
                                .put("epoch", epoch)
                                .put("phase", ReplicatedState.Phase.MARKED.name())
                                .toString(),
                        proposal -> {
                            if (proposal == ProposalOutcome.COMMITTED && generation == leadershipGeneration) {
                                unconfirmed = new HashSet<>(members.get());
                                unconfirmed.removeAll(proxies);
                                unconfirmed.addAll(unresponsiveAtSwap);
                                unconfirmed.addAll(unresponsive);
                                log.log(Event.COMMIT_COMPLETED, "epoch", epoch, "unconfirmed", unconfirmed);
                                startNext();
                            }
                        }));
    }

    /** One phase, repeated for those who have not confirmed it; goes on with the silent ones left unconfirmed. */
    private void runPhase(int phase, long epoch, Set<String> proxies, int attemptsLeft, Consumer<Set<String>> onDone) {
        long generation = leadershipGeneration;
        ObjectNode message = phaseMessage(
                phase,
                replicatedState.previous().epoch(),
                epoch,
                RoutingConfiguration.stampOf(replicatedState.current().compressedDocument()));
        phaseSender.sendPhase(message, proxies, timeouts.phaseMs, acknowledgements -> {
            if (generation != leadershipGeneration) {
                return;
            }
            Set<String> unresponsive = new HashSet<>(proxies);
            unresponsive.removeAll(acknowledgements.confirmed);
            if (unresponsive.isEmpty() || attemptsLeft <= 1) {
                onDone.accept(unresponsive);
            } else {
                runPhase(phase, epoch, unresponsive, attemptsLeft - 1, onDone);
            }
        });
    }
}
