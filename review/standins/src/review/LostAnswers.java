package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DENIED: servers lose the answers of some requests that they ran; the clients try again with the same key, later than
 * the run has ended, and get 409 although the key is not at work.
 */
public final class LostAnswers {
    /** The site's list of troubles: answer_lost, how = "reset", share = 0.5, x = 0.05, for_s = 4.0. */
    private static final long TROUBLE_MS = 4000;

    private static final int LOSE_EVERY = 20;
    private static final int CLIENTS = 12;
    private static final int FURTHER_TRIES = 2;

    private LostAnswers() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "proofdesk", "proofdesk");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", LostAnswers::holds);
    }

    private static Http.Message book(Mesh mesh, int client, String key, byte[] body) {
        return mesh.send(mesh.sidecars.get(client % mesh.sidecars.size()), "press.example", "POST", "/book/run",
                Map.of("X-Operation-Key", key, "Authorization", "Token k1dairy0000"), body, 2000);
    }

    private static boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.begin(KeyedRepeat.CONFIGURATION.replace("200.0,100.0", "2000.0,1000.0"));
        Thread.sleep(2 * Bounds.QUIET_MS);
        AtomicInteger requests = new AtomicInteger();
        List<String> denied = new ArrayList<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        if (withTrouble) {
            for (int i = 0; i < mesh.servers.size() / 2; i++) {
                mesh.servers.get(i).loseEvery = LOSE_EVERY;
            }
        }
        long endMs = mesh.record.nowMs() + TROUBLE_MS;
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.submit(() -> {
                for (int i = 0; mesh.record.nowMs() < endMs; i++) {
                    String key = "k-" + client + "-" + i;
                    byte[] body = ("run slot " + key).getBytes(StandardCharsets.UTF_8);
                    Http.Message answer = book(mesh, client, key, body);
                    requests.incrementAndGet();
                    for (int further = 0; further < FURTHER_TRIES && answer.status() != 200; further++) {
                        // The client pauses; by then the server has long ended the run.
                        Thread.sleep(200);
                        answer = book(mesh, client, key, body);
                        requests.incrementAndGet();
                        if (answer.status() == 409 && !isAtWork(mesh, key)) {
                            synchronized (denied) {
                                denied.add(key);
                            }
                        }
                    }
                }
                return null;
            });
        }
        clients.shutdown();
        clients.awaitTermination(30, TimeUnit.SECONDS);
        for (AppServer server : mesh.servers) {
            server.loseEvery = 0;
        }
        double allowed = 5 + requests.get() / 500.0;
        mesh.record.line("requests: " + requests + ", 409 for keys that were not at work: " + denied.size()
                + " (allowed: " + allowed + ")");
        return denied.size() <= allowed;
    }

    private static boolean isAtWork(Mesh mesh, String key) {
        return mesh.servers.stream().anyMatch(server -> server.isAtWork(key));
    }
}
