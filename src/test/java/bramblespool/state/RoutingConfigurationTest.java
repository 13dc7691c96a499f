package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.SimulatedMesh;
import com.google.gson.JsonObject;
import org.junit.jupiter.api.Test;

/** Looking routes up, and amending a configuration. */
class RoutingConfigurationTest {
    private static final String VALID_DOCUMENT = SimulatedMesh.document(5, 0, "p");

    @Test
    void longestPrefixOfExactPathWins() throws InvalidConfigurationException {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        RoutingConfiguration configuration = RoutingConfigurationParser.parse(VALID_DOCUMENT.replace(
                row, row + "," + row.replace("\"r\"", "\"q\"").replace("/p/", "/p/%2f/")));
        assertEquals("q", configuration.route("X.example:80", "/p/%2f/1").name());
        assertEquals("r", configuration.route("x.example", "/p/%2F/1").name());
        assertNull(configuration.route("x.example", "/p"));
        assertNull(configuration.route("y.example", "/p/1"));
    }

    @Test
    void amendmentKeepsUnmentionedFields() throws InvalidConfigurationException {
        RoutingConfiguration configuration =
                RoutingConfigurationParser.parse(VALID_DOCUMENT.replace("\"limits\"", "\"ours\":{\"x\":1},\"limits\""));
        JsonObject change = StrictJson.parseObject("""
                {"epoch":7,"baseVersion":5,"upsert":{"routeTable":{"columns":["name","authority","pathPrefix",
                "routeClass","deadline","goal","rank","target"],
                "rows":[["n","x.example","/n/","mutating","1s","1s",0,"desk"]]}},
                "remove":{"routeTable":["r"]}}""");
        RoutingConfiguration amended = RoutingConfigurationParser.parse(
                configuration.applyAmendment(change).toString());
        assertEquals(7, amended.epoch());
        assertNull(amended.route("x.example", "/p/1"));
        assertEquals("n", amended.route("x.example", "/n/1").name());
        assertTrue(
                CompressedDocument.decompress(amended.compressedDocument()).contains("\"ours\":{\"x\":1}"),
                "unknown fields are kept");
        assertNotEquals(configuration.difference(null), amended.difference(configuration));
        assertTrue(amended.difference(configuration).startsWith("+1 ~0 -1 "));
    }

    @Test
    void tenantIsFoundByItsKeyAndItsPriorityCountsBeforeTheRoutes() throws InvalidConfigurationException {
        RoutingConfiguration open = RoutingConfigurationParser.parse(VALID_DOCUMENT);
        assertFalse(open.requiresTenantKey());
        assertNull(open.tenantOfKey("k1"));
        RoutingConfiguration configuration =
                RoutingConfigurationParser.parse(VALID_DOCUMENT.replace("\"limits\"", """
                "principals":{"columns":["name","apiKeys","rank"],
                "rows":[["one",["k1"],9],["two",["k2"],null]]},"limits\""""));
        assertTrue(configuration.requiresTenantKey());
        assertEquals("one", configuration.tenantOfKey("k1").name());
        assertNull(configuration.tenantOfKey("k3"));
        Route route = configuration.route("x.example", "/p/1");
        assertEquals(9, configuration.priority(route, "one"));
        assertEquals(route.priority(), configuration.priority(route, "two"));
        assertEquals(route.priority(), configuration.priority(route, null));
    }
}
