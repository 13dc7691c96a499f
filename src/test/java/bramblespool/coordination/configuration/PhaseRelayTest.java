package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A phase's way from the leader by a zone controller to the proxies, and the acknowledgements' way back. */
class PhaseRelayTest {
    private static final long TERM = 3;
    private static final PhaseMessage MESSAGE = new PhaseMessage(CommitPhase.SWAP, TERM, 1, 5, 6, "ab", null);

    /** Calls under way, by address and kind. */
    private final Map<String, Consumer<JsonNode>> calls = new LinkedHashMap<>();

    private final List<JsonNode> bodies = new ArrayList<>();
    private final PeerTransport transport = new PeerTransport() {
        @Override
        public void call(String address, String kind, ObjectNode body, long timeoutMs, Consumer<JsonNode> callback) {
            calls.put(address + " " + kind + " " + timeoutMs, callback);
            bodies.add(body);
        }
    };
    private final TermGuard termGuard = new TermGuard(EventLog.silent());
    private final PhaseRelay relay = new PhaseRelay(
            transport,
            termGuard,
            () -> TERM,
            node -> node.startsWith("n") ? Optional.of("address-" + node) : Optional.empty());

    @Test
    void answersAreGatheredByKind() {
        List<PhaseRelayResult> results = new ArrayList<>();
        relay.relay(new PhaseRelayRequest(MESSAGE, List.of("n1", "n2", "n3", "n4", "away"), 80), results::add);
        assertEquals(
                List.of("address-n1 phase 80", "address-n2 phase 80", "address-n3 phase 80", "address-n4 phase 80"),
                List.copyOf(calls.keySet()));
        assertEquals(PhaseCodec.encodeMessage(MESSAGE), bodies.get(0));
        answer("address-n1 phase 80", new PhaseAcknowledgement.Applied());
        answer("address-n2 phase 80", new PhaseAcknowledgement.Rejected("faults"));
        calls.get("address-n3 phase 80").accept(null);
        assertTrue(results.isEmpty(), "one is still to come");
        answer("address-n4 phase 80", new PhaseAcknowledgement.StaleMessage(TERM + 4));
        assertEquals(List.of(new PhaseRelayResult(List.of("n1"), List.of("n2"), TERM + 4)), results);
        assertEquals(TERM + 4, termGuard.highestTerm());
    }

    @Test
    void staleMessageIsHandedToNobody() {
        List<PhaseRelayResult> results = new ArrayList<>();
        PhaseMessage stale = new PhaseMessage(CommitPhase.SWAP, TERM - 1, 9, 5, 6, "ab", null);
        relay.relay(new PhaseRelayRequest(stale, List.of("n1"), 80), results::add);
        assertTrue(calls.isEmpty());
        assertEquals(List.of(new PhaseRelayResult(List.of(), List.of(), TERM)), results);
    }

    @Test
    void dispatcherGoesByTheControllersThatHoldTheSessions() {
        List<Long> terms = new ArrayList<>();
        PhaseDispatcher dispatcher = new PhaseDispatcher(
                transport,
                "local",
                relay,
                node -> node.equals("lost") ? Optional.empty() : Optional.of(node.equals("n1") ? "local" : "remote"),
                terms::add);
        List<PhaseAcknowledgements> results = new ArrayList<>();
        dispatcher.send(MESSAGE, new TreeSet<>(Set.of("lost", "n1", "n2")), 100, results::add);
        assertEquals(Set.of("address-n1 phase 80", "remote cell 100"), calls.keySet());
        answer("address-n1 phase 80", new PhaseAcknowledgement.Applied());
        calls.get("remote cell 100")
                .accept(PhaseCodec.encodeRelayResult(new PhaseRelayResult(List.of("n2"), List.of(), TERM + 1)));
        assertEquals(List.of(new PhaseAcknowledgements(Set.of("n1", "n2"), Set.of())), results);
        assertEquals(List.of(PhaseRelayResult.NO_NEWER_TERM, TERM + 1), terms);
        assertEquals(Set.of("lost"), results.get(0).unconfirmedOf(Set.of("lost", "n1", "n2")));
    }

    private void answer(String call, PhaseAcknowledgement acknowledgement) {
        calls.get(call).accept(PhaseCodec.encodeAcknowledgement(acknowledgement));
    }
}
