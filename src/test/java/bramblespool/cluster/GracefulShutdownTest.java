package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import bramblespool.testing.RawHttp;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.EventLoop;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar under SIGTERM answers whatever it has read, on real sockets: one controller, one sidecar, one server. */
class GracefulShutdownTest {
    private static final long HANG_TIMEOUT_S = 60;
    /** Time that the process has; short, for the tests wait until it is over. */
    private static final long GRACE_MS = 3000;

    private static final String SIDECAR_IP = "127.0.0.7";
    private static final String CONTROLLER_IP = "127.0.0.8";

    @TempDir
    Path dir;

    private final CountDownLatch requestArrived = new CountDownLatch(1);
    private final CountDownLatch mayAnswer = new CountDownLatch(1);
    private EventLoop loop;
    private LoopbackMesh mesh;
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop(EventLog.silent());
        mesh = new LoopbackMesh(SIDECAR_IP, CONTROLLER_IP);
        server = new ServerSocket(mesh.serverPort, 50, InetAddress.getByName(SIDECAR_IP));
        RawHttp.startThread(this::serve);
        mesh.start(loop, dir, "");
        String document = SimulatedMesh.document(3, 0, "x")
                .replace("idempotent", "mutating")
                .replace("1500ms", "60s");
        awaitStatus(CONTROLLER_IP, mesh.controlPort, post("/bramblespool/config/replace", document), 200);
        String heartbeat = "{\"target\":\"desk\",\"address\":\"" + SIDECAR_IP + ":" + mesh.serverPort
                + "\",\"zone\":\"z\",\"epoch\":\"v1\",\"capacity\":4,\"state\":\"ready\","
                + "\"warmupLeft\":\"0ms\",\"callSeq\":1}";
        awaitStatus(SIDECAR_IP, mesh.controlPort, post("/bramblespool/servers/i-1/heartbeat", heartbeat), 200);
        awaitStatus(SIDECAR_IP, mesh.outboundPort, request("/x/ready", 1500), 200);
    }

    @AfterEach
    void close() throws IOException {
        mayAnswer.countDown();
        server.close();
    }

    /** Answers at once, but a request whose path ends with {@code hold} only when the test lets it. */
    private void serve() throws Exception {
        while (true) {
            Socket accepted = server.accept();
            RawHttp.startThread(() -> {
                while (true) {
                    String head = RawHttp.readHead(accepted.getInputStream());
                    if (head.contains("/hold ")) {
                        requestArrived.countDown();
                        mayAnswer.await();
                    }
                    String id = RawHttp.header(head, "X-Attempt-Id", "none");
                    RawHttp.write(
                            accepted,
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    }

    private static String post(String path, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String request(String path, long deadlineMs) {
        return "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\n\r\n";
    }

    /** The status of the next response; 0 where the connection ends without one. */
    private static int readStatus(Socket socket) throws IOException {
        try {
            return RawHttp.readResponse(socket).status();
        } catch (EOFException e) {
            return 0;
        }
    }

    private static Socket connect(String ip, int port) throws IOException {
        Socket socket = new Socket(ip, port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(HANG_TIMEOUT_S));
        return socket;
    }

    private static void awaitStatus(String ip, int port, String request, int status) throws IOException {
        int actual = -1;
        for (long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_TIMEOUT_S);
                actual != status && System.nanoTime() < endNs; ) {
            try (Socket socket = connect(ip, port)) {
                RawHttp.write(socket, request);
                actual = readStatus(socket);
            }
        }
        assertEquals(status, actual);
    }

    private Socket sendHeldRequest(long deadlineMs) throws Exception {
        Socket client = connect(SIDECAR_IP, mesh.outboundPort);
        RawHttp.write(client, request("/x/hold", deadlineMs));
        requestArrived.await();
        return client;
    }

    /** Waits until the stopping sidecar takes no new connections. */
    private void awaitListenersClosed() throws IOException {
        while (true) {
            try (Socket refused = connect(SIDECAR_IP, mesh.outboundPort)) {
                assertFalse(refused.isClosed());
            } catch (ConnectException e) {
                return;
            }
        }
    }

    @Test
    void runningRequestIsWaitedFor() throws Exception {
        try (Socket client = sendHeldRequest(60_000)) {
            CompletableFuture<Void> stopped = mesh.stopSidecar(loop, GRACE_MS);
            mayAnswer.countDown();
            assertEquals(200, readStatus(client));
            stopped.get(HANG_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void requestThatOutlastsTheShutdownIsAnswered() throws Exception {
        try (Socket client = sendHeldRequest(60_000)) {
            mesh.stopSidecar(loop, 1000).get(HANG_TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(client.getInputStream().available() > 0, "the process would have ended without an answer");
            assertEquals(502, readStatus(client), "it may have run, so it is no promise");
        }
    }

    @Test
    void requestThatCannotEndInTimeIsRefusedOnKeptConnection() throws Exception {
        try (Socket kept = connect(SIDECAR_IP, mesh.outboundPort);
                Socket client = sendHeldRequest(60_000)) {
            CompletableFuture<Void> stopped = mesh.stopSidecar(loop, GRACE_MS);
            awaitListenersClosed();
            RawHttp.write(kept, request("/x/late", 100_000));
            int status = readStatus(kept);
            mayAnswer.countDown();
            assertEquals(200, readStatus(client));
            assertEquals(503, status);
            stopped.get(HANG_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
