package bramblespool.coordination.singleton;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Lets tests of other packages read and write again the messages about usage and fencing tokens. */
public final class UsageRoundTrip {
    private UsageRoundTrip() {}

    public static JsonNode update(JsonNode update) {
        return UsageCodec.encodeUpdate(UsageCodec.decodeUpdate(update));
    }

    /** The answer to a session's renewal with its receipt, if there is one, read and written again. */
    public static JsonNode receipt(JsonNode answer) {
        ObjectNode again = answer.deepCopy();
        UsageCodec.readReceipt(answer).ifPresent(receipt -> UsageCodec.writeReceipt(again, receipt));
        return again;
    }

    public static JsonNode query(JsonNode request) {
        return UsageCodec.encodeQuery(UsageCodec.decodeQuery(request));
    }

    public static JsonNode usage(JsonNode answer) {
        return UsageCodec.encodeUsage(UsageCodec.decodeUsage(answer));
    }

    public static JsonNode raiseRequest(JsonNode request) {
        return FencingTokenCodec.encodeRequest(FencingTokenCodec.decodeRequest(request));
    }
}
