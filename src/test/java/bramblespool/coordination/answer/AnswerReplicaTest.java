package bramblespool.coordination.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.AnswerStore;
import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class AnswerReplicaTest {
    /** Keeps what it is given, and says so when the test does. */
    private static final class FakeAnswerStore implements AnswerStore {
        final List<Answer> saved = new ArrayList<>();
        Consumer<Boolean> callback;
        int expiryCalls;

        @Override
        public void saveAnswers(List<Answer> answers, Consumer<Boolean> onSaved) {
            saved.addAll(answers);
            callback = onSaved;
        }

        @Override
        public void findAnswer(String registerId, String claim, Consumer<Optional<Answer>> onFound) {
            onFound.accept(saved.stream()
                    .filter(answer -> answer.registerId().equals(registerId)
                            && answer.claim().equals(claim))
                    .findFirst());
        }

        @Override
        public void pageAnswers(String otherHolder, long afterSequence, int limit, Consumer<AnswerPage> onRead) {
            List<Answer> rest = saved.stream()
                    .skip(afterSequence)
                    .filter(answer -> answer.otherHolders().equals(otherHolder))
                    .toList();
            List<Answer> page = rest.subList(0, Math.min(limit, rest.size()));
            onRead.accept(new AnswerPage(page, afterSequence + page.size(), page.size() < rest.size()));
        }

        @Override
        public void expireAnswers(int retainedPeriods) {
            expiryCalls++;
        }
    }

    private final FakeClock clock = new FakeClock();
    private final FakeTransport transport = new FakeTransport();
    private final FakeAnswerStore store = new FakeAnswerStore();
    private final List<ObjectNode> responses = new ArrayList<>();

    private boolean isOverloaded;

    private AnswerReplica replica(String... others) {
        return new AnswerReplica(
                new AnswerReplica.Controllers("self", () -> List.of(others)),
                store,
                clock,
                new ClusterClock(clock),
                transport,
                () -> isOverloaded,
                new AnswerReplica.Options(1, 50, 300, 8000));
    }

    private ObjectNode message(boolean isReplica, String claim) {
        AnswerStore.Answer answer = new AnswerStore.Answer("1/r", claim, 7, clock.wallTimeMs() + 60_000, "{}", "");
        return AnswerCodec.encodeKeep(
                new AnswerCodec.KeepRequest(isReplica ? "sender" : "", List.of(answer)), clock.wallTimeMs());
    }

    @Test
    void answersOnceItsOwnAndTheOtherCopyAreDurable() {
        AnswerReplica replica = replica("b", "c");
        replica.handleKeep(message(false, "x"), responses::add);
        replica.handleKeep(message(false, "y"), responses::add);
        clock.advance(50);
        List<Call> calls = transport.take();
        assertEquals(1, calls.size(), "one message for both");
        assertEquals("b", calls.get(0).address());
        AnswerCodec.KeepRequest copy = AnswerCodec.decodeKeep(calls.get(0).body(), clock.wallTimeMs());
        assertEquals("self", copy.otherHolders());
        assertEquals("b", store.saved.get(0).otherHolders());
        assertEquals(2, copy.answers().size());
        store.callback.accept(true);
        assertEquals(List.of(), responses);
        calls.get(0).callback().accept(AnswerCodec.encodeKept());
        assertEquals(2, responses.size());
        assertNotNull(responses.get(0));
    }

    @Test
    void controllerThatDoesNotTakeACopyIsPassedOver() {
        replica("b", "c").handleKeep(message(false, "x"), responses::add);
        clock.advance(50);
        store.callback.accept(true);
        transport.take().get(0).callback().accept(null);
        Call second = transport.take().get(0);
        assertEquals("c", second.address());
        second.callback().accept(null);
        assertEquals(1, responses.size());
        assertNull(responses.get(0), "nobody is left");
    }

    @Test
    void failureOfTheOwnDiskIsNotAcknowledged() {
        replica("b").handleKeep(message(false, "x"), responses::add);
        clock.advance(50);
        store.callback.accept(false);
        assertEquals(1, responses.size());
        assertNull(responses.get(0));
        transport.take().get(0).callback().accept(AnswerCodec.encodeKept());
        assertEquals(1, responses.size());
    }

    @Test
    void busyControllerTakesNothing() {
        isOverloaded = true;
        replica("b").handleKeep(message(false, "x"), responses::add);
        clock.advance(1000);
        assertEquals(1, responses.size());
        assertNull(responses.get(0));
        assertEquals(List.of(), store.saved);
    }

    @Test
    void copiesGoNoFurtherAndALoneControllerKeepsItsOwn() {
        replica("b").handleKeep(message(true, "x"), responses::add);
        store.callback.accept(true);
        assertEquals(1, responses.size());
        assertEquals(List.of(), transport.take());
        replica().handleKeep(message(false, "y"), responses::add);
        clock.advance(50);
        store.callback.accept(true);
        assertEquals(2, responses.size());
        assertNotNull(responses.get(1));
    }

    @Test
    void findsWhatHasNotExpired() {
        AnswerReplica replica = replica();
        StoredResponse response = new StoredResponse(201, List.of("X-Server-Seal", "s"), new byte[] {1, 2});
        store.saved.add(
                new AnswerStore.Answer("1/r", "x", 7, clock.wallTimeMs() + 500, ResponseArchive.pack(response), "b"));
        replica.handleFind(AnswerCodec.encodeFind("1/r", "x"), responses::add);
        FoundAnswer found = AnswerCodec.decodeFound(responses.get(0)).orElseThrow();
        assertEquals(7, found.fingerprint());
        assertEquals(500, found.remainingMs());
        assertEquals(201, found.response().statusCode());
        assertEquals(response.headers(), found.response().headers());
        assertEquals(2, found.response().body()[1]);
        replica.handleFind(AnswerCodec.encodeFind("1/r", "other"), responses::add);
        assertEquals(Optional.empty(), AnswerCodec.decodeFound(responses.get(1)));
        clock.advance(500);
        replica.handleFind(AnswerCodec.encodeFind("1/r", "x"), responses::add);
        assertEquals(Optional.empty(), AnswerCodec.decodeFound(responses.get(2)));
    }

    /** Guards against 409 or 502 for answered keys (DENIED) once the disks of their copies were lost in turn. */
    @Test
    void controllerThatLostItsDiskReadsWhatItKeptFromTheOthers() {
        for (int i = 0; i < 70; i++) {
            store.saved.add(new AnswerStore.Answer("1/r", "x" + i, 7, clock.wallTimeMs() + 500, "{}", "lost"));
        }
        store.saved.add(new AnswerStore.Answer("1/r", "y", 7, clock.wallTimeMs() + 500, "{}", "other"));
        AnswerReplica holder = replica();
        FakeAnswerStore emptyStore = new FakeAnswerStore();
        AnswerReplica restarted = new AnswerReplica(
                new AnswerReplica.Controllers("lost", () -> List.of("silent", "holder")),
                emptyStore,
                clock,
                new ClusterClock(clock),
                transport,
                () -> false,
                new AnswerReplica.Options(1, 50, 300, 8000));
        restarted.recover(1000);
        int pages = 0;
        for (List<Call> calls = transport.take(); pages < 3; calls = transport.take()) {
            for (Call call : calls) {
                if (call.address().equals("holder")) {
                    holder.handleRecover(call.body(), call.callback()::accept);
                    emptyStore.callback.accept(true);
                    pages++;
                } else {
                    call.callback().accept(null);
                }
            }
        }
        assertEquals(70, emptyStore.saved.size());
        assertEquals("holder", emptyStore.saved.get(69).otherHolders());
        clock.advance(300);
        List<Call> again = transport.take();
        assertEquals(List.of("silent"), again.stream().map(Call::address).toList(), "who was silent is asked again");
        again.get(0).callback().accept(AnswerCodec.encodePage(AnswerStore.AnswerPage.NONE, 0));
        clock.advance(5000);
        assertEquals(List.of(), transport.take());
    }

    @Test
    void expiresInParts() {
        replica().start();
        clock.advance(8000);
        assertEquals(8, store.expiryCalls);
    }
}
