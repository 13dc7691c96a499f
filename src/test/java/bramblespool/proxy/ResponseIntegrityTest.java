package bramblespool.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.proxy.ServerStandIn.Hop;
import bramblespool.proxy.ServerStandIn.ReceivedRequest;
import bramblespool.proxy.ServerStandIn.Recorder;
import bramblespool.proxy.SocketTestContext.Reply;
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
 * Faults of each hop's server side on real sockets: no client gets a response to another request, a mutating request is
 * executed at most once, and a promise that a request was not executed is true. Time passes only where a test lets it.
 */
class ResponseIntegrityTest {
    /** The statuses that promise that a request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private static final long BEYOND_DEADLINE_MS = 2000;

    private SocketTestContext context;
    private Recorder recorder;
    private int followUpCount;

    @BeforeEach
    void open() throws Exception {
        context = new SocketTestContext();
        recorder = context.recorder;
    }

    @AfterEach
    void close() throws Exception {
        context.close();
    }

    private static Reply join(CompletableFuture<Reply> reply) throws Exception {
        return reply.get(SocketTestContext.HANG_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static void assertOwnResponse(String id, Reply reply) {
        if (reply.status() / 100 == 2) {
            assertEquals("ran " + id, reply.body());
            assertEquals(id, ServerStandIn.headerValue(reply.head(), "X-Attempt-Id", ""));
        } else {
            assertTrue(!reply.body().contains("ran ") || reply.body().equals("ran " + id), reply.toString());
        }
    }

    private void assertPromisesKept(String id, String routeClass, Reply reply) {
        assertOwnResponse(id, reply);
        if (routeClass.equals("mutating")) {
            assertTrue(recorder.executionsOf(id) <= 1, id + " ran " + recorder.executionsOf(id) + " times");
            assertTrue(
                    !NOT_EXECUTED_STATUSES.contains(reply.status()) || recorder.executionsOf(id) == 0,
                    "promised that it was not executed: " + reply);
        }
    }

    /** Requests after a fault get their own responses; where {@code dirty}, one may be lost, but never the last. */
    private void assertStillServes(String path, boolean mayLoseOne) throws Exception {
        int lostCount = 0;
        for (int i = 0; i < 6; i++) {
            String id = "after-" + ++followUpCount;
            Reply reply = join(context.send(id, path + "ok"));
            assertPromisesKept(id, "mutating", reply);
            lostCount += reply.status() == 200 ? 0 : 1;
            assertTrue(
                    reply.status() == 200 || mayLoseOne && i < 5 && reply.status() == 502 && lostCount == 1,
                    reply.toString());
        }
    }

    /** After the columns of statuses: how often a mutating request is executed, and what becomes of the connection. */
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
    void faultOfOneHopAffectsNoOtherRequest(
            String fault, int mutating, int idempotent, int executions, String connection) throws Exception {
        for (Hop hop : List.of(Hop.SERVER, Hop.PEER)) {
            for (String routeClass : List.of("mutating", "idempotent")) {
                String description = hop + " " + routeClass;
                String path = "/" + hop + "/" + routeClass + "/";
                assertStillServes("/" + hop + "/mutating/", false);
                CompletableFuture<Reply> pending = context.send(fault, path + fault);
                if (Set.of("silence", "late", "frozen").contains(fault)) {
                    Recorder.await(recorder.faultReached);
                    context.clock.advance(BEYOND_DEADLINE_MS);
                }
                Reply reply = join(pending);
                recorder.mayProceed.countDown();
                if (fault.equals("frozen")) {
                    Recorder.await(recorder.faultFinished);
                }
                assertPromisesKept(fault, routeClass, reply);
                assertEquals(routeClass.equals("mutating") ? mutating : idempotent, reply.status(), description);
                if (routeClass.equals("mutating")) {
                    assertEquals(executions, recorder.executionsOf(fault), description);
                }
                int connectionNumber = recorder.connectionsOf(fault).get(0);
                int requestsBefore = recorder.requests.size();
                assertStillServes("/" + hop + "/mutating/", connection.equals("dirty"));
                List<Integer> laterConnections =
                        recorder.requests.subList(requestsBefore, recorder.requests.size()).stream()
                                .map(ReceivedRequest::connection)
                                .toList();
                assertTrue(
                        !connection.equals("shut") || !laterConnections.contains(connectionNumber),
                        description + ": an unreliable connection is reused");
                assertTrue(
                        !connection.equals("used") || laterConnections.contains(connectionNumber),
                        description + ": a sound connection is reused");
                context.close();
                open();
            }
        }
    }

