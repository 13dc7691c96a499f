package bramblespool.coordination.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerReplicatorTest {
    private static final int BODY_BYTES = 1000;
    private static final int MAX_BYTES = 200_000;

    private final FakeClock clock = new FakeClock();
    private final FakeTransport transport = new FakeTransport();
    private final AnswerReplicator replicator = new AnswerReplicator(
            clock,
            transport,
            () -> List.of("first", "second"),
            new AnswerReplicator.Timings(300, 1000, 500, 10),
            MAX_BYTES);

    private void add(String claim, int bytes) {
        replicator.add(new ExecutedOperation(
                "1/r", claim, 7, new StoredResponse(200, List.of(), new byte[bytes]), clock.nowMs() + 60_000));
    }

    private List<String> claims(Call call) {
        return AnswerCodec.decodeKeep(call.body(), clock.nowMs()).answers().stream()
                .map(answer -> answer.claim())
                .toList();
    }

    private Call expectCall(String address, String... claims) {
        List<Call> calls = transport.take();
        assertEquals(1, calls.size());
        assertEquals(address, calls.get(0).address());
        assertEquals(List.of(claims), claims(calls.get(0)));
        return calls.get(0);
    }

    @Test
    void gathersAnswersForOneMessageAndSendsOneAtATime() {
        add("a", BODY_BYTES);
        clock.advance(200);
        add("b", BODY_BYTES);
        assertEquals(List.of(), transport.take());
        clock.advance(100);
        Call call = expectCall("first", "a", "b");
        add("c", BODY_BYTES);
        clock.advance(900);
        assertEquals(List.of(), transport.take());
        call.callback().accept(AnswerCodec.encodeKept());
        clock.advance(300);
        expectCall("first", "c").callback().accept(AnswerCodec.encodeKept());
        assertTrue(replicator.isIdle());
        assertEquals(0, replicator.droppedCount());
    }

    @Test
    void answersThatWereNotTakenGoToAnotherControllerAfterAPauseThatGrows() {
        add("a", BODY_BYTES);
        clock.advance(300);
        expectCall("first", "a").callback().accept(null);
        clock.advance(499);
        assertEquals(List.of(), transport.take());
        clock.advance(1);
        expectCall("second", "a").callback().accept(null);
        clock.advance(999);
        assertEquals(List.of(), transport.take());
        assertFalse(replicator.isIdle());
        clock.advance(1);
        expectCall("first", "a").callback().accept(AnswerCodec.encodeKept());
        assertTrue(replicator.isIdle());
        add("b", BODY_BYTES);
        clock.advance(300);
        expectCall("first", "b");
    }

    @Test
    void messagesAreBoundedAndWhatIsTooMuchIsDropped() {
        for (int i = 0; i < 21; i++) {
            add("c" + i, 10_000);
        }
        assertEquals(1, replicator.droppedCount(), "the oldest");
        clock.advance(300);
        Call call = expectCall("first", "c1");
        call.callback().accept(AnswerCodec.encodeKept());
        clock.advance(999);
        assertEquals(List.of(), transport.take(), "10,000 bytes at 10 a millisecond");
        clock.advance(1);
        expectCall("first", "c2");
    }

    @Test
    void nothingIsGatheredBeforeTheProcessEnds() {
        replicator.hurry();
        add("a", BODY_BYTES);
        clock.advance(0);
        expectCall("first", "a");
    }

    @Test
    void whatHasExpiredIsNotSent() {
        add("a", BODY_BYTES);
        clock.advance(300);
        Call call = expectCall("first", "a");
        clock.advance(60_000);
        call.callback().accept(null);
        clock.advance(1000);
        assertEquals(List.of(), transport.take());
        assertTrue(replicator.isIdle());
        assertEquals(1, replicator.droppedCount());
    }
}
