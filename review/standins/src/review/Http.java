package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client over plain sockets: one connection for each call, bodies with a length. */
final class Http {
    /** A message's head and body; a response's status is 0 where the connection ended without one. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        static final Message NONE = new Message("", Map.of(), new byte[0]);

        int status() {
            return startLine.startsWith("HTTP/") ? Integer.parseInt(startLine.split(" ")[1]) : 0;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Sends a request and reads its response; Message.NONE where there is none within the time. */
    static Message call(String ip, int port, String method, String path, Map<String, String> headers, byte[] body,
            int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), Math.min(1000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            write(socket, method + " " + path + " HTTP/1.1", headers, body);
            return read(socket.getInputStream(), method.equals("HEAD"));
        } catch (IOException e) {
            return Message.NONE;
        }
    }

    static void write(Socket socket, String startLine, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            bytes.writeBytes(body);
        }
        socket.getOutputStream().write(bytes.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads a message with a length or in chunks. */
    static Message read(InputStream in, boolean isBodiless) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (!isBodiless && "chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream chunks = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                chunks.writeBytes(readBytes(in, size));
                readLine(in);
            }
            readLine(in);
            body = chunks.toByteArray();
        } else if (!isBodiless && headers.containsKey("content-length")) {
            body = readBytes(in, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(startLine, headers, body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException();
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
