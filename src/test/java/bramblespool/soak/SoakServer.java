package bramblespool.soak;

import bramblespool.testing.RawHttp;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Collection;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An application server beside a sidecar: slow at times, and it loses some answers. It drops a run whose connection
 * ends.
 */
final class SoakServer {
    /** One run of a request. */
    static final class Run {
        final int server;
        final long startedNs = System.nanoTime();
        volatile long endedNs = -1;
        volatile boolean wasDropped;

        Run(int server) {
            this.server = server;
        }
    }

    /** All runs of all servers. */
    static final class Ledger {
        private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();

        Collection<Run> runsOf(String id) {
            return runs.getOrDefault(id, new ConcurrentLinkedQueue<>());
        }

        int size() {
            return runs.size();
        }

        private Run begin(String id, int server) {
            Run run = new Run(server);
            runs.computeIfAbsent(id, i -> new ConcurrentLinkedQueue<>()).add(run);
            return run;
        }
    }

    private static final int POLL_MS = 10;
    private static final int MAX_WORK_MS = 60;
    /** Work while it is slow: longer than most clients wait. */
    private static final int SLOW_WORK_MS = 4000;

    private final int number;
    private final Ledger ledger;
    private final ServerSocket socket;
    private final AtomicInteger lostAnswers = new AtomicInteger();
    private volatile boolean isSlow;

    SoakServer(int number, String ip, int port, Ledger ledger) throws IOException {
        this.number = number;
        this.ledger = ledger;
        this.socket = new ServerSocket(port, 100, InetAddress.getByName(ip));
        RawHttp.startThread(this::accept);
    }

    void setSlow(boolean slow) {
        isSlow = slow;
    }

    /** The next answers are lost: the connection is closed in their place. */
    void loseAnswers(int count) {
        lostAnswers.set(count);
    }

    void close() throws IOException {
        socket.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket accepted = socket.accept();
            RawHttp.startThread(() -> serve(accepted));
        }
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            while (true) {
                connection.setSoTimeout(0);
                String head = RawHttp.readHead(connection.getInputStream());
                connection.getInputStream().readNBytes(Integer.parseInt(RawHttp.header(head, "Content-Length", "0")));
                String id = RawHttp.header(head, "X-Attempt-Id", "none");
                // A key's runs are counted under the key, whichever attempt they are of.
                Run run = ledger.begin(RawHttp.header(head, "X-Operation-Key", id), number);
                boolean isConnected = work(connection);
                run.wasDropped = !isConnected;
                run.endedNs = System.nanoTime();
                if (!isConnected || lostAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                    return;
                }
                RawHttp.write(
                        connection,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\nContent-Length: "
                                + id.length() + "\r\n\r\n" + id);
            }
        } catch (EOFException e) {
            // The sidecar has closed an idle connection.
        }
    }

    /** Works for a while; returns whether the connection is still open. */
    private boolean work(Socket connection) throws IOException {
        long workMs = isSlow ? SLOW_WORK_MS : ThreadLocalRandom.current().nextInt(1, MAX_WORK_MS);
        long endNs = System.nanoTime() + workMs * 1_000_000;
        connection.setSoTimeout(POLL_MS);
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
}
