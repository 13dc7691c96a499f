package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.transport.Clock;
import java.util.List;
import java.util.function.Consumer;

/**
 * One change of a register under way (Rystsov, "CASPaxos: Replicated State Machines without logs"): a prepare phase
 * finds the value that may have been chosen, the change function is applied to it, and an accept phase writes the
 * result. Where other proposers interfere, the proposal begins again under a higher number.
 *
 * <p>The prepare phase may be skipped under round 0, the lowest number, for no lower proposal can have been chosen (cf.
 * "Paxos Made Simple", section 2.2, condition P2c, which is empty then). For this to be safe
 *
 * <ul>
 *   <li>only one proposer uses round 0 for a register in one epoch of voters, the one that
 *       {@link RegisterVoters#isSelfPreferredProposer} names;
 *   <li>it proposes one value only: it writes the value to its own disk before it sends it, so a later incarnation of
 *       the process knows of it;
 *   <li>acceptors take round 0 only into a register of which they know nothing, and only in that epoch, see
 *       {@link RegisterAcceptor};
 *   <li>no value of round 0 of an earlier epoch is held any more, see {@link EpochAge}: of two such values the one that
 *       was chosen could not be told from the other.
 * </ul>
 *
 * <p>What an acceptor still holds of a former use of the register may have a higher round; it is known by its time, see
 * {@link PhaseReplies}.
 *
 * <p>Confined to the event loop.
 */
final class Proposal {
    /** Rounds that one proposal may take where others propose at the same time. */
    private static final int MAX_ROUNDS = 6;

    /** What all proposals of one proposer share. */
    record Context(
            RegisterVoters voters,
            RegisterTable localRegisters,
            AcceptorClient acceptors,
            Clock clock,
            ClusterClock clusterClock,
            EpochAge epochAge,
            RegisterTimings timings) {}

    /** Takes one voter's reply in one phase. */
    private interface ReplyHandler {
        void onReply(PhaseReplies phase, String voter, AcceptorReply reply);
    }

    private final Context context;
    private final RegisterVoters voters;
    private final String registerId;
    private final RegisterChange change;
    private final Consumer<RegisterResult> callback;
    private final long issuedAtMs;
    private long round;
    private int failedRounds;
    /** The phase whose replies count; null between two phases. */
    private PhaseReplies currentPhase;

    private boolean isFinished;

    /** Begins the caller's time: when it is over, the proposal ends as unknown. */
    Proposal(
            Context context,
            String registerId,
            RegisterChange change,
            long timeoutMs,
            Consumer<RegisterResult> callback) {
        this.context = context;
        this.voters = context.voters();
        this.registerId = registerId;
        this.change = change;
        this.callback = callback;
        this.issuedAtMs = context.clusterClock().now();
        context.clock().schedule(timeoutMs, () -> finish(RegisterResult.UNKNOWN));
    }

    /**
     * Begins with what this controller's own acceptor knows of the register, if that helps, else with a prepare phase.
     */
    void startFromLocalState() {
        RegisterState local = context.localRegisters().get(registerId);
        if (!local.isKnown() && maySkipPrepare()) {
            acceptUnprepared();
        } else if (local.isChosen() && change.isDoneBy(local.acceptedValue())) {
            finish(new RegisterResult.Chosen(local.acceptedValue()));
        } else if (change.conflictsWith(local.acceptedValue())) {
            // That value need not be chosen; the caller only learns that it may not go on.
            finish(new RegisterResult.Conflict(local.acceptedValue()));
        } else {
            prepare();
        }
    }

    private boolean maySkipPrepare() {
        return context.acceptors().isLocalAcceptorSynced()
                && context.epochAge().outlastsFormerEpochs()
                && voters.isSelfPreferredProposer(registerId);
    }

    // ---- phase 1

    void prepare() {
        round++;
        ProposalNumber number = new ProposalNumber(round, voters.epoch(), voters.self(), issuedAtMs);
        sendToAll(new Prepare(registerId, number), this::onPrepareReply);
    }

