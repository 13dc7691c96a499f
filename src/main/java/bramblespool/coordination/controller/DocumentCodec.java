package bramblespool.coordination.controller;

import bramblespool.protocol.PeerMessageCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON of the request for a version's document; the response is the compressed document. */
final class DocumentCodec implements PeerMessageCodec<DocumentRequest, String> {
    static final DocumentCodec INSTANCE = new DocumentCodec();

    private static final String EPOCH = "epoch";
    private static final String STAMP = "stamp";
    private static final String DOCUMENT = "doc";

    private DocumentCodec() {}

    @Override
    public DocumentRequest decodeRequest(JsonNode body) {
        return new DocumentRequest(body.path(EPOCH).asLong(), body.path(STAMP).asText());
    }

    @Override
    public ObjectNode encodeResponse(String compressedDocument) {
        return JsonNodeFactory.instance.objectNode().put(DOCUMENT, compressedDocument);
    }
}
