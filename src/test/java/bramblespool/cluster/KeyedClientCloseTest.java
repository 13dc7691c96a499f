package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A keyed request goes on though its client has left: a repeat of its key gets the answer, and nothing runs twice. */
class KeyedClientCloseTest {
    private static final String REQUEST =
            SingleServerMesh.request("/k/hold", SingleServerMesh.LONG_DEADLINE_MS, "X-Operation-Key: order-1\r\n");

    @TempDir
    Path dir;

    @Test
    void repeatGetsAnswerOfRunWhoseClientHasLeft() throws Exception {
        try (SingleServerMesh mesh = new SingleServerMesh("127.0.0.9", "127.0.0.10", dir)) {
            try (Socket client = mesh.sendHeldRequest(REQUEST)) {
                assertEquals(1, mesh.heldRuns.get());
            }
            mesh.awaitStatus(REQUEST, 409);
            mesh.mayAnswer.countDown();
            mesh.awaitStatus(REQUEST, 200);
            assertEquals(1, mesh.heldRuns.get(), "runs of the operation");
        }
    }
}
