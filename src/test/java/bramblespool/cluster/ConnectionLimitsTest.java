package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.EventLog;
import bramblespool.testing.SimulatedMesh;
import bramblespool.transport.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operator's limits on clients' connections, on real sockets: one controller, one sidecar, no server. */
class ConnectionLimitsTest {
    private static final int IDLE_MS = 400;

    @TempDir
    Path dir;

    private LoopbackMesh mesh;

    @BeforeEach
    void start() throws Exception {
        mesh = new LoopbackMesh("127.0.0.5", "127.0.0.6");
        mesh.start(new EventLoop(EventLog.silent()), dir, "");
        configure(3, 0, IDLE_MS, 1000);
    }

    /** Puts a version in force, whose only prefix is its number, and waits until the sidecar knows no other. */
    private void configure(int epoch, int base, int idleMs, int bodyBytes) throws IOException {
        String body = SimulatedMesh.document(epoch, base, "p" + epoch)
                .replace("\"15s\"", "\"" + idleMs + "ms\"")
                .replace("1000000", Integer.toString(bodyBytes));
        awaitStatus(
                mesh.controllerIp,
                mesh.controlPort,
                "POST /bramblespool/config/replace HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n"
                        + body,
                "200");
        awaitStatus(mesh.sidecarIp, mesh.outboundPort, get("/p" + base + "/x"), "404");
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\n\r\n";
    }

    private static void awaitStatus(String host, int portNumber, String request, String status) throws IOException {
        long deadlineNs = System.nanoTime() + 60_000_000_000L;
        String actual = "";
        while (!actual.equals(status) && System.nanoTime() < deadlineNs) {
            try (Socket socket = new Socket(host, portNumber)) {
                actual = exchange(socket, request);
            }
        }
        assertEquals(status, actual);
    }

    /** The status of the answer; its body is read, so that the connection rests. */
    private static String exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int octet = socket.getInputStream().read();
            if (octet < 0) {
                return "closed";
            }
            head.append((char) octet);
        }
        String length = head.toString().replaceAll("(?is).*content-length: *(\\d+).*", "$1");
        socket.getInputStream().readNBytes(Integer.parseInt(length));
        return head.substring(9, 12);
    }

    @Test
    void idleConnectionIsClosedAfterTimeoutAndKeptLongerOnceTimeoutIsRaised() throws Exception {
        try (Socket idleSocket = new Socket(mesh.sidecarIp, mesh.outboundPort)) {
            idleSocket.setSoTimeout(IDLE_MS * 10);
            assertEquals("404", exchange(idleSocket, get("/nowhere/")));
            long startNs = System.nanoTime();
            assertEquals(-1, idleSocket.getInputStream().read(), "closed by the sidecar");
            assertTrue(
                    System.nanoTime() - startNs >= IDLE_MS * 1_000_000L * 4 / 5,
                    "but not within what clients count on");
        }
        try (Socket keptSocket = new Socket(mesh.sidecarIp, mesh.outboundPort)) {
            assertEquals("404", exchange(keptSocket, get("/nowhere/")));
            configure(5, 3, IDLE_MS * 100, 1000);
            keptSocket.setSoTimeout(IDLE_MS * 2);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> keptSocket.getInputStream().read(),
                    "it rests under the new bound");
            assertEquals("404", exchange(keptSocket, get("/nowhere/")));
        }
    }

    @Test
    void currentBodyLimitAppliesToOldConnections() throws Exception {
        String large = "POST /p5/x HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\nContent-Length: 2000\r\n\r\n"
                + "x".repeat(2000);
        configure(4, 3, IDLE_MS * 100, 1000);
        try (Socket socket = new Socket(mesh.sidecarIp, mesh.outboundPort)) {
            assertEquals("404", exchange(socket, get("/nowhere/")));
            configure(5, 4, IDLE_MS * 100, 4000);
            assertEquals("503", exchange(socket, large));
        }
    }

    /**
     * An operator's request, a heartbeat and a request whose body cannot be read were not executed, and no answer may
     * say so.
     */
    @ParameterizedTest
    @CsvSource({
        "order, /bramblespool/config/replace",
        "heartbeat, /bramblespool/servers/i-1/heartbeat",
        "request, /p3/x"
    })
    void truncatedBodyIsNeverAcknowledged(String kind, String path) throws Exception {
        String host = kind.equals("order") ? mesh.controllerIp : mesh.sidecarIp;
        int portNumber = kind.equals("request") ? mesh.outboundPort : mesh.controlPort;
        String chunked = "Transfer-Encoding: chunked\r\n\r\n";
        for (String body : List.of(chunked + "zz\r\n", chunked + "5\r\nab", "Content-Length: 5\r\n\r\nab")) {
            try (Socket socket = new Socket(host, portNumber)) {
                socket.getOutputStream()
                        .write(("POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                socket.shutdownOutput();
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
            } catch (SocketException e) {
                assertTrue(e.getMessage().contains("reset"), e.getMessage());
            }
        }
    }

    /** What is over a limit is rejected, whether its length is declared or not. */
    @Test
    void oversizedBodyIsAnswered413() throws Exception {
        String head = " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: a\r\n";
        try (Socket socket = new Socket(mesh.controllerIp, mesh.controlPort)) {
            assertEquals(
                    "413",
                    exchange(
                            socket,
                            "POST /bramblespool/config/replace" + head + "Content-Length: " + (17 << 20) + "\r\n\r\n"));
        }
        try (Socket socket = new Socket(mesh.sidecarIp, mesh.outboundPort)) {
            assertEquals("413", exchange(socket, "POST /p3/x" + head + "Content-Length: 2000\r\n\r\n"));
        }
        // Without a length it is found out too late for an answer.
        awaitStatus(
                mesh.sidecarIp,
                mesh.outboundPort,
                "POST /p3/x" + head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + "x".repeat(2000) + "\r\n0\r\n\r\n",
                "closed");
    }
}
