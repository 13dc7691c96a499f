package bramblespool.coordination.tenancy;

import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.transport.PeerTransport;
import java.util.List;

/** The voters as a controller asks them about leases: itself, where it is one, directly and the others by message. */
final class LeaseClient {
    /** Takes one voter's answer; a silent voter's is {@link LeaseReply#REFUSED}. */
    interface AnswerHandler {
        void onAnswer(String voter, LeaseReply reply);
    }

    private final ReplicatedState replicatedState;
    private final String self;
    private final LeaseGrantor localGrantor;
    private final PeerTransport transport;
    private final long timeoutMs;

    LeaseClient(
            ReplicatedState replicatedState,
            String self,
            LeaseGrantor localGrantor,
            PeerTransport transport,
            long timeoutMs) {
        this.replicatedState = replicatedState;
        this.self = self;
        this.localGrantor = localGrantor;
        this.transport = transport;
        this.timeoutMs = timeoutMs;
    }

    boolean hasVoters() {
        return !replicatedState.voterSinceIndexes().isEmpty();
    }

    /** Begins a vote under the voters now in force. */
    LeaseVote newVote() {
        return new LeaseVote(replicatedState.voterSet());
    }

    /** Asks every voter. This controller's own answer may come before the method returns. */
    void askAll(LeaseRequest request, AnswerHandler answerHandler) {
        for (String voter : List.copyOf(replicatedState.voterSinceIndexes().keySet())) {
            if (voter.equals(self)) {
                answerHandler.onAnswer(voter, localGrantor.answer(request));
            } else {
                ask(voter, request, answerHandler);
            }
        }
    }

    private void ask(String voter, LeaseRequest request, AnswerHandler answerHandler) {
        transport.call(
                RaftNode.addressOf(voter),
                LeaseCodec.kindOf(request),
                LeaseCodec.encode(new LeaseRequest.Addressed(voter, replicatedState.votersChangedIndex(), request)),
                timeoutMs,
                response -> answerHandler.onAnswer(
                        voter, response == null ? LeaseReply.REFUSED : LeaseCodec.decodeReply(response)));
    }

    /** Whether a request was meant for this voter, under the voters in force here. */
    boolean isForSelf(LeaseRequest.Addressed message) {
        return self.equals(message.to()) && message.votersEpoch() == replicatedState.votersChangedIndex();
    }

    /** Whether this controller is itself a voter. */
    boolean isSelfVoter() {
        return replicatedState.voterSinceIndexes().containsKey(self);
    }
}
