package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * DENIED: repeats of keys that were answered with success, at a machine in touch, after the machine that gave the
 * answers was killed later than 2 s after them.
 */
public final class KeyedRepeat {
    private static final int KEYS = 20;
    private static final int ALLOWED = 3;
    static final String CONFIGURATION = """
            {"epoch":1,"routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank",\
            "shares","maxTries","target"],"rows":[["press-booking","press.example","/book/","keyed","2000ms","800ms",1,\
            null,2,"proofdesk"],["proof-view","press.example","/view/","idempotent","1500ms","600ms",2,null,2,\
            "proofdesk"]]},"serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup",\
            "warmPerS"],"rows":[["proofdesk","/health",130,"h1",false,"3s",8.5],["supplyroom","/health",130,"h1",\
            false,"3s",8.5]]},"principals":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["dairy",\
            ["k1dairy0000"],200.0,100.0]]},"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerRead":"3000ms",\
            "idle":"15000ms"},"baseVersion":0}""";

    private record Operation(String key, byte[] body, Http.Message first, long answeredMs) {}

    private KeyedRepeat() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "proofdesk", "supplyroom",
                "supplyroom", "supplyroom");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", KeyedRepeat::holds);
    }

    private static Http.Message book(Mesh mesh, Mesh.Machine machine, String key, byte[] body) {
        return mesh.send(machine, "press.example", "POST", "/book/run",
                Map.of("X-Operation-Key", key, "Authorization", "Token k1dairy0000"), body, 2000);
    }

    private static boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.begin(CONFIGURATION);
        // All machines are in touch once `quiet` has passed since the start.
        Thread.sleep(2 * Bounds.QUIET_MS);
        Mesh.Machine first = mesh.sidecars.get(0);
        Mesh.Machine other = mesh.sidecars.get(1);
        List<Operation> operations = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            String key = "k-" + i;
            byte[] body = ("run slot " + i).getBytes(StandardCharsets.UTF_8);
            Http.Message answer = book(mesh, first, key, body);
            if (answer.status() == 200 && answer.header("X-Server-Seal") != null) {
                operations.add(new Operation(key, body, answer, mesh.record.nowMs()));
            }
        }
        if (operations.size() < KEYS / 2) {
            mesh.record.line("only " + operations.size() + " keys were answered with success");
            throw new IllegalStateException("no operations to repeat");
        }
        // The machine that gave the answers stays in touch for more than 2 s after the last of them.
        Thread.sleep(4000);
        if (withTrouble) {
            first.killAndRestart(1000);
        }
        Thread.sleep(Bounds.QUIET_MS + 3000);
        int denied = 0;
        int wrong = 0;
        for (Operation operation : operations) {
            Http.Message repeat = book(mesh, other, operation.key, operation.body);
            long ageMs = mesh.record.nowMs() - operation.answeredMs;
            if (repeat.status() == 409 && ageMs > 1000 && ageMs < Bounds.KEY_WINDOW_MS) {
                denied++;
            } else if (repeat.status() == 200
                    && !(operation.first.header("X-Server-Seal").equals(repeat.header("X-Server-Seal"))
                            && operation.first.text().equals(repeat.text()))) {
                wrong++;
            }
        }
        int runs = mesh.servers.stream().mapToInt(server -> server.runs().size()).sum();
        mesh.record.line("answered with success: " + operations.size() + ", repeats that got 409: " + denied
                + " (allowed: " + ALLOWED + "), repeats with another answer: " + wrong + ", runs: " + runs);
        return denied <= ALLOWED && wrong == 0;
    }
}
