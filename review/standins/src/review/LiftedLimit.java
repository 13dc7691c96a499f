package review;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * CONFIG: a change lifts a tenant's limit and adds a route. The requests on the added route are served far less often
 * than those on the first routes.
 */
public final class LiftedLimit {
    private static final String TENANT = "[\"dairy\",[\"k1dairy0000\"],200.0,100.0]";
    private static final String TENANT_WITHOUT_LIMIT = "[\"dairy\",[\"k1dairy0000\"],0,0]";
    private static final String LAST_ROUTE = "[\"proof-view\",";
    private static final String ADDED_ROUTE = "[\"ink-reorder\",\"press.example\",\"/ink/\",\"keyed\",\"1500ms\","
            + "\"600ms\",2,null,2,\"proofdesk\"],";
    private static final int REQUESTS = 30;

    private static final int FURTHER_TRIES = 18;

    private int keys;

    private LiftedLimit() {}

    public static void main(String[] args) throws Exception {
        List<String> services = List.of("proofdesk", "proofdesk", "proofdesk", "proofdesk", "supplyroom", "supplyroom");
        Mesh.runCase(args, 3, services, Bounds.SHARED, "", new LiftedLimit()::holds);
    }

    private static boolean view(Mesh mesh, int client) {
        return mesh.send(mesh.sidecars.get(client % mesh.sidecars.size()), "press.example", "GET", "/view/proof",
                Map.of("Authorization", "Token k1dairy0000"), null, 1500).status() == 200;
    }

    private boolean order(Mesh mesh, int client, String path) {
        String key = "k-" + ++keys;
        return mesh.send(mesh.sidecars.get(client % mesh.sidecars.size()), "press.example", "POST", path,
                Map.of("X-Operation-Key", key, "Authorization", "Token k1dairy0000"),
                ("order " + key).getBytes(StandardCharsets.UTF_8), 1500).status() == 200;
    }

    private boolean holds(Mesh mesh, boolean withTrouble) throws Exception {
        mesh.begin(KeyedRepeat.CONFIGURATION);
        Thread.sleep(2 * Bounds.QUIET_MS);
        int before = 0;
        for (int i = 0; i < REQUESTS; i++) {
            before += view(mesh, i) && order(mesh, i, "/book/run") ? 1 : 0;
        }
        if (withTrouble) {
            String changed = KeyedRepeat.CONFIGURATION.replace(TENANT, TENANT_WITHOUT_LIMIT)
                    .replace(LAST_ROUTE, ADDED_ROUTE + LAST_ROUTE)
                    .replace("\"epoch\":1", "\"epoch\":2")
                    .replace("\"baseVersion\":0", "\"baseVersion\":1");
            if (mesh.order("/bramblespool/config/replace", changed) != 200) {
                throw new IllegalStateException("the change was not acknowledged");
            }
        }
        // The change is long in force, and nothing else happens.
        Thread.sleep(3 * Bounds.QUIET_MS);
        int first = 0;
        int added = 0;
        int booked = 0;
        for (int i = 0; i < REQUESTS; i++) {
            first += view(mesh, i) ? 1 : 0;
            booked += order(mesh, i, "/book/run") ? 1 : 0;
            added += withTrouble && order(mesh, i, "/ink/drum") ? 1 : 0;
        }
        // One more order, with one key, as often as a patient client sends it again.
        int tries = 0;
        boolean isAnswered = false;
        for (; tries < FURTHER_TRIES && !isAnswered; tries++) {
            keys = 1000;
            isAnswered = order(mesh, tries, "/book/run");
            Thread.sleep(200);
        }
        mesh.record.line("an order that is sent again: " + (isAnswered ? "served at try " + tries
                : "not served in " + tries + " tries"));
        mesh.record.line("served of " + REQUESTS + " each: before the change " + before + " on the first routes; then "
                + first + " and " + booked + " on the first routes, " + (withTrouble ? added : "none sent")
                + " on the added one");
        if (before < REQUESTS * 3 / 4) {
            throw new IllegalStateException("the first routes were not served before the change");
        }
        double firstShare = (first + booked) / (2.0 * REQUESTS);
        return !withTrouble || (double) added / REQUESTS >= firstShare / 4;
    }
}
