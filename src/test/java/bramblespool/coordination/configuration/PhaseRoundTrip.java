package bramblespool.coordination.configuration;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets tests of other packages read and write again the messages of a commit. */
public final class PhaseRoundTrip {
    private PhaseRoundTrip() {}

    public static JsonNode message(JsonNode message) {
        return PhaseCodec.encodeMessage(PhaseCodec.decodeMessage(message).orElseThrow());
    }

    public static JsonNode acknowledgement(JsonNode answer) {
        return PhaseCodec.encodeAcknowledgement(PhaseCodec.decodeAcknowledgement(answer));
    }

    public static JsonNode relayRequest(JsonNode request) {
        return PhaseCodec.encodeRelayRequest(
                PhaseCodec.decodeRelayRequest(request).orElseThrow());
    }

    public static JsonNode relayResult(JsonNode answer) {
        return PhaseCodec.encodeRelayResult(PhaseCodec.decodeRelayResult(answer));
    }

    public static JsonNode pingOfController(JsonNode answer) {
        return PingCodec.encodeControllerResponse(PingCodec.decodeLeaderContact(answer));
    }
}
