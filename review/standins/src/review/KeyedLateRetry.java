package review;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * TWICE: keys whose first try was refused, because the service's servers were down, run when they are sent again at the
 * same machine, and run once more when they are sent again at another one, inside keyWindow.
 */
public final class KeyedLateRetry {
    private static final int KEYS = 20;
    /** As long as servers are down at the most, by the site's list of troubles ({@code cold_return}). */
    private static final long DOWN_MS = 4500;
    private static final long SECOND_MS = 30_000;
    private static final long THIRD_MS = 79_000;

    private KeyedLateRetry() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "supplyroom");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", KeyedLateRetry::holds);
    }

    private static final String CONFIGURATION = """
            {"epoch":1,"routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank",\
            "shares","maxTries","target"],"rows":[["press-booking","press.example","/book/","keyed","2000ms","800ms",1,\
            null,2,"proofdesk"],["plate-order","press.example","/plate/","keyed","1200ms","500ms",0,null,2,\
            "supplyroom"]]},"serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup",\
            "warmPerS"],"rows":[["proofdesk","/health",130,"h1",false,"3s",8.5],["supplyroom","/health",130,"h1",\
            false,"3s",8.5]]},"principals":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["dairy",\
            ["k1dairy0000"],200.0,100.0]]},"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerRead":"3000ms",\
            "idle":"15000ms"},"baseVersion":0}""";

    private static int[] orderAll(Mesh mesh, Mesh.Machine machine) throws InterruptedException {
        int[] statuses = new int[KEYS];
        for (int i = 0; i < KEYS; i++) {
            statuses[i] = mesh.send(machine, "press.example", "PUT", "/plate/order",
                    Map.of("X-Operation-Key", "k-" + i, "Authorization", "Token k1dairy0000"),
                    ("plates " + i).getBytes(StandardCharsets.UTF_8), 1200).status();
            // A server that is still cold gets no more than it bears.
            Thread.sleep(150);
        }
        return statuses;
    }

    private static String counts(int[] statuses) {
        Map<Integer, Integer> counts = new HashMap<>();
        for (int status : statuses) {
            counts.merge(status, 1, Integer::sum);
        }
        return counts.toString();
    }

    /** All servers of a zone are down for a while and come back together as new servers. */
    private static void takeZoneDown(Mesh mesh, String zone) throws Exception {
        for (int i = 0; i < mesh.servers.size(); i++) {
            AppServer server = mesh.servers.get(i);
            if (server.machine.zone.equals(zone)) {
                int number = i;
                mesh.record.line("server down: " + server.id + " of " + server.service);
                server.close();
                Mesh.daemon(() -> {
                    Thread.sleep(DOWN_MS);
                    mesh.servers.set(number, new AppServer(mesh, server.machine, server.service, server.id + "b"));
                    mesh.record.line("server back: " + server.id + "b of " + server.service);
                });
            }
        }
    }

    private static boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.begin(CONFIGURATION);
        Thread.sleep(2 * Bounds.QUIET_MS);
        if (withTrouble) {
            takeZoneDown(mesh, mesh.sidecars.get(4).zone);
        }
        Thread.sleep(200);
        long firstMs = mesh.record.nowMs();
        mesh.record.line("first: " + counts(orderAll(mesh, mesh.sidecars.get(0))));
        Thread.sleep(firstMs + SECOND_MS - mesh.record.nowMs());
        mesh.record.line("again, at the same machine: " + counts(orderAll(mesh, mesh.sidecars.get(0))));
        Thread.sleep(firstMs + THIRD_MS - mesh.record.nowMs());
        mesh.record.line("again, at another machine: " + counts(orderAll(mesh, mesh.sidecars.get(1))));
        return Twice.count(mesh, Bounds.KEY_WINDOW_MS) == 0;
    }
}
