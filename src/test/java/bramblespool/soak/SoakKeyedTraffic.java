package bramblespool.soak;

import bramblespool.testing.RawHttp;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Clients whose requests bear idempotency keys: new ones, and again and again those that they have sent before, at any
 * sidecar. They keep their connections and use them until the process is gone.
 */
final class SoakKeyedTraffic extends SoakClients<SoakKeyedTraffic.Request> {
    /**
     * A request as its client saw it.
     *
     * @param status 0 where there was no answer
     * @param body of the answer: the id of the run
     */
    record Request(String key, int sidecar, int status, String body, long startedNs, long endedNs) {}

    private static final int CLIENTS = 6;
    private static final double NEW_KEY_SHARE = 0.3;
    private static final int MAX_PAUSE_MS = 60;

    private final List<String> keys = new ArrayList<>();

    SoakKeyedTraffic(SoakMesh mesh) {
        super(mesh, CLIENTS);
    }

    @Override
    void run(Random random) {
        Map<Integer, Socket> connections = new HashMap<>();
        while (!isOver()) {
            int sidecar = random.nextInt(SoakMesh.SIDECARS);
            if (mesh.sidecars.get(sidecar).isRunning()) {
                requests().add(send(drawKey(random), sidecar, connections));
            }
            pause(random.nextInt(MAX_PAUSE_MS));
        }
        connections.values().forEach(SoakKeyedTraffic::close);
    }

    private static void pause(long durationMs) {
        try {
            TimeUnit.MILLISECONDS.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String drawKey(Random random) {
        synchronized (keys) {
            if (keys.isEmpty() || random.nextDouble() < NEW_KEY_SHARE) {
                keys.add("key-" + keys.size());
                return keys.get(keys.size() - 1);
            }
            return keys.get(random.nextInt(keys.size()));
        }
    }

    private Request send(String key, int sidecar, Map<Integer, Socket> connections) {
        long startedNs = System.nanoTime();
        int status = 0;
        String body = "";
        try {
            Socket connection = connections.get(sidecar);
            if (connection == null) {
                connection = new Socket(mesh.sidecars.get(sidecar).ip, SoakMesh.OUTBOUND_PORT);
                connection.setSoTimeout(PATIENCE_MS);
                connections.put(sidecar, connection);
            }
            RawHttp.write(
                    connection,
                    "POST /k/" + key + " HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: k" + nextId()
                            + "\r\nX-Operation-Key: " + key + "\r\nX-Deadline-Ms: " + DEADLINE_MS
                            + "\r\nContent-Length: 4\r\n\r\nbody");
            RawHttp.Response response = RawHttp.readResponse(connection);
            status = response.status();
            body = response.body();
        } catch (IOException e) {
            close(connections.remove(sidecar));
        }
        return new Request(key, sidecar, status, body, startedNs, System.nanoTime());
    }

    private static void close(Socket connection) {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // It is gone.
            }
        }
    }
}