    private void onPrepareReply(PhaseReplies phase, String voter, AcceptorReply reply) {
        if (phase != currentPhase) {
            return;
        }
        phase.add(voter, reply);
        if (phase.hasQuorum()) {
            currentPhase = null;
            onPrepared(phase);
        } else if (phase.cannotReachQuorum()) {
            retryAbove(phase.highestRefusingRound());
        }
    }

    private void onPrepared(PhaseReplies phase) {
        String currentValue = phase.newestValue();
        if (phase.number().votersEpoch() != voters.epoch()) {
            retryAbove(phase.number().round());
        } else if (phase.hasContradiction()) {
            finish(RegisterResult.UNKNOWN);
        } else if (change.conflictsWith(currentValue)) {
            finish(new RegisterResult.Conflict(currentValue));
        } else {
            String nextValue = change.applyTo(currentValue);
            if (nextValue == null) {
                finish(RegisterResult.EMPTY);
            } else {
                accept(phase.number(), nextValue);
            }
        }
    }

    // ---- phase 2

    private void accept(ProposalNumber number, String value) {
        Accept request = new Accept(registerId, number, value);
        sendToAll(request, (phase, voter, reply) -> onAcceptReply(phase, request, voter, reply));
    }

    private void acceptUnprepared() {
        ProposalNumber number = ProposalNumber.unprepared(voters.epoch(), voters.self(), issuedAtMs);
        Accept request = new Accept(registerId, number, change.newValue());
        PhaseReplies phase = new PhaseReplies(voters, number, context.timings().formerUseMs());
        currentPhase = phase;
        // Durable here before anybody else learns the value.
        context.acceptors().send(voters.self(), request, ownReply -> {
            if (ownReply.isGranted()) {
                sendToOthers(phase, request);
                onAcceptReply(phase, request, voters.self(), ownReply);
            } else {
                phase.add(voters.self(), ownReply);
                if (phase == currentPhase) {
                    retryAbove(phase.highestRefusingRound());
                }
            }
        });
    }

    private void sendToOthers(PhaseReplies phase, Accept request) {
        for (String voter : voters.ids()) {
            if (!voter.equals(voters.self())) {
                context.acceptors().send(voter, request, reply -> onAcceptReply(phase, request, voter, reply));
            }
        }
    }

    private void onAcceptReply(PhaseReplies phase, Accept request, String voter, AcceptorReply reply) {
        if (phase != currentPhase) {
            return;
        }
        phase.add(voter, reply);
        if (phase.hasQuorum()) {
            context.localRegisters().markChosen(registerId, request.number());
            finish(new RegisterResult.Chosen(request.value()));
        } else if (phase.cannotReachQuorum()) {
            retryAbove(phase.highestRefusingRound());
        }
    }

    // ---- both phases

    private void sendToAll(AcceptorRequest request, ReplyHandler replyHandler) {
        List<String> acceptors = List.copyOf(voters.ids());
        if (acceptors.isEmpty()) {
            finish(RegisterResult.UNKNOWN);
            return;
        }
        PhaseReplies phase =
                new PhaseReplies(voters, request.number(), context.timings().formerUseMs());
        currentPhase = phase;
        for (String voter : acceptors) {
            context.acceptors().send(voter, request, reply -> replyHandler.onReply(phase, voter, reply));
        }
    }

    private void retryAbove(long otherRound) {
        currentPhase = null;
        round = Math.max(round, otherRound);
        failedRounds++;
        if (failedRounds >= MAX_ROUNDS) {
            finish(RegisterResult.UNKNOWN);
            return;
        }
        // A random delay that grows, so that one of several proposers gets through.
        double delayFactor = 1 + context.clock().random() * (2 << failedRounds);
        context.clock().schedule((long) (context.timings().batchDelayMs() * delayFactor), () -> {
            if (!isFinished) {
                prepare();
            }
        });
    }

    private void finish(RegisterResult result) {
        if (isFinished) {
            return;
        }
        isFinished = true;
        currentPhase = null;
        callback.accept(result);
    }
}
