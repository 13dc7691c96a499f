package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The rules for whole configurations: the faults, word by word and in the order in which they are reported. */
class RoutingConfigurationValidatorTest {
    private static final String SERVICES =
            "{\"epoch\":5,\"serviceTable\":{\"columns\":[\"name\"],\"rows\":[[\"desk\"],[\"desk\"]]},";
    private static final String NO_ROUTES = "\"routeTable\":{\"columns\":[],\"rows\":[]}";

    private static String faults(String document) {
        return assertThrows(InvalidConfigurationException.class, () -> RoutingConfigurationParser.parse(document))
                .getMessage();
    }

    @Test
    void servicesAndRoutesAreUniqueAndTargetsKnown() {
        assertEquals(
                "serviceTable[1].name: stands twice: desk; routeTable[0].shares: a weight is below 0: desk; "
                        + "routeTable[0].target: unknown service: till; routeTable[1].name: stands twice: r; "
                        + "routeTable[1].pathPrefix: same place as another route: X.example:80/p/; "
                        + "routeTable[2].pathPrefix: must begin and end with a slash: q",
                faults(SERVICES + """
                        "routeTable":{"columns":["name","authority","pathPrefix","routeClass","shares","target"],
                        "rows":[
                        ["r","x.example","/p/","keyed",
                        [{"target":"desk","share":-1},{"target":"till","share":2}],null],
                        ["r","X.example:80","/p/","keyed",null,"desk"],
                        ["s","x.example","q","keyed",null,"desk"]]}}"""));
    }

    @Test
    void tenantsAreUniqueAndTheirKeysAreNotNamed() {
        String faults = faults(SERVICES.replace(",[\"desk\"]", "") + NO_ROUTES + """
                ,"principals":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[
                ["one",["secret","secret"],-1,-2],["two",["secret"," "],1,1],["one",[],0,0],["a b",[],0,0]]}}""");
        assertEquals(
                "principals[0].ratePerS: must not be below 0; principals[0].burst: must not be below 0; "
                        + "principals[1].apiKeys: share a key with one; principals[1].apiKeys: hold an empty key; "
                        + "principals[2].name: stands twice: one; "
                        + "principals[3].name: must be of printable letters without spaces",
                faults);
        assertFalse(faults.contains("secret"));
    }

    @Test
    void onlyTwentyFaultsAreListed() {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < 23; i++) {
            rows.append(i == 0 ? "[1]" : ",[1]");
        }
        String faults = faults(
                "{\"epoch\":5,\"serviceTable\":{\"columns\":[\"name\"],\"rows\":[" + rows + "]}," + NO_ROUTES + "}");
        assertTrue(faults.endsWith("serviceTable[19].name: must be a text; and 3 more"), faults);
    }

    @Test
    void amendmentOfUnknownTableOrNamelessItemIsRejected() throws InvalidConfigurationException {
        RoutingConfiguration configuration =
                RoutingConfigurationParser.parse(SERVICES.replace(",[\"desk\"]", "") + NO_ROUTES + "}");
        InvalidConfigurationException invalid = assertThrows(
                InvalidConfigurationException.class, () -> configuration.applyAmendment(StrictJson.parseObject("""
                        {"epoch":6,"upsert":{"other":{},"serviceTable":{"columns":["probePath"],"rows":[["/"]]}},
                        "remove":{"routeTable":"r"}}""")));
        assertEquals(
                "other: no such list; serviceTable: an item has no name; remove.routeTable: must be a list of names",
                invalid.getMessage());
    }
}
