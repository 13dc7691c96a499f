package bramblespool.coordination.register;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets tests of other packages read the registers' messages into records and write them again. */
public final class RegisterRoundTrip {
    private RegisterRoundTrip() {}

    /** A batch of requests. */
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

    /** A request for a page. */
    public static JsonNode pageRequest(JsonNode request) {
        return RegisterCodec.encode(RegisterCodec.decodePageRequest(request));
    }

    /** The answer to a request for a page. */
    public static JsonNode page(JsonNode answer) {
        return RegisterCodec.decodePage(answer).map(RegisterCodec::encode).orElseGet(RegisterCodec::refusal);
    }
}
