package bramblespool.role;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.role.Scene.Reply;
import bramblespool.role.StandIn.Arrival;
import bramblespool.role.StandIn.Book;
import bramblespool.role.StandIn.Hop;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Faults of each hop's far end on real sockets: no client gets an answer to another request, a mutating one runs at most
 * once, and what promises that it has not run is true. No time passes but where a test says so.
 */
class AnswerTest {
    /** The statuses by which a request is promised not to have run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final long BEYOND_DEADLINE_MS = 2000;

    private Scene scene;
    private Book book;
    private int sound;

    @BeforeEach
    void open() throws Exception {
        scene = new Scene();
        book = scene.book;
    }

    @AfterEach
    void close() throws Exception {
        scene.close();
    }

    private static Reply join(CompletableFuture<Reply> reply) throws Exception {
        return reply.get(Scene.GUARD_S, TimeUnit.SECONDS);
    }

    private static void own(String id, Reply r) {
        if (r.status() / 100 == 2) {
            assertEquals("ran " + id, r.body());
            assertEquals(id, StandIn.value(r.head(), "X-Attempt-Id", ""));
        } else {
            assertTrue(!r.body().contains("ran ") || r.body().equals("ran " + id), r.toString());
        }
    }

    private void kept(String id, String routeClass, Reply r) {
        own(id, r);
        if (routeClass.equals("mutating")) {
            assertTrue(book.runsOf(id) <= 1, id + " ran " + book.runsOf(id) + " times");
            assertTrue(!PROMISES.contains(r.status()) || book.runsOf(id) == 0, "promised that it had not run: " + r);
        }
    }

    /** What comes after a fault gets its own answers; where {@code dirty}, one may be lost, but never the last. */
    private void goesOn(String path, boolean dirty) throws Exception {
        int lost = 0;
        for (int i = 0; i < 6; i++) {
            String id = "after-" + ++sound;
            Reply r = join(scene.send(id, path + "ok"));
            kept(id, "mutating", r);
            lost += r.status() == 200 ? 0 : 1;
            assertTrue(r.status() == 200 || dirty && i < 5 && r.status() == 502 && lost == 1, r.toString());
        }
    }

    /** After the columns of statuses: how often a mutating one runs, and what is done with the connection. */
    @ParameterizedTest
    @CsvSource({
        "ok,200,200,1,used",
        "refused,200,200,1,used",
        "refusedAlways,503,503,0,used",
        "bare503,502,503,1,used",
        "bare429,502,429,1,used",
        "bare408,502,408,1,used",
        "silence,504,504,1,shut",
        "late,504,504,1,shut",
        "frozen,504,504,1,shut",
        "resetBefore,502,200,1,shut",
        "resetIn,502,200,1,shut",
        "resetAfter,200,200,1,dirty",
        "twice,200,200,1,shut",
        "stutter,200,200,1,dirty",
        "otherId,502,200,1,shut",
        "noId,502,200,1,shut",
        "twoIds,502,200,1,shut",
        "otherIdRefusal,502,200,1,shut",
        "noIdRefusal,502,200,1,shut",
        "other421,502,200,1,shut",
        "garbage,502,200,1,shut",
        "noLength,502,200,1,shut",
        "interim,502,200,1,shut",
        "twoLengths,502,200,1,shut",
        "shortThenLong,502,200,1,shut",
        "lengthAndChunks,502,200,1,shut"
    })
    void aFaultOfOneHopReachesNobodyElse(String fault, int mutating, int idempotent, int runs, String connection)
            throws Exception {
        for (Hop hop : List.of(Hop.SERVER, Hop.PEER)) {
            for (String routeClass : List.of("mutating", "idempotent")) {
                String of = hop + " " + routeClass;
                String path = "/" + hop + "/" + routeClass + "/";
                goesOn("/" + hop + "/mutating/", false);
                CompletableFuture<Reply> sent = scene.send(fault, path + fault);
                if (Set.of("silence", "late", "frozen").contains(fault)) {
                    Book.await(book.reached);
                    scene.clock.advance(BEYOND_DEADLINE_MS);
                }
                Reply r = join(sent);
                book.go.countDown();
                if (fault.equals("frozen")) {
                    Book.await(book.over);
                }
                kept(fault, routeClass, r);
                assertEquals(routeClass.equals("mutating") ? mutating : idempotent, r.status(), of);
                if (routeClass.equals("mutating")) {
                    assertEquals(runs, book.runsOf(fault), of);
                }
                int at = book.connectionsOf(fault).get(0);
                int before = book.arrivals.size();
                goesOn("/" + hop + "/mutating/", connection.equals("dirty"));
                List<Integer> later = book.arrivals.subList(before, book.arrivals.size()).stream()
                        .map(Arrival::connection)
                        .toList();
                assertTrue(
                        !connection.equals("shut") || !later.contains(at),
                        of + ": a connection that is not to be trusted is used again");
                assertTrue(!connection.equals("used") || later.contains(at), of + ": a sound one is used again");
                scene.close();
                open();
            }
        }
    }

