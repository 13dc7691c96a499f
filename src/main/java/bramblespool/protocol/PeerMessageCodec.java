package bramblespool.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Translates one kind of message between JSON and records: what a daemon that serves the kind needs. Field names
 * are those of 0.4.0 and stand in the codec only. A field that is missing or of another type is read as 0, "" or false,
 * unless the codec says otherwise: decoding never fails.
 *
 * @param <Q> the request
 * @param <A> the response
 */
public interface PeerMessageCodec<Q, A> {
    /** Reads a request. */
    Q decodeRequest(JsonNode body);

    /** Writes the response. */
    ObjectNode encodeResponse(A response);
}
