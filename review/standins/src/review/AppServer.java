package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An application server after PROTOCOL, "Servers": it beats to its sidecar, runs what carries its id, echoes the
 * attempt's id, stamps its answers and drops a run whose connection ends.
 */
final class AppServer implements AutoCloseable {
    /** A run of a request. */
    record Run(String attempt, String key, String tenant, String caller, String server, long atMs, String stamp) {}

    static final int CAPACITY = 6;
    private static final int QUEUE = 24;
    private static final int BEAT_MS = 1500;

    final String id;
    final String service;
    final Mesh.Machine machine;
    private final Mesh mesh;
    private final ServerSocket socket;
    private final Semaphore slots = new Semaphore(CAPACITY, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger stamps = new AtomicInteger();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
    private volatile boolean isClosed;
    private volatile boolean isPaused;
    volatile long workMs = 20;
    /** While above 0, one in so many answers is lost: the connection is reset in its place. */
    volatile int loseEvery;
    private final AtomicInteger ended = new AtomicInteger();
    /** The keys of the requests that run now. */
    private final Set<String> keysAtWork = ConcurrentHashMap.newKeySet();
    volatile int bodyBytes = 200;

    AppServer(Mesh mesh, Mesh.Machine machine, String service, String id) throws IOException {
        this.mesh = mesh;
        this.machine = machine;
        this.service = service;
        this.id = id;
        this.socket = new ServerSocket(Mesh.APP_PORT, 200, InetAddress.getByName(machine.ip));
        mesh.allServers.add(this);
        Mesh.daemon(this::accept);
        Mesh.daemon(this::beat);
    }

    /** Whether a request with this key runs here now. */
    boolean isAtWork(String key) {
        return keysAtWork.contains(key);
    }

    /** It has not started yet: it says nothing and takes no connections. */
    void pause() {
        isPaused = true;
    }

    void resume() {
        isPaused = false;
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    private void beat() throws InterruptedException {
        for (int sequence = 1; !isClosed; sequence++) {
            while (isPaused) {
                Thread.sleep(50);
            }
            String body = "{\"target\":\"" + service + "\",\"address\":\"" + machine.ip + ":" + Mesh.APP_PORT
                    + "\",\"zone\":\"" + machine.zone + "\",\"epoch\":\"v1\",\"capacity\":" + CAPACITY
                    + ",\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"callSeq\":" + sequence + "}";
            Http.call(machine.ip, Mesh.CONTROL_PORT, "POST", "/bramblespool/servers/" + id + "/heartbeat",
                    Map.of("Host", machine.ip + ":" + Mesh.CONTROL_PORT, "Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8), 1000);
            Thread.sleep(BEAT_MS);
        }
    }

    private void accept() throws IOException {
        while (!isClosed) {
            Socket connection = socket.accept();
            if (isPaused) {
                connection.close();
                continue;
            }
            connections.add(connection);
            Mesh.daemon(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            connection.setTcpNoDelay(true);
            while (true) {
                connection.setSoTimeout(0);
                Http.Message request = Http.read(connection.getInputStream(), false);
                if (!answer(connection, request)) {
                    return;
                }
            }
        }
    }

    /** Answers one request; returns whether the connection goes on. */
    private boolean answer(Socket connection, Http.Message request) throws IOException, InterruptedException {
        String path = request.startLine().split(" ")[1];
        if (path.equals("/health")) {
            Http.write(connection, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String attempt = request.header("X-Attempt-Id");
        if (attempt == null) {
            return refuse(connection, "400 Bad Request", "", true);
        }
        String target = request.header("X-Target-Instance");
        if (target != null && !target.equals(id)) {
            return refuse(connection, "421 Misdirected Request", attempt, true);
        }
        if (waiting.incrementAndGet() > QUEUE + CAPACITY) {
            waiting.decrementAndGet();
            return refuse(connection, "503 Service Unavailable", attempt, true);
        }
        slots.acquire();
        waiting.decrementAndGet();
        try {
            String stamp = id + "." + stamps.incrementAndGet();
            runs.add(new Run(attempt, request.header("X-Operation-Key"), request.header("X-Tenant"),
                    request.header("X-Caller-Service"), id, mesh.record.nowMs(), stamp));
            mesh.record.line("run server=" + id + " attempt=" + attempt + " key=" + request.header("X-Operation-Key")
                    + " tenant=" + request.header("X-Tenant") + " stamp=" + stamp);
            String key = request.header("X-Operation-Key");
            if (key != null) {
                keysAtWork.add(key);
            }
            boolean isConnected = work(connection);
            if (key != null) {
                keysAtWork.remove(key);
            }
            if (!isConnected) {
                return false;
            }
            if (loseEvery > 0 && ended.incrementAndGet() % loseEvery == 0) {
                mesh.record.line("answer lost server=" + id + " attempt=" + attempt);
                connection.setSoLinger(true, 0);
                return false;
            }
            byte[] body = (stamp + " " + "x".repeat(bodyBytes)).getBytes(StandardCharsets.ISO_8859_1);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Attempt-Id", attempt);
            headers.put("X-Server-Seal", stamp);
            headers.put("Keep-Alive", "timeout=10");
            Http.write(connection, "HTTP/1.1 200 OK", headers, body);
            return true;
        } finally {
            slots.release();
        }
    }

    private static boolean refuse(Socket connection, String status, String attempt, boolean goesOn) throws IOException {
        Http.write(connection, "HTTP/1.1 " + status, Map.of("X-Attempt-Id", attempt, "X-Not-Executed", "1"),
                new byte[0]);
        return goesOn;
    }

    /** Works; returns whether the connection is still open. */
    private boolean work(Socket connection) throws IOException {
        long endNs = System.nanoTime() + workMs * 1_000_000;
        connection.setSoTimeout(5);
        while (System.nanoTime() - endNs < 0) {
            try {
                if (connection.getInputStream().read() < 0) {
                    return false;
                }
            } catch (SocketTimeoutException e) {
                // It is still open.
            } catch (SocketException e) {
                return false;
            }
        }
        return true;
    }

    /** The process ends: its connections are closed, and it says nothing any more. */
    @Override
    public void close() throws IOException {
        isClosed = true;
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
