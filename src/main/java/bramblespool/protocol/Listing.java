package bramblespool.protocol;

import bramblespool.state.DocumentReader;
import bramblespool.state.RoutingConfiguration;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One page of the platform's list of servers. */
public record Listing(List<Entry> servers, String next) {
    /** A server as the platform lists it. */
    public record Entry(
            String id, String target, String address, String zone, int capacity, boolean draining, long warmupLeft) {
        /** As our own daemons pass it on. */
        public ObjectNode write() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("id", id)
                    .put("target", target)
                    .put("address", address)
                    .put("capacity", capacity)
                    .put("draining", draining)
                    .put("cold", warmupLeft);
        }

        public static Entry read(JsonNode n) {
            return new Entry(
                    n.path("id").asText(),
                    n.path("target").asText(),
                    n.path("address").asText(),
                    "",
                    n.path("capacity").asInt(),
                    n.path("draining").asBoolean(),
                    n.path("cold").asLong());
        }
    }

    /** Checks a page whole: nothing is taken from one with a fault. */
    public static Listing read(byte[] body) throws RoutingConfiguration.InvalidConfigurationException {
        JsonObject tree = RoutingConfiguration.parseDocument(body);
        List<String> faults = new ArrayList<>();
        List<Entry> out = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        if (tree.get("servers") instanceof JsonObject zones) {
            for (Map.Entry<String, JsonElement> z : zones.entrySet()) {
                if (!z.getValue().isJsonArray()) {
                    faults.add("servers." + z.getKey() + ": must be a list");
                    continue;
                }
                for (JsonElement e : z.getValue().getAsJsonArray()) {
                    entry(z.getKey(), e, out, ids, faults);
                }
            }
        } else {
            faults.add("servers: must be a table of lists");
        }
        String next = new DocumentReader(tree, "", faults).string("nextToken", "");
        if (!faults.isEmpty()) {
            throw new RoutingConfiguration.InvalidConfigurationException(faults);
        }
        return new Listing(out, next.isEmpty() ? null : next);
    }

    private static void entry(String zone, JsonElement e, List<Entry> out, Set<String> ids, List<String> faults) {
        if (!e.isJsonObject()) {
            faults.add("servers." + zone + ": must hold objects");
            return;
        }
        DocumentReader f = new DocumentReader(e.getAsJsonObject(), "servers." + zone + "[" + out.size() + "].", faults);
        String state = f.serverState("state");
        Entry s = new Entry(
                f.string("id"),
                f.string("target"),
                f.address("address", null),
                zone,
                (int) f.wholeNumber("capacity", null),
                "draining".equals(state),
                f.durationMs("warmupLeft", "0ms"));
        if (s.capacity < 1) {
            f.addFault("capacity", "must be at least 1");
        }
        if (s.id != null && !ids.add(s.id)) {
            f.addFault("id", "stands twice: " + s.id);
        }
        out.add(s);
    }
}
