package bramblespool.cluster;

import bramblespool.state.EventLog;
import bramblespool.testing.RawHttp;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.EventLoop;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A {@link LoopbackMesh} with its server and a version in force: {@code /x/} is mutating, {@code /k/} keyed. The server
 * answers at once, but a request whose path ends with {@code hold} only when the test lets it.
 */
final class SingleServerMesh implements AutoCloseable {
    static final long HANG_TIMEOUT_S = 60;
    /** Deadline of requests that no test waits for, in ms; also the routes' deadline. */
    static final long LONG_DEADLINE_MS = 60_000;

    final CountDownLatch requestArrived = new CountDownLatch(1);
    final CountDownLatch mayAnswer = new CountDownLatch(1);
    final AtomicInteger heldRuns = new AtomicInteger();
    private final EventLoop loop;
    private final LoopbackMesh mesh;
    private final ServerSocket server;

    SingleServerMesh(String sidecarIp, String controllerIp, Path directory) throws Exception {
        loop = new EventLoop(EventLog.silent());
        mesh = new LoopbackMesh(sidecarIp, controllerIp);
        server = new ServerSocket(mesh.serverPort, 50, InetAddress.getByName(sidecarIp));
        RawHttp.startThread(this::serve);
        mesh.start(loop, directory, "");
        awaitStatus(controllerIp, mesh.controlPort, post("/bramblespool/config/replace", document()), 200);
        String heartbeat = "{\"target\":\"desk\",\"address\":\"" + sidecarIp + ":" + mesh.serverPort
                + "\",\"zone\":\"z\",\"epoch\":\"v1\",\"capacity\":4,\"state\":\"ready\","
                + "\"warmupLeft\":\"0ms\",\"callSeq\":1}";
        awaitStatus(sidecarIp, mesh.controlPort, post("/bramblespool/servers/i-1/heartbeat", heartbeat), 200);
        awaitStatus(sidecarIp, mesh.outboundPort, request("/x/ready", 1500), 200);
    }

    private static String document() {
        return SimulatedMesh.document(3, 0, "x")
                .replace("idempotent", "mutating")
                .replace(
                        "[[\"r\"",
                        "[[\"k\",\"x.example\",\"/k/\",\"keyed\",\"1500ms\",\"600ms\",1,null,2,\"desk\"],[\"r\"")
                .replace("1500ms", LONG_DEADLINE_MS / 1000 + "s");
    }

    private void serve() throws Exception {
        while (true) {
            Socket accepted = server.accept();
            RawHttp.startThread(() -> answerAll(accepted));
        }
    }

    private void answerAll(Socket connection) throws Exception {
        while (true) {
            String head = RawHttp.readHead(connection.getInputStream());
            if (head.contains("/hold ")) {
                heldRuns.incrementAndGet();
                requestArrived.countDown();
                mayAnswer.await();
            }
            String id = RawHttp.header(head, "X-Attempt-Id", "none");
            RawHttp.write(
                    connection,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    private static String post(String path, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A request; {@code moreHeaders}: lines, each with its end. */
    static String request(String path, long deadlineMs, String... moreHeaders) {
        return "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\n" + String.join("", moreHeaders) + "\r\n";
    }

    /** The status of the next response; 0 where the connection ends without one. */
    static int readStatus(Socket socket) throws IOException {
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
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_TIMEOUT_S);
        int actual = -1;
        while (actual != status) {
            if (System.nanoTime() - endNs > 0) {
                throw new IllegalStateException("status " + actual + " in place of " + status);
            }
            try (Socket socket = connect(ip, port)) {
                RawHttp.write(socket, request);
                actual = readStatus(socket);
            }
        }
    }

    /** A client's connection to the sidecar. */
    Socket connectAsClient() throws IOException {
        return connect(mesh.sidecarIp, mesh.outboundPort);
    }

    /** Sends a request and waits until the server has it. */
    Socket sendHeldRequest(String request) throws Exception {
        Socket client = connectAsClient();
        RawHttp.write(client, request);
        requestArrived.await();
        return client;
    }

    /** Sends a request again and again until it gets the status. */
    void awaitStatus(String request, int status) throws IOException {
        awaitStatus(mesh.sidecarIp, mesh.outboundPort, request, status);
    }

    /** See {@link LoopbackMesh#stopSidecar}. */
    CompletableFuture<Void> stopSidecar(long graceMs) {
        return mesh.stopSidecar(loop, graceMs);
    }

    @Override
    public void close() throws IOException {
        mayAnswer.countDown();
        server.close();
    }
}
