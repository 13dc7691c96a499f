package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;

/**
 * DENIED: keyed requests with long bodies that are sent again with the same key after a good answer. The bytes are the
 * same each time; those of the repeats arrive more slowly.
 */
public final class LargeBody {
    private static final int KEYS = 30;
    private static final int REPEATS = 2;
    /** Inside the limit bodyBytes of the configuration. */
    private static final int BODY_BYTES = 200_000;
    /** The repeats' bodies arrive in pieces of this size, at this interval: some 0.5 s for the whole. */
    private static final int PIECE_BYTES = 1400;

    private static final int PIECE_INTERVAL_MS = 3;

    private LargeBody() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "supplyroom", "supplyroom");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", LargeBody::holds);
    }

    private static Http.Message book(Mesh mesh, int client, int number, String attempt, int pieceBytes) {
        Mesh.Machine machine = mesh.sidecars.get(client % mesh.sidecars.size());
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) ('a' + number % 26));
        String head = "POST /book/artwork HTTP/1.1\r\nHost: press.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 2000\r\nX-Operation-Key: k-" + number
                + "\r\nAuthorization: Token k1dairy0000\r\nContent-Length: " + body.length + "\r\n\r\n";
        mesh.record.line("send to=" + machine.node + " attempt=" + attempt + " key=k-" + number + " pieces of "
                + pieceBytes);
        Http.Message answer;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(machine.ip), Mesh.OUTBOUND_PORT), 1000);
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(head.getBytes());
            for (int sent = 0; sent < body.length; sent += pieceBytes) {
                socket.getOutputStream().write(body, sent, Math.min(pieceBytes, body.length - sent));
                if (pieceBytes < body.length) {
                    Thread.sleep(PIECE_INTERVAL_MS);
                }
            }
            answer = Http.read(socket.getInputStream(), false);
        } catch (IOException | InterruptedException e) {
            answer = Http.Message.NONE;
        }
        mesh.record.line("answer attempt=" + attempt + " status=" + answer.status() + " stamp="
                + answer.header("X-Server-Seal") + " " + (answer.status() == 200 ? "" : answer.text().trim()));
        return answer;
    }

    private static boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.begin(KeyedRepeat.CONFIGURATION);
        Thread.sleep(2 * Bounds.QUIET_MS);
        int requests = 0;
        int answered = 0;
        int denied = 0;
        int wrong = 0;
        for (int i = 0; i < KEYS; i++) {
            Http.Message first = book(mesh, i, i, "f" + i + "0", BODY_BYTES);
            requests++;
            if (first.status() != 200) {
                continue;
            }
            answered++;
            // Without the disruption no client sends again after a good answer.
            for (int repeat = 0; withTrouble && repeat < REPEATS; repeat++) {
                Http.Message again = book(mesh, i + repeat, i, "r" + i + repeat, PIECE_BYTES);
                requests++;
                if (again.status() >= 300 && again.status() < 500 && again.status() != 409 && again.status() != 429) {
                    denied++;
                } else if (again.status() == 200 && !first.header("X-Server-Seal").equals(again.header("X-Server-Seal"))) {
                    wrong++;
                }
            }
        }
        double allowed = 5 + requests / 500.0;
        mesh.record.line("requests: " + requests + ", first tries answered with success: " + answered
                + ", repeats that got a 4xx: " + denied + " (allowed: " + allowed + "), repeats with another answer: "
                + wrong);
        if (answered < KEYS / 2) {
            throw new IllegalStateException("no operations to repeat");
        }
        return denied <= allowed && wrong == 0;
    }
}
