package bramblespool.coordination.configuration;

import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * A zone controller's part in a commit: hands the leader's phases to the proxies that have a session here and gathers
 * their acknowledgements. Confined to the event loop.
 */
public final class PhaseRelay {
    private final PeerTransport transport;
    private final TermGuard termGuard;
    private final LongSupplier leaderTerm;
    private final Function<String, Optional<String>> sessionAddress;

    /**
     * @param leaderTerm the highest Raft term in which this controller has led or knows of a leader
     * @param sessionAddress the peer address of a proxy's node; empty where it has no open session here
     */
    public PhaseRelay(
            PeerTransport transport,
            TermGuard termGuard,
            LongSupplier leaderTerm,
            Function<String, Optional<String>> sessionAddress) {
        this.transport = transport;
        this.termGuard = termGuard;
        this.leaderTerm = leaderTerm;
        this.sessionAddress = sessionAddress;
    }

    /** Serves a message of kind {@link PhaseCodec#RELAY_KIND}; a phase that is unknown here is refused. */
    public void handleRequest(JsonNode request, Consumer<ObjectNode> callback) {
        PhaseCodec.decodeRelayRequest(request)
                .ifPresentOrElse(
                        decoded -> relay(decoded, result -> callback.accept(PhaseCodec.encodeRelayResult(result))),
                        () -> callback.accept(null));
    }

    /** Hands the phase on, unless it is stale. The callback runs once all proxies have answered or timed out. */
    void relay(PhaseRelayRequest request, Consumer<PhaseRelayResult> callback) {
        termGuard.observeTerm(leaderTerm.getAsLong());
        if (!termGuard.accept(PhaseCodec.RELAY_KIND, request.message())) {
            callback.accept(new PhaseRelayResult(List.of(), List.of(), termGuard.highestTerm()));
            return;
        }
        Collector collector = new Collector(request.message().term(), callback);
        ObjectNode message = PhaseCodec.encodeMessage(request.message());
        for (String proxy : request.proxies()) {
            sessionAddress.apply(proxy).ifPresent(address -> {
                collector.expectOne();
                transport.call(
                        address,
                        PhaseCodec.PHASE_KIND,
                        message,
                        request.timeoutMs(),
                        response -> collector.onResponse(proxy, response));
            });
        }
        collector.onAllSent();
    }

    /** The answers to one phase. */
    private final class Collector {
        private final long messageTerm;
        private final Consumer<PhaseRelayResult> callback;
        private final List<String> confirmed = new ArrayList<>();
        private final List<String> rejected = new ArrayList<>();
        private long newerTerm = PhaseRelayResult.NO_NEWER_TERM;
        /** Answers still to come, and one for the loop that sends. */
        private int pending = 1;

        private Collector(long messageTerm, Consumer<PhaseRelayResult> callback) {
            this.messageTerm = messageTerm;
            this.callback = callback;
        }

        private void expectOne() {
            pending++;
        }

        private void onAllSent() {
            countDown();
        }

        private void onResponse(String proxy, JsonNode response) {
            if (response != null) {
                add(proxy, PhaseCodec.decodeAcknowledgement(response));
            }
            countDown();
        }

        private void add(String proxy, PhaseAcknowledgement acknowledgement) {
            if (acknowledgement.isConfirmation()) {
                confirmed.add(proxy);
            } else if (acknowledgement instanceof PhaseAcknowledgement.Rejected) {
                rejected.add(proxy);
            } else if (acknowledgement instanceof PhaseAcknowledgement.StaleMessage stale
                    && stale.highestTerm() > messageTerm) {
                termGuard.observeTerm(stale.highestTerm());
                newerTerm = termGuard.highestTerm();
            }
        }

        private void countDown() {
            if (--pending == 0) {
                callback.accept(new PhaseRelayResult(confirmed, rejected, newerTerm));
            }
        }
    }
}
