package bramblespool.coordination.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.AnswerStore.Answer;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AnswerLookupTest {
    private final FakeTransport transport = new FakeTransport();
    private final List<Optional<FoundAnswer>> results = new ArrayList<>();

    private static ObjectNode found() {
        String response = ResponseArchive.pack(new StoredResponse(200, List.of(), new byte[] {9}));
        return AnswerCodec.encodeFound(Optional.of(new Answer("1/r", "x", 7, 100, response, "b")), 40);
    }

    private static ObjectNode none() {
        return AnswerCodec.encodeFound(Optional.empty(), 40);
    }

    private List<Call> ask(String... controllers) {
        new AnswerLookup(transport, () -> List.of(controllers)).find("1/r", "x", 200, results::add);
        return transport.take();
    }

    @Test
    void firstAnswerFoundCounts() {
        List<Call> calls = ask("a", "b", "c");
        assertEquals(3, calls.size());
        calls.get(1).callback().accept(none());
        calls.get(2).callback().accept(found());
        assertEquals(60, results.get(0).orElseThrow().remainingMs());
        calls.get(0).callback().accept(found());
        assertEquals(1, results.size());
    }

    @Test
    void noneOnceAllHaveNoneOrAreSilent() {
        List<Call> calls = ask("a", "b");
        calls.get(0).callback().accept(none());
        assertEquals(List.of(), results);
        calls.get(1).callback().accept(null);
        assertEquals(List.of(Optional.empty()), results);
    }

    @Test
    void noneWhereNoControllerIsKnown() {
        assertTrue(ask().isEmpty());
        assertEquals(List.of(Optional.empty()), results);
    }
}
