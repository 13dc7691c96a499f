package bramblespool.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.RawHttp;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar under SIGTERM answers whatever it has read, on real sockets: one controller, one sidecar, one server. */
class GracefulShutdownTest {
    /** Time that the process has; short, for the tests wait until it is over. */
    private static final long GRACE_MS = 3000;

    @TempDir
    Path dir;

    private SingleServerMesh mesh;

    @BeforeEach
    void start() throws Exception {
        mesh = new SingleServerMesh("127.0.0.7", "127.0.0.8", dir);
    }

    @AfterEach
    void close() throws IOException {
        mesh.close();
    }

    private Socket sendHeldRequest() throws Exception {
        return mesh.sendHeldRequest(SingleServerMesh.request("/x/hold", SingleServerMesh.LONG_DEADLINE_MS));
    }

    /** Waits until the stopping sidecar takes no new connections. */
    private void awaitListenersClosed() throws IOException {
        while (true) {
            try (Socket refused = mesh.connectAsClient()) {
                assertFalse(refused.isClosed());
            } catch (ConnectException e) {
                return;
            }
        }
    }

    @Test
    void runningRequestIsWaitedFor() throws Exception {
        try (Socket client = sendHeldRequest()) {
            CompletableFuture<Void> stopped = mesh.stopSidecar(GRACE_MS);
            mesh.mayAnswer.countDown();
            assertEquals(200, SingleServerMesh.readStatus(client));
            stopped.get(SingleServerMesh.HANG_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    void requestThatOutlastsTheShutdownIsAnswered() throws Exception {
        try (Socket client = sendHeldRequest()) {
            mesh.stopSidecar(1000).get(SingleServerMesh.HANG_TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(client.getInputStream().available() > 0, "the process would have ended without an answer");
            assertEquals(502, SingleServerMesh.readStatus(client), "it may have run, so it is no promise");
        }
    }

    @Test
    void requestThatCannotEndInTimeIsRefusedOnKeptConnection() throws Exception {
        try (Socket kept = mesh.connectAsClient();
                Socket client = sendHeldRequest()) {
            CompletableFuture<Void> stopped = mesh.stopSidecar(GRACE_MS);
            awaitListenersClosed();
            RawHttp.write(kept, SingleServerMesh.request("/x/late", SingleServerMesh.LONG_DEADLINE_MS));
            int status = SingleServerMesh.readStatus(kept);
            mesh.mayAnswer.countDown();
            assertEquals(200, SingleServerMesh.readStatus(client));
            assertEquals(503, status);
            stopped.get(SingleServerMesh.HANG_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
