package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.register.RegisterMessages.BatchRequest;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends requests to the other voters' acceptors; those to one acceptor that come within a short time go as one message.
 * Confined to the event loop.
 */
final class AcceptorRequestBatcher {
    private record PendingRequest(AcceptorRequest request, Consumer<AcceptorReply> callback) {}

    private final RegisterVoters voters;
    private final PeerTransport transport;
    private final Clock clock;
    private final RegisterTimings timings;
    /** The requests that are being gathered, by voter. */
    private final Map<String, List<PendingRequest>> openBatches = new HashMap<>();

    AcceptorRequestBatcher(RegisterVoters voters, PeerTransport transport, Clock clock, RegisterTimings timings) {
        this.voters = voters;
        this.transport = transport;
        this.clock = clock;
        this.timings = timings;
    }

    /**
     * Sends a request with the next message to the voter; the callback gets one reply, {@code NO_ANSWER} at the latest.
     */
    void send(String voter, AcceptorRequest request, Consumer<AcceptorReply> callback) {
        List<PendingRequest> batch = openBatches.get(voter);
        if (batch == null) {
            batch = new ArrayList<>();
            openBatches.put(voter, batch);
            clock.schedule(timings.batchDelayMs(), () -> sendBatch(voter, openBatches.remove(voter)));
        }
        batch.add(new PendingRequest(request, callback));
    }

    private void sendBatch(String voter, List<PendingRequest> gathered) {
        List<PendingRequest> batch = failOutdated(gathered);
        if (batch.isEmpty()) {
            return;
        }
        List<AcceptorRequest> requests = new ArrayList<>(batch.size());
        for (PendingRequest pending : batch) {
            requests.add(pending.request);
        }
        transport.call(
                RegisterVoters.addressOf(voter),
                RegisterCodec.BATCH_KIND,
                RegisterCodec.encode(new BatchRequest(voter, voters.epoch(), requests)),
                timings.callTimeoutMs(),
                json -> complete(batch, json == null ? List.of() : RegisterCodec.decodeReplies(json)));
    }

    /** Ends the requests of rounds begun under other voters than those in force now: such a round is begun anew. */
    private List<PendingRequest> failOutdated(List<PendingRequest> gathered) {
        List<PendingRequest> current = new ArrayList<>(gathered.size());
        for (PendingRequest pending : gathered) {
            if (pending.request.number().votersEpoch() == voters.epoch()) {
                current.add(pending);
            } else {
                pending.callback.accept(AcceptorReply.NO_ANSWER);
            }
        }
        return current;
    }

    private static void complete(List<PendingRequest> batch, List<AcceptorReply> replies) {
        for (int index = 0; index < batch.size(); index++) {
            AcceptorReply reply = index < replies.size() ? replies.get(index) : AcceptorReply.NO_ANSWER;
            batch.get(index).callback.accept(reply);
        }
    }
}