    @Test
    void callWithoutExecutionOutcomeIsPossiblyExecuted() throws Exception {
        Reply reply = join(context.send("a", "/PEER/mutating/unsaid503"));
        assertEquals(502, reply.status());
        assertEquals(1, recorder.executionsOf("a"));
    }

    /** The inbound proxy names the attempt in every response; otherwise the outbound proxy rejects the response. */
    @ParameterizedTest
    @CsvSource({
        "/SERVER/mutating/ok,0,200",
        "/SERVER/mutating/ok,7,503",
        "/SERVER/mutating/refused,0,503",
        "/SERVER/mutating/noId,0,502",
        "/SERVER/mutating/silence,0,502",
        "/SERVER/mutating/resetBefore,0,502"
    })
    void everyResponseBetweenProxiesNamesItsRequest(String path, String mark, int status) throws Exception {
        try (Socket socket = context.connect(context.inboundAddress)) {
            SocketTestContext.write(socket, SocketTestContext.request("a", path, "X-Spool-Mark: " + mark + "\r\n"));
            if (path.endsWith("silence")) {
                Recorder.await(recorder.faultReached);
                context.clock.advance(BEYOND_DEADLINE_MS);
            }
            Reply reply = Reply.read(socket);
            assertEquals(status, reply.status(), reply.toString());
            assertEquals(
                    status == 200 ? "a" : status == 503 ? "n" : "m",
                    ServerStandIn.headerValue(reply.head(), "X-Spool-Verdict", ""),
                    reply.toString());
            assertEquals("a", ServerStandIn.headerValue(reply.head(), "X-Attempt-Id", ""), reply.toString());
        }
    }

