package bramblespool.coordination.register;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets tests of other packages read the registers' messages into records and write them again. */
public final class RegisterRoundTrip {
    private RegisterRoundTrip() {}

    public static JsonNode batch(JsonNode request) {
        return RegisterCodec.encode(RegisterCodec.decodeBatch(request));
    }

    /** The answer to a batch, whose form depends on the requests in it. */
    public static JsonNode replies(JsonNode request, JsonNode answer) {
        return answer.isEmpty()
                ? RegisterCodec.refusal()
                : RegisterCodec.encodeReplies(
                        RegisterCodec.decodeBatch(request).requests(), RegisterCodec.decodeReplies(answer));
    }

    public static JsonNode pageRequest(JsonNode request) {
        return RegisterCodec.encode(RegisterCodec.decodePageRequest(request));
    }

    public static JsonNode page(JsonNode answer) {
        return RegisterCodec.decodePage(answer).map(RegisterCodec::encode).orElseGet(RegisterCodec::refusal);
    }
}
