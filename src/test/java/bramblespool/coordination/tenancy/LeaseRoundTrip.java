package bramblespool.coordination.tenancy;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets tests of other packages read the leases' messages into records and write them again. */
public final class LeaseRoundTrip {
    private LeaseRoundTrip() {}

    /** A request of this message kind. */
    public static JsonNode request(String kind, JsonNode request) {
        return LeaseCodec.encode(LeaseCodec.decode(kind, request));
    }

    /** A voter's answer. */
    public static JsonNode reply(JsonNode answer) {
        return LeaseCodec.encodeReply(LeaseCodec.decodeReply(answer));
    }
}