    @Test
    void aCallWithoutAVerdictMayHaveRun() throws Exception {
        Reply r = join(scene.send("a", "/PEER/mutating/unsaid503"));
        assertEquals(502, r.status());
        assertEquals(1, book.runsOf("a"));
    }

    /** The inbound daemon names the request in whatever it answers, or the outbound one would not believe it. */
    @ParameterizedTest
    @CsvSource({
        "/SERVER/mutating/ok,0,200",
        "/SERVER/mutating/ok,7,503",
        "/SERVER/mutating/refused,0,503",
        "/SERVER/mutating/noId,0,502",
        "/SERVER/mutating/silence,0,502",
        "/SERVER/mutating/resetBefore,0,502"
    })
    void everyAnswerBetweenDaemonsNamesItsRequest(String path, String mark, int status) throws Exception {
        try (Socket s = scene.connect(scene.inbound)) {
            Scene.write(s, Scene.request("a", path, "X-Spool-Mark: " + mark + "\r\n"));
            if (path.endsWith("silence")) {
                Book.await(book.reached);
                scene.clock.advance(BEYOND_DEADLINE_MS);
            }
            Reply r = Reply.read(s);
            assertEquals(status, r.status(), r.toString());
            assertEquals(
                    status == 200 ? "a" : status == 503 ? "n" : "m",
                    StandIn.value(r.head(), "X-Spool-Verdict", ""),
                    r.toString());
            assertEquals("a", StandIn.value(r.head(), "X-Attempt-Id", ""), r.toString());
        }
    }

