package bramblespool.coordination.answer;

import bramblespool.state.AnswerStore.Answer;
import bramblespool.state.AnswerStore.AnswerPage;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * JSON of answers and of the messages about them. A controller does not read the answers that it keeps: between proxies
 * they are a text within the message.
 */
public final class AnswerCodec {
    /** Kind of the message with answers to be kept. */
    public static final String KEEP_KIND = "answers";
    /** Kind of the question of a controller that has lost its disk. */
    public static final String RECOVER_KIND = "answers/recover";
    /** Kind of the question for one answer. */
    public static final String FIND_KIND = "answer";

    private static final String STATUS_CODE = "code";
    private static final String HEADERS = "headers";
    private static final String BODY = "body";
    private static final String ITEMS = "items";
    private static final String SENDER = "from";
    private static final String HOLDER = "holder";
    private static final String AFTER_SEQUENCE = "after";
    private static final String HAS_MORE = "more";
    private static final String REGISTER_ID = "register";
    private static final String CLAIM = "claim";
    private static final String FINGERPRINT = "print";
    private static final String REMAINING_MS = "left";
    private static final String RESPONSE = "response";

    /**
     * Answers to be kept.
     *
     * @param otherHolders the peer addresses of the controllers that keep them besides and see to all further copies,
     *     separated by spaces; empty where a proxy sends them
     * @param answers their times are by the clock of whoever reads or writes the message
     */
    record KeepRequest(String otherHolders, List<Answer> answers) {
        boolean isReplica() {
            return !otherHolders.isEmpty();
        }
    }

    /** Asks a controller for answers that the asking one kept, too, before it lost its disk. */
    record RecoverRequest(String otherHolder, long afterSequence) {}

    private AnswerCodec() {}

    /** Writes a response into a message. */
    public static void writeResponse(ObjectNode target, StoredResponse response) {
        target.put(STATUS_CODE, response.statusCode()).put(BODY, response.body());
        ArrayNode headers = target.putArray(HEADERS);
        response.headers().forEach(headers::add);
    }

    /** The response in a message; empty where there is none or it can't be read. */
    public static Optional<StoredResponse> readResponse(JsonNode source) {
        if (!source.path(STATUS_CODE).isNumber()) {
            return Optional.empty();
        }
        List<String> headers = new ArrayList<>();
        source.path(HEADERS).forEach(header -> headers.add(header.asText()));
        try {
            byte[] body = source.path(BODY).binaryValue();
            return body == null
                    ? Optional.empty()
                    : Optional.of(new StoredResponse(source.path(STATUS_CODE).asInt(), headers, body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** @param nowMs by the clock of the answers' times */
    static ObjectNode encodeKeep(KeepRequest request, long nowMs) {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put(SENDER, request.otherHolders());
        writeAnswers(node, request.answers(), nowMs);
        return node;
    }

    private static void writeAnswers(ObjectNode node, List<Answer> answers, long nowMs) {
        ArrayNode items = node.putArray(ITEMS);
        for (Answer answer : answers) {
            items.addObject()
                    .put(REGISTER_ID, answer.registerId())
                    .put(CLAIM, answer.claim())
                    .put(FINGERPRINT, answer.fingerprint())
                    .put(REMAINING_MS, answer.expiresAtMs() - nowMs)
                    .put(RESPONSE, answer.response());
        }
    }

    /** @param nowMs by the clock that the answers' times are to be of */
    static KeepRequest decodeKeep(JsonNode node, long nowMs) {
        String otherHolders = node.path(SENDER).asText();
        return new KeepRequest(otherHolders, readAnswers(node, otherHolders, nowMs));
    }

    private static List<Answer> readAnswers(JsonNode node, String otherHolders, long nowMs) {
        List<Answer> answers = new ArrayList<>(node.path(ITEMS).size());
        for (JsonNode item : node.path(ITEMS)) {
            answers.add(new Answer(
                    item.path(REGISTER_ID).asText(),
                    item.path(CLAIM).asText(),
                    item.path(FINGERPRINT).asLong(),
                    nowMs + item.path(REMAINING_MS).asLong(),
                    item.path(RESPONSE).asText(),
                    otherHolders));
        }
        return answers;
    }

    static ObjectNode encodeRecover(RecoverRequest request) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(HOLDER, request.otherHolder())
                .put(AFTER_SEQUENCE, request.afterSequence());
    }

    static RecoverRequest decodeRecover(JsonNode node) {
        return new RecoverRequest(
                node.path(HOLDER).asText(), node.path(AFTER_SEQUENCE).asLong());
    }

    /** @param nowMs by the clock of the answers' times */
    static ObjectNode encodePage(AnswerPage page, long nowMs) {
        ObjectNode node = JsonNodeFactory.instance
                .objectNode()
                .put(AFTER_SEQUENCE, page.lastSequence())
                .put(HAS_MORE, page.hasMore());
        writeAnswers(
                node,
                page.answers().stream()
                        .filter(answer -> answer.expiresAtMs() > nowMs)
                        .toList(),
                nowMs);
        return node;
    }

    /** @param otherHolder the controller that has sent the page */
    static AnswerPage decodePage(JsonNode node, String otherHolder, long nowMs) {
        return new AnswerPage(
                readAnswers(node, otherHolder, nowMs),
                node.path(AFTER_SEQUENCE).asLong(),
                node.path(HAS_MORE).asBoolean());
    }

    static ObjectNode encodeKept() {
        return JsonNodeFactory.instance.objectNode();
    }

    static ObjectNode encodeFind(String registerId, String claim) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(REGISTER_ID, registerId)
                .put(CLAIM, claim);
    }

    static String decodeRegisterId(JsonNode find) {
        return find.path(REGISTER_ID).asText();
    }

    static String decodeClaim(JsonNode find) {
        return find.path(CLAIM).asText();
    }

    /** @param nowMs by the clock of the answer's time; an answer that has expired is none */
    static ObjectNode encodeFound(Optional<Answer> found, long nowMs) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        found.filter(answer -> answer.expiresAtMs() > nowMs)
                .ifPresent(answer -> node.put(FINGERPRINT, answer.fingerprint())
                        .put(REMAINING_MS, answer.expiresAtMs() - nowMs)
                        .put(RESPONSE, answer.response()));
        return node;
    }

    static Optional<FoundAnswer> decodeFound(JsonNode node) {
        return ResponseArchive.unpack(node.path(RESPONSE).asText())
                .map(response -> new FoundAnswer(
                        node.path(FINGERPRINT).asLong(), node.path(REMAINING_MS).asLong(), response));
    }

    /** Writes for how long an answer is still valid. */
    public static void writeRemaining(ObjectNode target, long remainingMs) {
        target.put(REMAINING_MS, remainingMs);
    }

    /** For how long an answer is still valid; 0 of a version that does not say. */
    public static long readRemaining(JsonNode source) {
        return source.path(REMAINING_MS).asLong();
    }
}
