package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The acceptor of Paxos (Lamport, "Paxos Made Simple", section 2.2; Rystsov, "CASPaxos: Replicated State Machines
 * without logs"), one instance for each register.
 *
 * <ul>
 *   <li>It grants a prepare whose number is above all that it has promised or accepted, and from then on accepts
 *       nothing below that number.
 *   <li>It grants an accept whose number is not below its promise and not below what it has accepted.
 *   <li>It accepts a proposal without a prepare phase only into a register of which it knows nothing, and only under
 *       the epoch of voters in force: in one epoch one proposer may send such proposals, see {@link Proposal}.
 *   <li>Durable before answer: a promise or an acceptance is on disk before anyone learns of it.
 * </ul>
 *
 * <p>Confined to the event loop.
 */
final class RegisterAcceptor {
    private final RegisterVoters voters;
    private final RegisterTable registers;
    private final RegisterWriteBatcher writeBatcher;

    RegisterAcceptor(RegisterVoters voters, RegisterTable registers, RegisterWriteBatcher writeBatcher) {
        this.voters = voters;
        this.registers = registers;
        this.writeBatcher = writeBatcher;
    }

    /** Decides on a request; the callback gets the reply once it is durable. */
    void handle(AcceptorRequest request, Consumer<AcceptorReply> callback) {
        AcceptorReply reply = decide(request);
        writeBatcher.whenDurable(() -> callback.accept(reply));
    }

    /** Decides on requests in their order; the callback gets the replies, in the same order, once all are durable. */
    void handleAll(List<AcceptorRequest> requests, Consumer<List<AcceptorReply>> callback) {
        List<AcceptorReply> replies = new ArrayList<>(requests.size());
        for (AcceptorRequest request : requests) {
            replies.add(decide(request));
        }
        // Also where nothing has changed: what a reply reports may still be on its way to the disk.
        writeBatcher.whenDurable(() -> callback.accept(replies));
    }

    private AcceptorReply decide(AcceptorRequest request) {
        boolean isGranted = !isOfOtherVoters(request.number())
                && (request instanceof Accept accept ? accept(accept) : promise(request));
        RegisterState state = registers.get(request.registerId());
        return new AcceptorReply(isGranted, state.highestSeenRound(), state.acceptedNumber(), state.acceptedValue());
    }

    /** Whether the permission to skip the prepare phase was of another epoch. */
    private boolean isOfOtherVoters(ProposalNumber number) {
        return number.isUnprepared() && number.votersEpoch() != voters.epoch();
    }

    private boolean promise(AcceptorRequest request) {
        RegisterState state = registers.get(request.registerId());
        ProposalNumber number = request.number();
        if (state.promisedNumber().compareTo(number) >= 0
                || state.acceptedNumber().compareTo(number) >= 0) {
            return false;
        }
        registers.promise(request.registerId(), number);
        save(request.registerId());
        return true;
    }

    private boolean accept(Accept request) {
        RegisterState state = registers.get(request.registerId());
        ProposalNumber number = request.number();
        if (number.equals(state.acceptedNumber())) {
            // The message came twice.
            return request.value().equals(state.acceptedValue());
        }
        if (number.isUnprepared() && state.isKnown()) {
            return false;
        }
        if (state.promisedNumber().compareTo(number) > 0
                || state.acceptedNumber().compareTo(number) > 0) {
            return false;
        }
        registers.accept(request.registerId(), number, request.value());
        save(request.registerId());
        return true;
    }

    private void save(String registerId) {
        writeBatcher.save(RegisterCodec.toStored(registerId, registers.get(registerId)));
    }
}
