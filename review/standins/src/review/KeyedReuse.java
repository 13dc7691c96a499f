package review;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.tenancy.AdmissionClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * TWICE: keys that are sent again later than keyWindow after their first run, and once more a few seconds after that.
 * Between them one control daemon was killed and restarted, and later another one is killed.
 */
public final class KeyedReuse {
    private static final int TENANTS = 40;
    /** Not longer than the list of troubles has a control daemon dark. */
    private static final long DARK_MS = 3000;
    private static final long FIRST_KILL_MS = 35_000;
    /** The second send: behind the time for which the system says that it keeps a key, a quarter above keyWindow. */
    private static final long REUSE_MS = 78_000;

    private KeyedReuse() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "supplyroom");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", KeyedReuse::holds);
    }

    private static String configuration() {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(i == 0 ? "" : ",").append("[\"dairy").append(i).append("\",[\"key").append(i)
                    .append("abcdef\"],0]");
        }
        return """
                {"epoch":1,"routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal",\
                "rank","shares","maxTries","target"],"rows":[["press-booking","press.example","/book/","keyed",\
                "2000ms","800ms",1,null,2,"proofdesk"],["plate-order","press.example","/plate/","keyed","1200ms",\
                "500ms",0,null,2,"supplyroom"]]},"serviceTable":{"columns":["name","probePath","maxConns","protocol",\
                "tls","warmup","warmPerS"],"rows":[["proofdesk","/health",130,"h1",false,"3s",8.5],["supplyroom",\
                "/health",130,"h1",false,"3s",8.5]]},"principals":{"columns":["name","apiKeys","ratePerS"],"rows":[\
                """ + tenants + """
                ]},"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerRead":"3000ms","idle":"15000ms"},\
                "baseVersion":0}""";
    }

    private static Http.Message order(Mesh mesh, Mesh.Machine machine, int tenant) {
        return mesh.send(machine, "press.example", "PUT", "/plate/order",
                Map.of("X-Operation-Key", "k-" + tenant, "Authorization", "Token key" + tenant + "abcdef"),
                ("plates " + tenant).getBytes(StandardCharsets.UTF_8), 1200);
    }

    /** One order: after a refusal the client tries again, this often at the most. */
    private static int order(Mesh mesh, Mesh.Machine machine, int tenant, int tries) throws InterruptedException {
        int status = order(mesh, machine, tenant).status();
        for (int i = 1; i < tries && status == 503; i++) {
            Thread.sleep(100);
            status = order(mesh, machine, tenant).status();
        }
        return status;
    }

    /** All tenants' orders, a few at a time. */
    private static List<Integer> orderAll(Mesh mesh, Mesh.Machine machine, List<Integer> tenants, int tries)
            throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(6);
        List<Future<Integer>> answers = new ArrayList<>();
        for (int tenant : tenants) {
            answers.add(clients.submit(() -> order(mesh, machine, tenant, tries)));
        }
        List<Integer> statuses = new ArrayList<>();
        for (Future<Integer> answer : answers) {
            statuses.add(answer.get());
        }
        clients.shutdown();
        return statuses;
    }

    /** The two controllers that most tenants have as the first and the second for their keys. */
    private static Mesh.Machine[] firstAndSecond(Mesh mesh) {
        Map<List<Mesh.Machine>, Integer> counts = new HashMap<>();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            String shard = AdmissionClient.shardOf("dairy" + tenant);
            List<Mesh.Machine> order = new ArrayList<>(mesh.controllers);
            order.sort(Comparator.comparingLong(
                    (Mesh.Machine machine) -> -RendezvousHash.weight(shard, machine.ip + ":" + Mesh.PEER_PORT)));
            counts.merge(List.of(order.get(0), order.get(1)), 1, Integer::sum);
        }
        mesh.record.line("first and second controllers by number of tenants: " + counts.values());
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey()
                .toArray(new Mesh.Machine[2]);
    }

    private static boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.servers.get(4).pause();
        mesh.begin(configuration());
        Thread.sleep(1500);
        Mesh.Machine[] control = firstAndSecond(mesh);
        List<Integer> tenants = new ArrayList<>();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            tenants.add(tenant);
        }
        // The service's server has not started: the first tries are refused, and the clients try again elsewhere.
        mesh.record.line("first tries: " + orderAll(mesh, mesh.sidecars.get(0), tenants, 1));
        mesh.servers.get(4).resume();
        Thread.sleep(2500);
        long firstRunMs = mesh.record.nowMs();
        mesh.record.line("second tries: " + orderAll(mesh, mesh.sidecars.get(1), tenants, 2));
        Thread.sleep(firstRunMs + FIRST_KILL_MS - mesh.record.nowMs());
        if (withTrouble) {
            control[1].killAndRestart(DARK_MS);
        }
        Thread.sleep(firstRunMs + REUSE_MS - mesh.record.nowMs());
        mesh.record.line("sent again behind keyWindow: " + orderAll(mesh, mesh.sidecars.get(2), tenants, 2));
        Thread.sleep(1000);
        if (withTrouble) {
            Mesh.daemon(() -> control[0].killAndRestart(DARK_MS));
            Thread.sleep(500);
        }
        mesh.record.line("sent again: " + orderAll(mesh, mesh.sidecars.get(3), tenants, 3));
        Thread.sleep(1000);
        return Twice.count(mesh, Bounds.KEY_WINDOW_MS) == 0;
    }
}
