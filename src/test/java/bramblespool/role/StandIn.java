package bramblespool.role;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The far end of a hop on a real socket, which at the first arrival of a request commits the fault that its path names. */
final class StandIn {
    /** Which hop it is the end of: how it names a request, and what else its answers say. */
    enum Hop {
        SERVER("X-Attempt-Id", "X-Server-Seal: s\r\n", "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"),
        PEER(
                "X-Attempt-Id",
                "X-Server-Seal: s\r\nX-Spool-Verdict: a\r\n",
                "HTTP/1.1 503 No\r\nX-Spool-Verdict: n\r\nX-Spool-Why: full\r\n"),
        MESSAGE("X-Spool-Call", "", "HTTP/1.1 503 No\r\n");

        final String id;
        private final String good;
        private final String refusal;

        Hop(String id, String good, String refusal) {
            this.id = id;
            this.good = good;
            this.refusal = refusal;
        }
    }

    /** A request as it came; {@code whole}: with its body, which is null where that was never whole. */
    record Arrival(String id, int connection, String body) {}

    /** What several ends of one hop have seen, and the latches by which a test goes along with them. */
    static final class Book {
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        final List<String> runs = new CopyOnWriteArrayList<>();
        /** The fault's request has come. */
        final CountDownLatch reached = new CountDownLatch(1);
        /** The fault may go on. */
        final CountDownLatch go = new CountDownLatch(1);
        /** The end at which the fault was committed has nothing more to do for it. */
        final CountDownLatch over = new CountDownLatch(1);

        private final Map<String, Boolean> known = new ConcurrentHashMap<>();
        private final AtomicInteger connections = new AtomicInteger();

        long runsOf(String id) {
            return runs.stream().filter(id::equals).count();
        }

        /** The connections on which a request came, in the order of its arrivals. */
        List<Integer> connectionsOf(String id) {
            return arrivals.stream()
                    .filter(a -> a.id.equals(id))
                    .map(Arrival::connection)
                    .toList();
        }

