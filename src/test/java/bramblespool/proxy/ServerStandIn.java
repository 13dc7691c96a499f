package bramblespool.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The server side of a hop on a real socket; at the first arrival of a request it commits the fault named by its path. */
final class ServerStandIn {
    /** The hop: the header that identifies a request, and the other headers of responses. */
    enum Hop {
        SERVER("X-Attempt-Id", "X-Server-Seal: s\r\n", "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"),
        PEER(
                "X-Attempt-Id",
                "X-Server-Seal: s\r\nX-Spool-Verdict: a\r\n",
                "HTTP/1.1 503 No\r\nX-Spool-Verdict: n\r\nX-Spool-Why: full\r\n"),
        MESSAGE("X-Spool-Call", "", "HTTP/1.1 503 No\r\n");

        final String idHeader;
        private final String successHeaders;
        private final String rejectionHead;

        Hop(String idHeader, String successHeaders, String rejectionHead) {
            this.idHeader = idHeader;
            this.successHeaders = successHeaders;
            this.rejectionHead = rejectionHead;
        }
    }

    /** A request as received; its body is null where it was never complete. */
    record ReceivedRequest(String id, int connection, String body) {}

    /** What the servers of one hop have received, and the latches by which a test synchronizes with them. */
    static final class Recorder {
        final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
        final List<String> executedIds = new CopyOnWriteArrayList<>();
        /** Requests with the fault {@code hold} whose connection was closed while the stand-in held them. */
        final List<String> abandonedIds = new CopyOnWriteArrayList<>();
        /** The request with the fault has arrived. */
        final CountDownLatch faultReached = new CountDownLatch(1);
        /** The fault may proceed. */
        final CountDownLatch mayProceed = new CountDownLatch(1);
        /** The server that committed the fault has finished with it. */
        final CountDownLatch faultFinished = new CountDownLatch(1);

        private final Map<String, Boolean> seenIds = new ConcurrentHashMap<>();
        private final AtomicInteger connectionCount = new AtomicInteger();

        long executionsOf(String id) {
            return executedIds.stream().filter(id::equals).count();
        }

        /** The connections on which a request arrived, in order. */
        List<Integer> connectionsOf(String id) {
            return requests.stream()
                    .filter(a -> a.id.equals(id))
                    .map(ReceivedRequest::connection)
                    .toList();
        }

