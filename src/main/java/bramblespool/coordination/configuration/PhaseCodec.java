package bramblespool.coordination.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The JSON form of the shadow commit's messages. Kinds and field names are those of version 0.4.0 and must stay:
 * processes of both versions take part in one commit during a rolling upgrade.
 */
public final class PhaseCodec {
    /** Kind of the leader's message to a zone controller: {@link PhaseRelayRequest}. */
    public static final String RELAY_KIND = "cell";
    /** Kind of a zone controller's message to a proxy: {@link PhaseMessage}. */
    public static final String PHASE_KIND = "phase";

    private static final String PHASE = "phase";
    private static final String TERM = "term";
    private static final String ROUND = "round";
    private static final String OLD_EPOCH = "old";
    private static final String NEW_EPOCH = "new";
    private static final String STAMP = "stamp";
    private static final String OPEN_FOR_MS = "open";
    private static final String DOCUMENT = "doc";
    private static final String PROXIES = "wefts";
    private static final String TIMEOUT_MS = "within";
    /** A flag in a proxy's answer, a list of nodes in a zone controller's; so is {@link #REJECTED}. */
    private static final String CONFIRMED = "ok";

    private static final String REJECTED = "refused";
    private static final String REASON = "why";
    private static final String DIFFERENCE = "difference";

    private PhaseCodec() {}

    /** Encodes a phase for a proxy. */
    public static ObjectNode encodeMessage(PhaseMessage message) {
        ObjectNode node = JsonNodeFactory.instance
                .objectNode()
                .put(PHASE, message.phase().wireNumber())
                .put(TERM, message.term())
                .put(ROUND, message.round())
                .put(OLD_EPOCH, message.oldEpoch())
                .put(NEW_EPOCH, message.newEpoch())
                .put(STAMP, message.stamp());
        PhaseMessage.CandidateDocument candidate = message.candidate();
        if (candidate != null) {
            node.put(OPEN_FOR_MS, candidate.openForMs()).put(DOCUMENT, candidate.compressedDocument());
        }
        return node;
    }

    /** Decodes a phase; empty where the message names a phase that is unknown here. */
    public static Optional<PhaseMessage> decodeMessage(JsonNode node) {
        return CommitPhase.ofWireNumber(node.path(PHASE).asInt()).map(phase -> decodeMessage(phase, node));
    }

    private static PhaseMessage decodeMessage(CommitPhase phase, JsonNode node) {
        return new PhaseMessage(
                phase,
                node.path(TERM).asLong(),
                node.path(ROUND).asLong(),
                node.path(OLD_EPOCH).asLong(),
                node.path(NEW_EPOCH).asLong(),
                node.path(STAMP).asText(),
                phase == CommitPhase.TAG_DISTRIBUTION ? decodeCandidate(node) : null);
    }

    private static PhaseMessage.CandidateDocument decodeCandidate(JsonNode node) {
        return new PhaseMessage.CandidateDocument(
                node.path(OPEN_FOR_MS).asLong(), node.path(DOCUMENT).asText());
    }

    /** Encodes a phase for a zone controller. */
    public static ObjectNode encodeRelayRequest(PhaseRelayRequest request) {
        ObjectNode node = encodeMessage(request.message());
        ArrayNode proxies = node.putArray(PROXIES);
        request.proxies().forEach(proxies::add);
        return node.put(TIMEOUT_MS, request.timeoutMs());
    }

    /** Decodes a phase for a zone controller; empty where the message names a phase that is unknown here. */
    public static Optional<PhaseRelayRequest> decodeRelayRequest(JsonNode node) {
        return decodeMessage(node)
                .map(message -> new PhaseRelayRequest(
                        message,
                        decodeNodes(node.path(PROXIES)),
                        node.path(TIMEOUT_MS).asLong()));
    }

    /** Encodes what a zone controller gathered. */
    public static ObjectNode encodeRelayResult(PhaseRelayResult result) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        result.confirmed().forEach(node.putArray(CONFIRMED)::add);
        result.rejected().forEach(node.putArray(REJECTED)::add);
        return result.newerTerm() == PhaseRelayResult.NO_NEWER_TERM ? node : node.put(TERM, result.newerTerm());
    }

    /** Decodes what a zone controller gathered. */
    public static PhaseRelayResult decodeRelayResult(JsonNode node) {
        return new PhaseRelayResult(
                decodeNodes(node.path(CONFIRMED)),
                decodeNodes(node.path(REJECTED)),
                node.path(TERM).asLong(PhaseRelayResult.NO_NEWER_TERM));
    }

    private static List<String> decodeNodes(JsonNode array) {
        List<String> nodes = new ArrayList<>();
        array.forEach(node -> nodes.add(node.asText()));
        return nodes;
    }

    /** Encodes a proxy's answer. */
    public static ObjectNode encodeAcknowledgement(PhaseAcknowledgement acknowledgement) {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put(CONFIRMED, acknowledgement.isConfirmation());
        if (acknowledgement instanceof PhaseAcknowledgement.CandidateRecorded recorded) {
            node.put(DIFFERENCE, recorded.difference());
        } else if (acknowledgement instanceof PhaseAcknowledgement.Rejected rejected) {
            node.put(REJECTED, true).put(REASON, rejected.reason());
        } else if (acknowledgement instanceof PhaseAcknowledgement.StaleMessage stale) {
            node.put(TERM, stale.highestTerm());
        } else if (acknowledgement instanceof PhaseAcknowledgement.NotApplied notApplied
                && !notApplied.reason().isEmpty()) {
            node.put(REASON, notApplied.reason());
        }
        return node;
    }

    /** Decodes a proxy's answer. */
    public static PhaseAcknowledgement decodeAcknowledgement(JsonNode node) {
        if (node.path(CONFIRMED).asBoolean()) {
            return node.has(DIFFERENCE)
                    ? new PhaseAcknowledgement.CandidateRecorded(
                            node.path(DIFFERENCE).asText())
                    : new PhaseAcknowledgement.Applied();
        }
        if (node.path(REJECTED).asBoolean()) {
            return new PhaseAcknowledgement.Rejected(node.path(REASON).asText());
        }
        return node.has(TERM)
                ? new PhaseAcknowledgement.StaleMessage(node.path(TERM).asLong())
                : new PhaseAcknowledgement.NotApplied(node.path(REASON).asText());
    }
}
