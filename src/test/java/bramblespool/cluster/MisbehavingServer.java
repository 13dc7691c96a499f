package bramblespool.cluster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An application server that misbehaves where the path of a request says so, and keeps what it was sent. It takes
 * requests without bodies, or with bodies of a declared length. Its connections have threads of their own.
 */
final class MisbehavingServer {
    private static final String SUCCESS_STATUS = "HTTP/1.1 200 OK\r\n";

    private final List<String> requests = new CopyOnWriteArrayList<>();

    /** Listens at that address until the process ends. */
    void start(String ip, int port) throws IOException {
        ServerSocket serverSocket = new ServerSocket(port, 50, InetAddress.getByName(ip));
        startThread("stand-in", () -> acceptConnections(serverSocket));
    }

    /** Heads and bodies of the requests so far. */
    List<String> requests() {
        return requests;
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections(ServerSocket serverSocket) {
        while (true) {
            try {
                Socket connection = serverSocket.accept();
                startThread("stand-in connection", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String previousIdHeaders = "";
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                int length = head.contains("Content-Length: ")
                        ? Integer.parseInt(header(head, "Content-Length").strip())
                        : 0;
                String body = new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
                requests.add(head + body);
                String idHeaders = "X-Attempt-Id: " + header(head, "X-Attempt-Id") + "\r\nX-Server-Seal: s\r\n";
                String reply = reply(head, idHeaders, previousIdHeaders);
                previousIdHeaders = head.contains("/stutter") ? idHeaders : "";
                socket.getOutputStream().write(reply.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (closesAfter(head)) {
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            // The connection is over.
        }
    }

    private static String header(String head, String name) {
        return head.split(name + ": ")[1].split("\r\n")[0];
    }

    private static boolean closesAfter(String head) {
        return head.contains("/short")
                || head.contains("/garbage")
                || head.contains("/endless")
                || head.contains("/long");
    }

    /** @param previousIdHeaders those of the request before on this connection, if that was to be answered twice */
    private static String reply(String head, String idHeaders, String previousIdHeaders) {
        String success = SUCCESS_STATUS + idHeaders + "Content-Length: 4\r\n\r\ngood";
        if (head.contains("/short")) {
            return SUCCESS_STATUS + idHeaders + "Content-Length: 900\r\n\r\nhalf";
        }
        if (head.contains("/garbage")) {
            return "\u0001\u0002 nonsense\r\n\r\n";
        }
        if (head.contains("/extra")) {
            return success + SUCCESS_STATUS + "Content-Length: 5\r\n\r\nextra";
        }
        if (head.contains("/other")) {
            return success.replace("Attempt-Id: ", "Attempt-Id: not-");
        }
        if (head.contains("/endless")) {
            return SUCCESS_STATUS + idHeaders + "\r\ngood";
        }
        if (head.contains("/long")) {
            return SUCCESS_STATUS + idHeaders + "Content-Length: 300000\r\n\r\n" + "x".repeat(200000);
        }
        if (head.contains("/shed")) {
            return "HTTP/1.1 503 No\r\n" + idHeaders + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        if (head.contains("/surplus")) {
            return "HTTP/1.1 503 No\r\nX-Attempt-Id: old\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        if (head.contains("/misled")) {
            return "HTTP/1.1 421 No\r\nX-Attempt-Id: old\r\nContent-Length: 0\r\n\r\n";
        }
        if (head.contains("/nameless")) {
            return success.replace("X-Attempt-Id", "X-Other");
        }
        if (!previousIdHeaders.isEmpty() && head.contains("/victim")) {
            return SUCCESS_STATUS + previousIdHeaders + "Content-Length: 4\r\n\r\nlate" + success;
        }
        return success;
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        int octet;
        while ((octet = input.read()) >= 0) {
            buffer.write(octet);
            if (buffer.size() >= 4
                    && buffer.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                break;
            }
        }
        return buffer.toString(StandardCharsets.ISO_8859_1);
    }
}