    /** A server answers when it has read the head only, and reads on; the client sends on, or goes away, or stops. */
    @ParameterizedTest
    @CsvSource({
        "SERVER,early,200,whole",
        "SERVER,early,200,cut",
        "SERVER,early,200,stop",
        "SERVER,earlyRefused,503,stop",
        "SERVER,earlyGarbage,502,stop",
        "PEER,earlyGarbage,502,stop",
        "PEER,early,200,whole",
        "PEER,early,200,cut",
        "PEER,early,200,stop",
        "PEER,earlyRefused,503,stop"
    })
    void anAnswerBeforeTheBodySpoilsTheConnection(String hop, String fault, int status, String then) throws Exception {
        String path = "/" + hop + "/mutating/";
        String part = "x".repeat(200_000);
        String chunk = Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
        try (Socket s = scene.client()) {
            Scene.write(s, Scene.request("early", path + fault, "Transfer-Encoding: chunked\r\n") + chunk);
            Reply r = Reply.read(s);
            book.go.countDown();
            kept("early", "mutating", r);
            assertEquals(status, r.status());
            if (then.equals("whole")) {
                Scene.write(s, chunk + "0\r\n\r\n");
            } else if (then.equals("cut")) {
                s.setSoLinger(true, 0);
                s.close();
            }
            int at = book.connectionsOf("early").get(0);
            int before = book.arrivals.size();
            goesOn(path, false);
            Book.await(book.over);
            for (Arrival a : book.arrivals.subList(before, book.arrivals.size())) {
                assertTrue(
                        a.connection() != at || a.id().equals("early"),
                        "a request was sent behind one that was not sent whole");
            }
            for (Arrival a : book.arrivals) {
                assertTrue(
                        !a.id().equals("early") || a.body() == null || a.body().length() == 2 * part.length(),
                        "a cut body looks whole");
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Hop.class,
            names = {"SERVER", "PEER"})
    void aBodyThatBreaksOffNeverLooksWholeAndIsNotSentAgain(Hop hop) throws Exception {
        String part = "x".repeat(200_000);
        for (String framing : List.of("Transfer-Encoding: chunked\r\n", "Content-Length: 400000\r\n")) {
            for (String routeClass : List.of("mutating", "idempotent")) {
                String id = routeClass + framing.charAt(0);
                try (Socket s = scene.client()) {
                    Scene.write(
                            s,
                            Scene.request(id, "/" + hop + "/" + routeClass + "/ok", framing)
                                    + (framing.startsWith("T") ? Integer.toHexString(part.length()) + "\r\n" : "")
                                    + part);
                    s.shutdownOutput();
                    Reply r = Reply.read(s);
                    assertTrue(r.status() / 100 != 2, r.toString());
                    assertEquals(0, book.runsOf(id), "a cut body looks whole: " + id);
                }
                goesOn("/" + hop + "/mutating/", false);
                assertEquals(0, book.runsOf(id), "a cut body looks whole: " + id);
            }
        }
    }

    /** A long answer, passed on as it comes, whose end is missing. */
    @ParameterizedTest
    @CsvSource({"SERVER,longCut", "SERVER,longChunksCut", "PEER,longCut", "PEER,longChunksCut"})
    void anAnswerThatBreaksOffNeverLooksWhole(String hop, String fault) throws Exception {
        for (String routeClass : List.of("mutating", "idempotent")) {
            Reply r = join(scene.send(routeClass, "/" + hop + "/" + routeClass + "/" + fault));
            assertEquals(0, r.status(), "it must break off here too");
            assertEquals(1, book.runsOf(routeClass), "of which a part has been passed on is not sent again");
            goesOn("/" + hop + "/mutating/", false);
        }
    }

    private CompletableFuture<JsonNode> call(AtomicInteger heard, int n, String kind, int padding) {
        CompletableFuture<JsonNode> got = new CompletableFuture<>();
        Scene.on(() -> {
            scene.wire.call(
                    scene.peer,
                    kind,
                    JsonNodeFactory.instance.objectNode().put("n", n).put("padding", " ".repeat(padding)),
                    1500,
                    a -> {
                        heard.incrementAndGet();
                        got.complete(a);
                    });
            return null;
        });
        return got;
    }

    private JsonNode heard(CompletableFuture<JsonNode> call) throws Exception {
        JsonNode got = call.get(Scene.GUARD_S, TimeUnit.SECONDS);
        // The loop's next turn, in which the connection is put by.
        Scene.on(() -> null);
        return got;
    }

    /** Messages between daemons: each call hears one word, its own answer or none. */
    @ParameterizedTest
    @CsvSource({
        "ok,y,used",
        "refused,n,used",
        "silence,n,shut",
        "late,n,shut",
        "frozen,n,shut",
        "resetBefore,n,shut",
        "resetIn,n,shut",
        "resetAfter,y,dirty",
        "twice,y,shut",
        "stutter,y,dirty",
        "otherId,n,shut",
        "noId,n,shut",
        "twoIds,n,shut",
        "garbage,n,shut",
        "noLength,n,shut",
        "interim,n,shut",
        "twoLengths,n,shut",
        "lengthAndChunks,n,shut",
        "early,n,shut"
    })
    void aMessageHearsItsOwnAnswerOrNone(String fault, String answered, String connection) throws Exception {
        AtomicInteger heard = new AtomicInteger();
        assertEquals(0, heard(call(heard, 0, "ok", 0)).path("n").asInt());
        CompletableFuture<JsonNode> first = call(heard, 1, fault, fault.equals("early") ? 16_000_000 : 0);
        if (Set.of("silence", "late", "frozen").contains(fault)) {
            Book.await(book.reached);
            scene.clock.advance(BEYOND_DEADLINE_MS);
        }
        JsonNode got = heard(first);
        assertEquals(answered.equals("y"), got != null && got.path("n").asInt() == 1, String.valueOf(got));
        int at = book.arrivals.get(1).connection();
        book.go.countDown();
        for (int n = 2; n < 6; n++) {
            JsonNode next = heard(call(heard, n, "ok", 0));
            assertTrue(
                    next == null
                            ? connection.equals("dirty") && n < 5
                            : next.path("n").asInt() == n,
                    n + " heard " + next);
        }
        assertEquals(6, heard.get(), "each call hears once");
        List<Integer> later = book.arrivals.subList(2, book.arrivals.size()).stream()
                .map(Arrival::connection)
                .toList();
        assertTrue(
                !connection.equals("shut") || !later.contains(at),
                "a connection that is not to be trusted is used again");
        assertTrue(!connection.equals("used") || later.contains(at), "a sound one is used again");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 40})
    void requestsAtOnceGetTheirOwnAnswers(int atOnce) throws Exception {
        for (int round = 0; round < 5; round++) {
            List<String> ids = new ArrayList<>();
            List<CompletableFuture<Reply>> all = new ArrayList<>();
            for (int i = 0; i < atOnce; i++) {
                String id = round + "-" + i;
                ids.add(id);
                all.add(scene.send(
                        id,
                        "/" + (i % 2 == 0 ? Hop.SERVER : Hop.PEER) + "/mutating/" + (i % 5 == 4 ? "stutter" : "ok")));
            }
            for (int i = 0; i < atOnce; i++) {
                kept(ids.get(i), "mutating", join(all.get(i)));
            }
        }
    }
}
