package bramblespool.testing;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP by hand on plain sockets, for tests that decide themselves when a byte or a close is sent. */
public final class RawHttp {
    /** A response; status 0 where the connection ended before it was complete. */
    public record Response(int status, String body) {
        public static final Response NONE = new Response(0, "");
    }

    /** Runs on a thread of its own. */
    public interface Task {
        /** Runs once. */
        void run() throws Exception;
    }

    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    private RawHttp() {}

    /** Runs a task on a daemon thread; its failure ends the thread, as when a socket is closed at a test's end. */
    public static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A socket was closed, or the other side has left.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes bytes as they are. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads a head to its empty line. */
    public static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int octet = input.read();
            if (octet < 0) {
                throw new EOFException();
            }
            head.append((char) octet);
        }
        return head.toString();
    }

    /** The first value of a header. */
    public static String header(String head, String name, String defaultValue) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return defaultValue;
    }

    /** Reads a response whose body has a length; fails with an {@link EOFException} where it breaks off. */
    public static Response readResponse(Socket socket) throws IOException {
        String head = readHead(socket.getInputStream());
        int length = Integer.parseInt(header(head, "Content-Length", "0"));
        byte[] body = socket.getInputStream().readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Response(
                Integer.parseInt(head.substring(STATUS_START, STATUS_END)), new String(body, StandardCharsets.UTF_8));
    }

    /** Sends a call on a connection of its own; {@link Response#NONE} where there is no answer within the time. */
    public static Response call(String ip, int port, String request, int timeoutMs) {
        try (Socket socket = new Socket(ip, port)) {
            socket.setSoTimeout(timeoutMs);
            write(socket, request);
            return readResponse(socket);
        } catch (IOException e) {
            return Response.NONE;
        }
    }
}
