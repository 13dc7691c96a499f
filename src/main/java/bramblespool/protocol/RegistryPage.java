package bramblespool.protocol;

import bramblespool.state.DocumentReader;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.StrictJson;
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

/**
 * One page of the platform's server list. Source: PROTOCOL-bramblespool.md, "Which servers there are".
 *
 * @param nextToken the token of the next page; null on the last one
 */
public record RegistryPage(List<RegisteredServer> servers, String nextToken) {
    /**
     * A server as listed.
     *
     * @param target its service
     * @param capacity requests that it runs at the same time, at least 1
     * @param warmupLeftMs remaining slow start when the page was read
     */
    public record RegisteredServer(
            String id,
            String target,
            String address,
            String zone,
            int capacity,
            boolean isDraining,
            long warmupLeftMs) {
        /** The server as sent in the peer message {@code assign}; without its zone. */
        public ObjectNode toJson() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("id", id)
                    .put("target", target)
                    .put("address", address)
                    .put("capacity", capacity)
                    .put("draining", isDraining)
                    .put("cold", warmupLeftMs);
        }

        /** Reads what {@link #toJson} wrote; the zone is empty. */
        public static RegisteredServer fromJson(JsonNode json) {
            return new RegisteredServer(
                    json.path("id").asText(),
                    json.path("target").asText(),
                    json.path("address").asText(),
                    "",
                    json.path("capacity").asInt(),
                    json.path("draining").asBoolean(),
                    json.path("cold").asLong());
        }
    }

    /**
     * Parses a page.
     *
     * @throws InvalidConfigurationException with all faults of the page; nothing is taken from a page with a fault
     */
    public static RegistryPage parse(byte[] body) throws InvalidConfigurationException {
        JsonObject tree = StrictJson.parseObject(body);
        List<String> faults = new ArrayList<>();
        List<RegisteredServer> servers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        if (tree.get("servers") instanceof JsonObject zones) {
            for (Map.Entry<String, JsonElement> zoneEntry : zones.entrySet()) {
                if (!zoneEntry.getValue().isJsonArray()) {
                    faults.add("servers." + zoneEntry.getKey() + ": must be a list");
                    continue;
                }
                for (JsonElement element : zoneEntry.getValue().getAsJsonArray()) {
                    addServer(zoneEntry.getKey(), element, servers, ids, faults);
                }
            }
        } else {
            faults.add("servers: must be a table of lists");
        }
        String nextToken = new DocumentReader(tree, "", faults).string("nextToken", "");
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return new RegistryPage(servers, nextToken.isEmpty() ? null : nextToken);
    }

    private static void addServer(
            String zone, JsonElement element, List<RegisteredServer> servers, Set<String> ids, List<String> faults) {
        if (!element.isJsonObject()) {
            faults.add("servers." + zone + ": must hold objects");
            return;
        }
        DocumentReader fields =
                new DocumentReader(element.getAsJsonObject(), "servers." + zone + "[" + servers.size() + "].", faults);
        String state = fields.serverState("state");
        RegisteredServer server = new RegisteredServer(
                fields.string("id"),
                fields.string("target"),
                fields.address("address", null),
                zone,
                (int) fields.wholeNumber("capacity", null),
                "draining".equals(state),
                fields.durationMs("warmupLeft", "0ms"));
        if (server.capacity < 1) {
            fields.addFault("capacity", "must be at least 1");
        }
        if (server.id != null && !ids.add(server.id)) {
            fields.addFault("id", "stands twice: " + server.id);
        }
        servers.add(server);
    }
}
