package bramblespool.coordination.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The texts are those that version 0.4.0 writes. */
class UsageCodecTest {
    private static JsonNode parse(String json) throws JsonProcessingException {
        return new ObjectMapper().readTree(json);
    }

    @Test
    void updateKeepsItsForm() throws JsonProcessingException {
        String json = "{\"life\":\"p 1f\",\"through\":41,\"change\":9,\"windows\":{\"40\":{\"acme\":3},\"41\":{}}}";
        UsageUpdate update = UsageCodec.decodeUpdate(parse(json));
        assertEquals(new UsageUpdate("p 1f", 41, 9, Map.of(40L, Map.of("acme", 3), 41L, Map.of())), update);
        assertEquals(json, UsageCodec.encodeUpdate(update).toString());
    }

    @Test
    void receiptIsPartOfTheAnswerToARenewal() {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        assertTrue(UsageCodec.readReceipt(response).isEmpty());
        UsageCodec.writeReceipt(response, new UsageReceipt(9, 1234));
        assertEquals("{\"change\":9,\"time\":1234}", response.toString());
        assertEquals(Optional.of(new UsageReceipt(9, 1234)), UsageCodec.readReceipt(response));
    }

    @Test
    void usageOfAWindowKeepsItsForm() throws JsonProcessingException {
        String json = "{\"w1 p\":{\"node\":\"w1\",\"through\":41,\"counts\":{\"acme\":3}},"
                + "\"w2 q\":{\"node\":\"w2\",\"through\":40}}";
        Map<String, ProcessUsage> usage = UsageCodec.decodeUsage(parse(json));
        assertEquals(new ProcessUsage("w1", 41, Optional.of(Map.of("acme", 3))), usage.get("w1 p"));
        assertEquals(new ProcessUsage("w2", 40, Optional.empty()), usage.get("w2 q"));
        assertEquals(json, UsageCodec.encodeUsage(usage).toString());
        assertEquals("{\"window\":40}", UsageCodec.encodeQuery(40).toString());
        assertEquals(40, UsageCodec.decodeQuery(UsageCodec.encodeQuery(40)));
    }

    @Test
    void reportListsTenantsInOrder() {
        WindowReport report = new WindowReport(40, new TreeMap<>(Map.of("zeta", 1, "acme", 3)));
        assertEquals("{\"windowNo\":40,\"tallies\":{\"acme\":3,\"zeta\":1}}", UsageCodec.encodeReport(report));
        assertEquals("{\"window\":40}", UsageCodec.encodeReportedWindow(40).toString());
        assertEquals(40, UsageCodec.decodeReportedWindow(UsageCodec.encodeReportedWindow(40)));
    }

    @Test
    void raiseRequestKeepsItsForm() throws JsonProcessingException {
        String json = "{\"key\":\"usage\",\"fence\":17,\"term\":4}";
        FencingTokenCodec.RaiseRequest request = FencingTokenCodec.decodeRequest(parse(json));
        assertEquals(new FencingTokenCodec.RaiseRequest(SingletonRoleKeys.USAGE, 17, 4), request);
        assertEquals(json, FencingTokenCodec.encodeRequest(request).toString());
        assertEquals("{\"term\":5}", FencingTokenCodec.encodeResponse(5).toString());
    }
}