        static void await(CountDownLatch latch) {
            try {
                if (!latch.await(Scene.GUARD_S, TimeUnit.SECONDS)) {
                    throw new AssertionError("it hangs");
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    private final Hop hop;
    private final Book book;
    private final ServerSocket socket;
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    StandIn(Hop hop, Book book) throws IOException {
        this.hop = hop;
        this.book = book;
        socket = new ServerSocket();
        // So little that a body of megabytes cannot be on its way whole while nobody reads it.
        socket.setReceiveBufferSize(1 << 16);
        socket.bind(new InetSocketAddress(Scene.IP, 0), 50);
        daemon(() -> {
            while (true) {
                Socket s = socket.accept();
                open.add(s);
                daemon(() -> serve(s));
            }
        });
    }

    String address() {
        return Scene.IP + ":" + socket.getLocalPort();
    }

    void close() throws IOException {
        socket.close();
        for (Socket s : open) {
            s.close();
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread t = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // The connection, or the listening, is over.
                    }
                },
                "stand-in");
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s) throws IOException {
        int connection = book.connections.incrementAndGet();
        String stutter = "";
        try (s) {
            while (true) {
                String head = head(s.getInputStream());
                String id = value(head, hop.id, "none");
                String path = head.substring(head.indexOf(' ') + 1, head.indexOf(" HTTP"));
                String named = path.substring(path.lastIndexOf('/') + 1);
                boolean first = book.known.put(id, true) == null;
                String fault =
                        first || hop == Hop.MESSAGE || named.endsWith("Always") ? named.replace("Always", "") : "ok";
                boolean early = fault.startsWith("early");
                book.arrivals.add(new Arrival(id, connection, early ? null : body(s.getInputStream(), head)));
                boolean runs = !fault.endsWith("efused") && !fault.startsWith("frozen");
                if (runs) {
                    book.runs.add(id);
                }
                if (!fault.equals("ok")) {
                    book.reached.countDown();
                }
                String answer = stutter + answer(fault, id, book.arrivals.get(book.arrivals.size() - 1).body);
                stutter = fault.equals("stutter") ? answer : "";
                if (fault.equals("late") || fault.equals("frozen") || fault.equals("silence")) {
                    Book.await(book.go);
                }
                if (fault.equals("frozen")) {
                    book.runs.add(id);
                    book.over.countDown();
                }
                if (fault.equals("silence")) {
                    answer = "";
                }
                s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                s.getOutputStream().flush();
                if (fault.equals("resetAfter")) {
                    Book.await(book.go);
                }
                if (fault.startsWith("reset")) {
                    s.setSoLinger(true, 0);
                    return;
                }
                if (fault.endsWith("Cut")) {
                    return;
                }
                if (early) {
                    // Reads on, as a server may that answers before it has all.
                    Book.await(book.go);
                    try {
                        String body = body(s.getInputStream(), head);
                        book.arrivals.add(new Arrival(id, connection, body));
                    } finally {
                        book.over.countDown();
                    }
                }
            }
        }
    }

    /** The bytes that are sent back; an answer's body names the request that it is to, or repeats its message. */
    private String answer(String fault, String id, String sent) {
        String body = hop == Hop.MESSAGE ? sent == null ? "{}" : sent : "ran " + id;
        String own = hop.id + ": " + id + "\r\n";
        String ok = "HTTP/1.1 200 OK\r\n" + hop.good + own + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        String no = hop.refusal + own + "Content-Length: 0\r\n\r\n";
        String other = hop.id + ": other\r\n";
        return switch (fault) {
            case "resetBefore" -> "";
            case "resetIn" -> ok.substring(0, ok.length() - 2);
            case "twice" -> ok + ok;
            case "otherId" -> ok.replace(own, other);
            case "noId" -> ok.replace(own, "");
            case "twoIds" -> ok.replace(own, own + other);
            case "refused", "earlyRefused" -> no;
            case "otherIdRefusal" -> no.replace(own, other);
            case "noIdRefusal" -> no.replace(own, "");
            case "other421" -> no.replace(" 503 ", " 421 ").replace(own, other);
            case "bare503", "bare429", "bare408" -> ok.replace("200 OK", fault.substring(4) + " Own");
            case "unsaid503" -> "HTTP/1.1 503 No\r\n" + own + "Content-Length: 0\r\n\r\n";
            case "garbage", "earlyGarbage" -> "\u0001\u0002 nonsense\r\n\r\n";
            case "twoLengths" -> ok.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n");
            case "shortThenLong" -> ok.replace("Content-Length", "Content-Length: 3\r\nContent-Length");
            case "lengthAndChunks" ->
                ok.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n") + "\r\n0\r\n\r\n";
            case "noLength" -> ok.replace("Content-Length", "X-Length");
            case "longCut" -> ok.replace("Length: ", "Length: 99999") + "x".repeat(200_000);
            case "longChunksCut" ->
                ok.substring(0, ok.indexOf("Content-Length")) + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"
                        + "x".repeat(200_000) + "\r\n";
            case "interim" -> ok.replace("200 OK", "103 Early");
            default -> ok;
        };
    }

    static String head(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int last = 0; last != 0x0d0a0d0a; ) {
            int c = in.read();
            if (c < 0) {
                throw new EOFException();
            }
            out.write(c);
            last = last << 8 | c;
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static String value(String head, String name, String otherwise) {
        int at = head.indexOf("\r\n" + name + ": ");
        return at < 0 ? otherwise : head.substring(at + name.length() + 4, head.indexOf("\r\n", at + 2));
    }

    /** A body by its length or in chunks; ends with an exception where it breaks off. */
    static String body(InputStream in, String head) throws IOException {
        StringBuilder out = new StringBuilder();
        boolean chunks = head.contains("\r\nTransfer-Encoding: chunked\r\n");
        int size = Integer.parseInt(value(head, "Content-Length", "0"));
        do {
            if (chunks) {
                StringBuilder line = new StringBuilder();
                for (int c = in.read(); c != '\n'; c = in.read()) {
                    if (c < 0) {
                        throw new EOFException();
                    }
                    line.append((char) c);
                }
                size = Integer.parseInt(line.toString().strip(), 16);
            }
            byte[] part = in.readNBytes(size);
            if (part.length < size || chunks && in.readNBytes(2).length < 2) {
                throw new EOFException();
            }
            out.append(new String(part, StandardCharsets.ISO_8859_1));
        } while (chunks && size > 0);
        return out.toString();
    }
}