    /** A server responds after it has read the head only, and reads on; the client sends on, closes, or stops. */
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
    void responseBeforeEndOfBodyMakesConnectionUnusable(String hop, String fault, int status, String clientAction)
            throws Exception {
        String path = "/" + hop + "/mutating/";
        String content = "x".repeat(200_000);
        String chunk = Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
        try (Socket socket = context.connectAsClient()) {
            SocketTestContext.write(
                    socket, SocketTestContext.request("early", path + fault, "Transfer-Encoding: chunked\r\n") + chunk);
            Reply reply = Reply.read(socket);
            recorder.mayProceed.countDown();
            assertPromisesKept("early", "mutating", reply);
            assertEquals(status, reply.status());
            if (clientAction.equals("whole")) {
                SocketTestContext.write(socket, chunk + "0\r\n\r\n");
            } else if (clientAction.equals("cut")) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            int connectionNumber = recorder.connectionsOf("early").get(0);
            int requestsBefore = recorder.requests.size();
            assertStillServes(path, false);
            Recorder.await(recorder.faultFinished);
            for (ReceivedRequest request : recorder.requests.subList(requestsBefore, recorder.requests.size())) {
                assertTrue(
                        request.connection() != connectionNumber || request.id().equals("early"),
                        "a request was sent after an incomplete one");
            }
            for (ReceivedRequest request : recorder.requests) {
                assertTrue(
                        !request.id().equals("early")
                                || request.body() == null
                                || request.body().length() == 2 * content.length(),
                        "a truncated body looks complete");
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Hop.class,
            names = {"SERVER", "PEER"})
    void truncatedBodyNeverLooksCompleteAndIsNotRetried(Hop hop) throws Exception {
        String content = "x".repeat(200_000);
        for (String framing : List.of("Transfer-Encoding: chunked\r\n", "Content-Length: 400000\r\n")) {
            for (String routeClass : List.of("mutating", "idempotent")) {
                String id = routeClass + framing.charAt(0);
                try (Socket socket = context.connectAsClient()) {
                    SocketTestContext.write(
                            socket,
                            SocketTestContext.request(id, "/" + hop + "/" + routeClass + "/ok", framing)
                                    + (framing.startsWith("T") ? Integer.toHexString(content.length()) + "\r\n" : "")
                                    + content);
                    socket.shutdownOutput();
                    Reply reply = Reply.read(socket);
                    assertTrue(reply.status() / 100 != 2, reply.toString());
                    assertEquals(0, recorder.executionsOf(id), "a truncated body looks complete: " + id);
                }
                assertStillServes("/" + hop + "/mutating/", false);
                assertEquals(0, recorder.executionsOf(id), "a truncated body looks complete: " + id);
            }
        }
    }

    /** A long response, streamed, whose end is missing. */
    @ParameterizedTest
    @CsvSource({"SERVER,longCut", "SERVER,longChunksCut", "PEER,longCut", "PEER,longChunksCut"})
    void truncatedResponseNeverLooksComplete(String hop, String fault) throws Exception {
        for (String routeClass : List.of("mutating", "idempotent")) {
            Reply reply = join(context.send(routeClass, "/" + hop + "/" + routeClass + "/" + fault));
            assertEquals(0, reply.status(), "it must break off here too");
            assertEquals(
                    1,
                    recorder.executionsOf(routeClass),
                    "a request whose response was partly forwarded is not sent again");
            assertStillServes("/" + hop + "/mutating/", false);
        }
    }

    private CompletableFuture<JsonNode> call(AtomicInteger answersReceived, int number, String kind, int padding) {
        CompletableFuture<JsonNode> result = new CompletableFuture<>();
        SocketTestContext.runOnLoop(() -> {
            context.transport.call(
                    context.peerAddress,
                    kind,
                    JsonNodeFactory.instance.objectNode().put("n", number).put("padding", " ".repeat(padding)),
                    1500,
                    answer -> {
                        answersReceived.incrementAndGet();
                        result.complete(answer);
                    });
            return null;
        });
        return result;
    }

    private JsonNode await(CompletableFuture<JsonNode> call) throws Exception {
        JsonNode answer = call.get(SocketTestContext.HANG_TIMEOUT_S, TimeUnit.SECONDS);
        // The event loop's next turn, in which the connection is pooled.
        SocketTestContext.runOnLoop(() -> null);
        return answer;
    }

    /** Messages between processes: each call gets one result, its own answer or none. */
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
    void peerMessageGetsItsOwnAnswerOrNone(String fault, String isAnswered, String connection) throws Exception {
        AtomicInteger answersReceived = new AtomicInteger();
        assertEquals(0, await(call(answersReceived, 0, "ok", 0)).path("n").asInt());
        CompletableFuture<JsonNode> first = call(answersReceived, 1, fault, fault.equals("early") ? 16_000_000 : 0);
        if (Set.of("silence", "late", "frozen").contains(fault)) {
            Recorder.await(recorder.faultReached);
            context.clock.advance(BEYOND_DEADLINE_MS);
        }
        JsonNode answer = await(first);
        assertEquals(isAnswered.equals("y"), answer != null && answer.path("n").asInt() == 1, String.valueOf(answer));
        int connectionNumber = recorder.requests.get(1).connection();
        recorder.mayProceed.countDown();
        for (int number = 2; number < 6; number++) {
            JsonNode next = await(call(answersReceived, number, "ok", 0));
            assertTrue(
                    next == null
                            ? connection.equals("dirty") && number < 5
                            : next.path("n").asInt() == number,
                    number + " got " + next);
        }
        assertEquals(6, answersReceived.get(), "each call has one result");
        List<Integer> laterConnections = recorder.requests.subList(2, recorder.requests.size()).stream()
                .map(ReceivedRequest::connection)
                .toList();
        assertTrue(
                !connection.equals("shut") || !laterConnections.contains(connectionNumber),
                "an unreliable connection is reused");
        assertTrue(
                !connection.equals("used") || laterConnections.contains(connectionNumber),
                "a sound connection is reused");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 40})
    void concurrentRequestsGetTheirOwnResponses(int concurrency) throws Exception {
        for (int round = 0; round < 5; round++) {
            List<String> ids = new ArrayList<>();
            List<CompletableFuture<Reply>> replies = new ArrayList<>();
            for (int i = 0; i < concurrency; i++) {
                String id = round + "-" + i;
                ids.add(id);
                replies.add(context.send(
                        id,
                        "/" + (i % 2 == 0 ? Hop.SERVER : Hop.PEER) + "/mutating/" + (i % 5 == 4 ? "stutter" : "ok")));
            }
            for (int i = 0; i < concurrency; i++) {
                assertPromisesKept(ids.get(i), "mutating", join(replies.get(i)));
            }
        }
    }
}
