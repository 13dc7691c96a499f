package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.transport.Clock;
import java.util.function.Consumer;

/** The acceptors as a proposer reaches them: this controller's own one directly, the others by message. */
final class AcceptorClient {
    private final RegisterVoters voters;
    private final RegisterAcceptor localAcceptor;
    private final RegisterSynchronizer synchronizer;
    private final AcceptorRequestBatcher requestBatcher;
    private final Clock clock;

    AcceptorClient(
            RegisterVoters voters,
            RegisterAcceptor localAcceptor,
            RegisterSynchronizer synchronizer,
            AcceptorRequestBatcher requestBatcher,
            Clock clock) {
        this.voters = voters;
        this.localAcceptor = localAcceptor;
        this.synchronizer = synchronizer;
        this.requestBatcher = requestBatcher;
        this.clock = clock;
    }

    /** Whether this controller's own acceptor takes part. */
    boolean isLocalAcceptorSynced() {
        return synchronizer.isSynced();
    }

    /** Sends a request to a voter's acceptor. The callback gets one reply, never before this method returns. */
    void send(String voter, AcceptorRequest request, Consumer<AcceptorReply> callback) {
        if (!voter.equals(voters.self())) {
            requestBatcher.send(voter, request, callback);
        } else if (synchronizer.isSynced()) {
            localAcceptor.handle(request, callback);
        } else {
            clock.execute(() -> callback.accept(AcceptorReply.NO_ANSWER));
        }
    }
}
