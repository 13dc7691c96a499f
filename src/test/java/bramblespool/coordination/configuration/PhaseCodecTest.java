package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The texts are those that version 0.4.0 writes. */
class PhaseCodecTest {
    private static JsonNode parse(String json) throws JsonProcessingException {
        return new ObjectMapper().readTree(json);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"phase\":0,\"term\":3,\"round\":1,\"old\":5,\"new\":6,\"stamp\":\"ab\"}",
                "{\"phase\":1,\"term\":3,\"round\":2,\"old\":5,\"new\":6,\"stamp\":\"ab\",\"open\":400,\"doc\":\"x\"}",
                "{\"phase\":2,\"term\":3,\"round\":3,\"old\":5,\"new\":6,\"stamp\":\"ab\"}",
                "{\"phase\":3,\"term\":3,\"round\":4,\"old\":5,\"new\":6,\"stamp\":\"ab\"}",
                "{\"phase\":4,\"term\":3,\"round\":5,\"old\":5,\"new\":6,\"stamp\":\"ab\"}"
            })
    void phaseMessagesKeepTheirForm(String json) throws JsonProcessingException {
        PhaseMessage message = PhaseCodec.decodeMessage(parse(json)).orElseThrow();
        assertEquals(json, PhaseCodec.encodeMessage(message).toString());
    }

    @Test
    void phaseMessageIsReadFieldByField() throws JsonProcessingException {
        String json =
                "{\"phase\":1,\"term\":3,\"round\":2,\"old\":5,\"new\":6,\"stamp\":\"ab\",\"open\":400,\"doc\":\"x\"}";
        PhaseMessage expected = new PhaseMessage(
                CommitPhase.TAG_DISTRIBUTION, 3, 2, 5, 6, "ab", new PhaseMessage.CandidateDocument(400, "x"));
        assertEquals(expected, PhaseCodec.decodeMessage(parse(json)).orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"phase\":5}", "{\"phase\":-1}"})
    void unknownPhaseIsNotDecoded(String json) throws JsonProcessingException {
        assertTrue(PhaseCodec.decodeMessage(parse(json)).isEmpty());
        assertTrue(PhaseCodec.decodeRelayRequest(parse(json)).isEmpty());
    }

    @Test
    void relayRequestKeepsItsForm() throws JsonProcessingException {
        String json = "{\"phase\":2,\"term\":3,\"round\":3,\"old\":5,\"new\":6,\"stamp\":\"ab\","
                + "\"wefts\":[\"n1\",\"n2\"],\"within\":160}";
        PhaseRelayRequest request = PhaseCodec.decodeRelayRequest(parse(json)).orElseThrow();
        assertEquals(List.of("n1", "n2"), request.proxies());
        assertEquals(160, request.timeoutMs());
        assertEquals(json, PhaseCodec.encodeRelayRequest(request).toString());
    }

    @Test
    void relayResultNamesTermOnlyWhereThereIsANewerOne() throws JsonProcessingException {
        for (String json : List.of("{\"ok\":[\"n1\"],\"refused\":[\"n2\"]}", "{\"ok\":[],\"refused\":[],\"term\":8}")) {
            PhaseRelayResult result = PhaseCodec.decodeRelayResult(parse(json));
            assertEquals(json, PhaseCodec.encodeRelayResult(result).toString());
        }
        assertEquals(
                new PhaseRelayResult(List.of(), List.of(), 8),
                PhaseCodec.decodeRelayResult(parse("{\"ok\":[],\"refused\":[],\"term\":8}")));
    }

    @Test
    void acknowledgementsKeepTheirForm() throws JsonProcessingException {
        assertAcknowledgement(new PhaseAcknowledgement.Applied(), "{\"ok\":true}");
        assertAcknowledgement(
                new PhaseAcknowledgement.CandidateRecorded("+1 ~2"), "{\"ok\":true,\"difference\":\"+1 ~2\"}");
        assertAcknowledgement(new PhaseAcknowledgement.NotApplied(""), "{\"ok\":false}");
        assertAcknowledgement(new PhaseAcknowledgement.NotApplied("behind"), "{\"ok\":false,\"why\":\"behind\"}");
        assertAcknowledgement(
                new PhaseAcknowledgement.Rejected("faults"), "{\"ok\":false,\"refused\":true,\"why\":\"faults\"}");
        assertAcknowledgement(new PhaseAcknowledgement.StaleMessage(9), "{\"ok\":false,\"term\":9}");
    }

    private static void assertAcknowledgement(PhaseAcknowledgement acknowledgement, String json)
            throws JsonProcessingException {
        assertEquals(json, PhaseCodec.encodeAcknowledgement(acknowledgement).toString());
        assertEquals(acknowledgement, PhaseCodec.decodeAcknowledgement(parse(json)));
    }

    @Test
    void onlyControllersWithLeaderContactSaySo() {
        assertEquals(
                "{\"touch\":true}", PingCodec.encodeControllerResponse(true).toString());
        assertTrue(PingCodec.decodeLeaderContact(PingCodec.encodeControllerResponse(true)));
        assertEquals(false, PingCodec.decodeLeaderContact(PingCodec.encodeControllerResponse(false)));
        assertEquals(false, PingCodec.decodeLeaderContact(PingCodec.encodeProxyResponse()));
    }
}