        static void await(CountDownLatch latch) {
            try {
                if (!latch.await(SocketTestContext.HANG_TIMEOUT_S, TimeUnit.SECONDS)) {
                    throw new AssertionError("it hangs");
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    private static final int HOLD_POLL_MS = 10;

    private final Hop hop;
    private final Recorder recorder;
    private final ServerSocket socket;
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();

    ServerStandIn(Hop hop, Recorder book) throws IOException {
        this.hop = hop;
        this.recorder = book;
        socket = new ServerSocket();
        // So small that a body of megabytes does not fit into the buffers while it is not read.
        socket.setReceiveBufferSize(1 << 16);
        socket.bind(new InetSocketAddress(SocketTestContext.IP, 0), 50);
        startDaemonThread(() -> {
            while (true) {
                Socket accepted = socket.accept();
                openSockets.add(accepted);
                startDaemonThread(() -> serve(accepted));
            }
        });
    }

    String address() {
        return SocketTestContext.IP + ":" + socket.getLocalPort();
    }

    void close() throws IOException {
        socket.close();
        for (Socket accepted : openSockets) {
            accepted.close();
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemonThread(IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection or the listening socket is closed.
                    }
                },
                "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket client) throws IOException {
        int connection = recorder.connectionCount.incrementAndGet();
        String repeatedResponse = "";
        try (client) {
            while (true) {
                String head = readHead(client.getInputStream());
                String id = headerValue(head, hop.idHeader, "none");
                String path = head.substring(head.indexOf(' ') + 1, head.indexOf(" HTTP"));
                String faultName = path.substring(path.lastIndexOf('/') + 1);
                boolean isFirst = recorder.seenIds.put(id, true) == null;
                String fault = isFirst || hop == Hop.MESSAGE || faultName.endsWith("Always")
                        ? faultName.replace("Always", "")
                        : "ok";
                boolean answersEarly = fault.startsWith("early");
                recorder.requests.add(new ReceivedRequest(
                        id, connection, answersEarly ? null : readBody(client.getInputStream(), head)));
                boolean executes = !fault.endsWith("efused") && !fault.startsWith("frozen");
                if (executes) {
                    recorder.executedIds.add(id);
                }
                if (!fault.equals("ok")) {
                    recorder.faultReached.countDown();
                }
                String response = repeatedResponse
                        + responseFor(fault, id, recorder.requests.get(recorder.requests.size() - 1).body);
                repeatedResponse = fault.equals("stutter") ? response : "";
                if (fault.equals("late") || fault.equals("frozen") || fault.equals("silence")) {
                    Recorder.await(recorder.mayProceed);
                }
                if (fault.equals("hold") && isClosedWhileHeld(client)) {
                    recorder.abandonedIds.add(id);
                    return;
                }
                if (fault.equals("frozen")) {
                    recorder.executedIds.add(id);
                    recorder.faultFinished.countDown();
                }
                if (fault.equals("silence")) {
                    response = "";
                }
                client.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                client.getOutputStream().flush();
                if (fault.equals("longStall")) {
                    if (isClosedWhileHeld(client)) {
                        recorder.abandonedIds.add(id);
                    }
                    return;
                }
                if (fault.equals("resetAfter")) {
                    Recorder.await(recorder.mayProceed);
                }
                if (fault.startsWith("reset")) {
                    client.setSoLinger(true, 0);
                    return;
                }
                if (fault.endsWith("Cut")) {
                    return;
                }
                if (answersEarly) {
                    // Reads on, as a server may that responds before it has the whole request.
                    Recorder.await(recorder.mayProceed);
                    try {
                        String body = readBody(client.getInputStream(), head);
                        recorder.requests.add(new ReceivedRequest(id, connection, body));
                    } finally {
                        recorder.faultFinished.countDown();
                    }
                }
            }
        }
    }

    /** Waits until the test lets the response proceed, or until the connection ends; returns whether it has ended. */
    private boolean isClosedWhileHeld(Socket client) throws IOException {
        client.setSoTimeout(HOLD_POLL_MS);
        try {
            while (recorder.mayProceed.getCount() > 0) {
                try {
                    if (client.getInputStream().read() < 0) {
                        return true;
                    }
                    throw new IOException("bytes behind a request that is not answered yet");
                } catch (SocketTimeoutException e) {
                    // It is still open.
                }
            }
        } catch (SocketException e) {
            return true;
        }
        client.setSoTimeout(0);
        return false;
    }

    /** The bytes of the response, whose body names its request or repeats its message. */
    private String responseFor(String fault, String requestId, String requestBody) {
        String responseBody = hop == Hop.MESSAGE ? requestBody == null ? "{}" : requestBody : "ran " + requestId;
        String ownIdHeader = hop.idHeader + ": " + requestId + "\r\n";
        String success = "HTTP/1.1 200 OK\r\n" + hop.successHeaders + ownIdHeader + "Content-Length: "
                + responseBody.length() + "\r\n\r\n" + responseBody;
        String rejection = hop.rejectionHead + ownIdHeader + "Content-Length: 0\r\n\r\n";
        String otherIdHeader = hop.idHeader + ": other\r\n";
        return switch (fault) {
            case "resetBefore" -> "";
            case "resetIn" -> success.substring(0, success.length() - 2);
            case "twice" -> success + success;
            case "otherId" -> success.replace(ownIdHeader, otherIdHeader);
            case "noId" -> success.replace(ownIdHeader, "");
            case "twoIds" -> success.replace(ownIdHeader, ownIdHeader + otherIdHeader);
            case "refused", "earlyRefused" -> rejection;
            case "otherIdRefusal" -> rejection.replace(ownIdHeader, otherIdHeader);
            case "noIdRefusal" -> rejection.replace(ownIdHeader, "");
            case "other421" -> rejection.replace(" 503 ", " 421 ").replace(ownIdHeader, otherIdHeader);
            case "bare503", "bare429", "bare408" -> success.replace("200 OK", fault.substring(4) + " Own");
            case "unsaid503" -> "HTTP/1.1 503 No\r\n" + ownIdHeader + "Content-Length: 0\r\n\r\n";
            case "garbage", "earlyGarbage" -> "\u0001\u0002 nonsense\r\n\r\n";
            case "twoLengths" -> success.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n");
            case "shortThenLong" -> success.replace("Content-Length", "Content-Length: 3\r\nContent-Length");
            case "lengthAndChunks" ->
                success.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n") + "\r\n0\r\n\r\n";
            case "noLength" -> success.replace("Content-Length", "X-Length");
            case "longCut", "longStall" -> success.replace("Length: ", "Length: 99999") + "x".repeat(200_000);
            case "longChunksCut" ->
                success.substring(0, success.indexOf("Content-Length")) + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"
                        + "x".repeat(200_000) + "\r\n";
            case "interim" -> success.replace("200 OK", "103 Early");
            default -> success;
        };
    }

    static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        for (int lastFourBytes = 0; lastFourBytes != 0x0d0a0d0a; ) {
            int octet = input.read();
            if (octet < 0) {
                throw new EOFException();
            }
            buffer.write(octet);
            lastFourBytes = lastFourBytes << 8 | octet;
        }
        return buffer.toString(StandardCharsets.ISO_8859_1);
    }

    static String headerValue(String head, String name, String defaultValue) {
        int start = head.indexOf("\r\n" + name + ": ");
        return start < 0 ? defaultValue : head.substring(start + name.length() + 4, head.indexOf("\r\n", start + 2));
    }

    /** A body by its length or in chunks; ends with an exception where it breaks off. */
    static String readBody(InputStream input, String head) throws IOException {
        StringBuilder content = new StringBuilder();
        boolean isChunked = head.contains("\r\nTransfer-Encoding: chunked\r\n");
        int size = Integer.parseInt(headerValue(head, "Content-Length", "0"));
        do {
            if (isChunked) {
                StringBuilder line = new StringBuilder();
                for (int octet = input.read(); octet != '\n'; octet = input.read()) {
                    if (octet < 0) {
                        throw new EOFException();
                    }
                    line.append((char) octet);
                }
                size = Integer.parseInt(line.toString().strip(), 16);
            }
            byte[] part = input.readNBytes(size);
            if (part.length < size || isChunked && input.readNBytes(2).length < 2) {
                throw new EOFException();
            }
            content.append(new String(part, StandardCharsets.ISO_8859_1));
        } while (isChunked && size > 0);
        return content.toString();
    }
}
