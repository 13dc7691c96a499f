package bramblespool.coordination.tenancy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The written form of lease messages and of the owner in a shard's register, as version 0.4.0 wrote them: members of
 * one group may run different versions. Names stand here only.
 */
final class LeaseCodec {
    private static final String RENEW_KIND = "lease/renew";
    private static final String BAR_KIND = "lease/bar";

    private static final String HOLDER = "holder";
    private static final String TO = "to";
    private static final String VOTERS_EPOCH = "epoch";
    private static final String IS_GRANTED = "ok";
    private static final String SILENT_MS = "silent";

    /** An owner is written as peer address, lease id and fencing token. */
    private static final String OWNER_SEPARATOR = " ";

    private static final int OWNER_PARTS = 3;

    private LeaseCodec() {}

    /** The message kind of a request. */
    static String kindOf(LeaseRequest request) {
        return request.kind() == LeaseRequest.Kind.RENEW ? RENEW_KIND : BAR_KIND;
    }

    static boolean isLeaseKind(String kind) {
        return kind.equals(RENEW_KIND) || kind.equals(BAR_KIND);
    }

    static ObjectNode encode(LeaseRequest.Addressed message) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(HOLDER, message.request().holder())
                .put(TO, message.to())
                .put(VOTERS_EPOCH, message.votersEpoch());
    }

    /** Decodes a message of a kind for which {@link #isLeaseKind} holds. */
    static LeaseRequest.Addressed decode(String kind, JsonNode json) {
        LeaseRequest.Kind requestKind = kind.equals(RENEW_KIND) ? LeaseRequest.Kind.RENEW : LeaseRequest.Kind.BAR;
        return new LeaseRequest.Addressed(
                json.path(TO).asText(),
                json.path(VOTERS_EPOCH).asLong(),
                new LeaseRequest(requestKind, json.path(HOLDER).asText()));
    }

    static ObjectNode encodeReply(LeaseReply reply) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put(IS_GRANTED, reply.isGranted());
        return reply.silentMs() > 0 ? body.put(SILENT_MS, reply.silentMs()) : body;
    }

    static LeaseReply decodeReply(JsonNode json) {
        return new LeaseReply(
                json.path(IS_GRANTED).asBoolean(), json.path(SILENT_MS).asLong());
    }

    static String encodeOwner(ShardOwner owner) {
        return owner.peer() + OWNER_SEPARATOR + owner.leaseId() + OWNER_SEPARATOR + owner.fencingToken();
    }

    /** The owner that a register's value names; empty where it names none. */
    static Optional<ShardOwner> decodeOwner(String registerValue) {
        String[] parts = registerValue.split(OWNER_SEPARATOR);
        return parts.length == OWNER_PARTS
                ? Optional.of(new ShardOwner(parts[0], parts[1], Long.parseLong(parts[2])))
                : Optional.empty();
    }
}
