package bramblespool.raft;

import com.fasterxml.jackson.databind.JsonNode;

/** Lets tests of other packages read and write again the messages of the consensus group. */
public final class RaftRoundTrip {
    private RaftRoundTrip() {}

    public static JsonNode request(String kind, JsonNode request) {
        return RaftMessageCodec.encode(RaftMessageCodec.decodeRequest(kind, request));
    }

    public static JsonNode response(JsonNode response) {
        return RaftMessageCodec.encode(RaftMessageCodec.decodeResponse(response));
    }
}
