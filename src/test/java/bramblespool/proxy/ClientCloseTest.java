package bramblespool.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bramblespool.proxy.ServerStandIn.Recorder;
import bramblespool.proxy.SocketTestContext.Reply;
import bramblespool.state.Metric;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that closes its connection ends the work that is done for it: in the queue of a server's admission, at
 * another proxy and at the server. No time passes here, so that no deadline can do it instead.
 */
class ClientCloseTest {
    /** Slots of the two servers of {@link SocketTestContext} together. */
    private static final int SERVER_SLOTS = 16;

    private static final long RIGHT_BEFORE_DEADLINE_MS = 1480;

    private SocketTestContext context;
    private Recorder recorder;

    @BeforeEach
    void open() throws Exception {
        context = new SocketTestContext();
        recorder = context.recorder;
    }

    @AfterEach
    void close() throws Exception {
        assertEquals(0, SocketTestContext.runOnLoop(context.metrics::violations), "violations of invariants");
        context.close();
    }

    private Socket sendAndStayOpen(String id, String path) throws Exception {
        Socket client = context.connectAsClient();
        SocketTestContext.write(client, SocketTestContext.request(id, path, "Content-Length: 4\r\n") + "body");
        return client;
    }

    private void awaitAbandoned(String id) {
        SocketTestContext.awaitOnLoop(id + " is abandoned", () -> recorder.abandonedIds.contains(id));
    }

    private static Reply join(CompletableFuture<Reply> reply) throws Exception {
        return reply.get(SocketTestContext.HANG_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** {@code SERVER}: through a second proxy to a server; {@code PEER}: to a proxy, which sees the close. */
    @ParameterizedTest
    @CsvSource({"SERVER,idempotent", "PEER,idempotent", "PEER,mutating"})
    void closeReachesEndOfChain(String hop, String routeClass) throws Exception {
        try (Socket client = sendAndStayOpen("left", "/" + hop + "/" + routeClass + "/hold")) {
            Recorder.await(recorder.faultReached);
        }
        awaitAbandoned("left");
        assertEquals(1, recorder.executionsOf("left"), "a cancelled request is not sent again");
        context.awaitCount(Metric.REQUESTS_CLIENT_CLOSED, 1);
    }

    /** A response that is streamed and stalls: the client has its head and leaves. */
    @ParameterizedTest
    @ValueSource(strings = {"SERVER", "PEER"})
    void closeDuringStalledResponseReachesEndOfChain(String hop) throws Exception {
        try (Socket client = sendAndStayOpen("left", "/" + hop + "/idempotent/longStall")) {
            assertEquals(
                    "HTTP/1.1 200",
                    ServerStandIn.readHead(client.getInputStream()).substring(0, 12));
        }
        awaitAbandoned("left");
        SocketTestContext.awaitOnLoop("its slot is free", () -> context.serverLoad() == 0);
    }

    /** A body that is streamed, because it is larger than what is buffered. */
    @ParameterizedTest
    @ValueSource(strings = {"SERVER", "PEER"})
    void closeBehindStreamedBodyReachesEndOfChain(String hop) throws Exception {
        String body = "x".repeat(4 * ServerForwarder.MAX_BUFFERED_BYTES);
        try (Socket client = context.connectAsClient()) {
            SocketTestContext.write(
                    client,
                    SocketTestContext.request(
                                    "left", "/" + hop + "/idempotent/hold", "Content-Length: " + body.length() + "\r\n")
                            + body);
            Recorder.await(recorder.faultReached);
        }
        awaitAbandoned("left");
    }

    @Test
    void mutatingRequestAtServerRunsToItsEnd() throws Exception {
        try (Socket client = sendAndStayOpen("left", "/SERVER/mutating/hold")) {
            Recorder.await(recorder.faultReached);
        }
        context.awaitCount(Metric.REQUESTS_CLIENT_CLOSED, 1);
        context.awaitCount(Metric.SERVER_REQUESTS_DETACHED, 1);
        recorder.mayProceed.countDown();
        SocketTestContext.awaitOnLoop("its slot is free", () -> context.serverLoad() == 0);
        assertEquals(List.of(), recorder.abandonedIds);
        assertEquals(1, recorder.executionsOf("left"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"idempotent", "mutating"})
    void queuedRequestIsNeverSentToServer(String routeClass) throws Exception {
        List<Socket> running = new ArrayList<>();
        for (int i = 0; i < SERVER_SLOTS; i++) {
            running.add(sendAndStayOpen("running-" + i, "/SERVER/idempotent/hold"));
        }
        SocketTestContext.awaitOnLoop("all slots are taken", () -> context.serverLoad() == SERVER_SLOTS);
        try (Socket client = sendAndStayOpen("queued", "/SERVER/" + routeClass + "/ok")) {
            SocketTestContext.awaitOnLoop("it is queued", () -> context.serverLoad() == SERVER_SLOTS + 1);
        }
        context.awaitCount(Metric.QUEUED_REQUESTS_CANCELLED, 1);
        assertEquals(SERVER_SLOTS, SocketTestContext.runOnLoop(context::serverLoad));
        recorder.mayProceed.countDown();
        for (Socket client : running) {
            assertEquals(200, Reply.read(client).status());
            client.close();
        }
        assertEquals(0, recorder.executionsOf("queued"));
    }

    @Test
    void bytesOfNextRequestAreNeitherLostNorTakenForClose() throws Exception {
        try (Socket client = sendAndStayOpen("first", "/SERVER/idempotent/hold")) {
            Recorder.await(recorder.faultReached);
            String second = SocketTestContext.request("second", "/SERVER/idempotent/ok", "Content-Length: 4\r\n");
            SocketTestContext.write(client, second.substring(0, 20));
            context.awaitCount(Metric.SERVER_REQUESTS, 1);
            SocketTestContext.write(client, second.substring(20) + "body");
            recorder.mayProceed.countDown();
            assertEquals("ran first", Reply.read(client).body());
            assertEquals("ran second", Reply.read(client).body());
        }
    }

    @Test
    void closeBehindBytesOfNextRequestIsNoticed() throws Exception {
        try (Socket client = sendAndStayOpen("left", "/SERVER/idempotent/hold")) {
            Recorder.await(recorder.faultReached);
            SocketTestContext.write(client, SocketTestContext.request("never", "/SERVER/idempotent/ok", ""));
        }
        awaitAbandoned("left");
        assertEquals(0, recorder.executionsOf("never"));
    }

    @Test
    void runThatEndsAtItsDeadlineAnywayKeepsItsConnection() throws Exception {
        try (Socket client = sendAndStayOpen("left", "/SERVER/idempotent/hold")) {
            Recorder.await(recorder.faultReached);
            context.clock.advance(RIGHT_BEFORE_DEADLINE_MS);
        }
        context.awaitCount(Metric.SERVER_REQUESTS_DETACHED, 1);
        recorder.mayProceed.countDown();
        SocketTestContext.awaitOnLoop("its slot is free", () -> context.serverLoad() == 0);
        assertEquals(List.of(), recorder.abandonedIds);
    }

    @Test
    void slotOfCancelledRunIsFree() throws Exception {
        try (Socket client = sendAndStayOpen("left", "/SERVER/idempotent/hold")) {
            Recorder.await(recorder.faultReached);
        }
        SocketTestContext.awaitOnLoop("its slot is free", () -> context.serverLoad() == 0);
        assertEquals(200, join(context.send("next", "/SERVER/idempotent/ok")).status());
    }
}
