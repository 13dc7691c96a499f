package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.Accept;
import bramblespool.coordination.register.RegisterMessages.AcceptedRegister;
import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.register.RegisterMessages.BatchRequest;
import bramblespool.coordination.register.RegisterMessages.Page;
import bramblespool.coordination.register.RegisterMessages.PageRequest;
import bramblespool.coordination.register.RegisterMessages.Prepare;
import bramblespool.state.DurableStore.StoredRegister;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The written form of the registers' messages and of stored registers, as version 0.4.0 wrote them: members of one
 * group may run different versions, and a store outlives an upgrade. Names and positions stand here only. Since 0.6.0 a
 * number ends with its time, which earlier versions take for a part of the proposer's name.
 */
final class RegisterCodec {
    /** Message kind of a {@link BatchRequest}. */
    static final String BATCH_KIND = "register";
    /** Message kind of a {@link PageRequest}. */
    static final String PAGE_KIND = "registers";

    private static final String TO = "to";
    private static final String VOTERS_EPOCH = "epoch";
    private static final String ITEMS = "items";
    private static final String AFTER_ID = "after";
    private static final String HAS_MORE = "more";

    /** A request is an array: phase, register, number, and of an accept the value. */
    private static final int REQUEST_PHASE = 0;

    private static final int REQUEST_REGISTER = 1;
    private static final int REQUEST_NUMBER = 2;
    private static final int REQUEST_VALUE = 3;
    private static final int PHASE_ACCEPT = 0;
    private static final int PHASE_PREPARE = 1;

    /** A reply is an array: granted (1) or not (0); then, save of a granted accept, round, number and value, if any. */
    private static final int REPLY_GRANTED = 0;

    private static final int REPLY_HIGHEST_ROUND = 1;
    private static final int REPLY_NUMBER = 2;
    private static final int REPLY_VALUE = 3;

    /** A register in a page is an array: id, number and value, if any. */
    private static final int PAGE_REGISTER = 0;

    private static final int PAGE_NUMBER = 1;
    private static final int PAGE_VALUE = 2;

    private static final String NUMBER_SEPARATOR = " ";
    /** {@link ProposalNumber#NONE} in a message; a stored register has null instead. */
    private static final String NO_NUMBER = "";
    /** The id of the stored row whose value is the index since which this voter holds all registers. */
    private static final String SYNC_MARKER_ID = "";

    private RegisterCodec() {}

    static ObjectNode encode(BatchRequest batch) {
        ObjectNode json = addressed(batch.to(), batch.votersEpoch());
        ArrayNode items = json.putArray(ITEMS);
        for (AcceptorRequest request : batch.requests()) {
            ArrayNode item = items.addArray()
                    .add(request instanceof Prepare ? PHASE_PREPARE : PHASE_ACCEPT)
                    .add(request.registerId())
                    .add(encodeNumber(request.number()));
            if (request instanceof Accept accept) {
                item.add(accept.value());
            }
        }
        return json;
    }

    /** @throws IllegalArgumentException where a request has no proposal number */
    static BatchRequest decodeBatch(JsonNode json) {
        JsonNode items = json.path(ITEMS);
        List<AcceptorRequest> requests = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            requests.add(decodeRequest(item));
        }
        return new BatchRequest(json.path(TO).asText(), json.path(VOTERS_EPOCH).asLong(), requests);
    }

    private static AcceptorRequest decodeRequest(JsonNode item) {
        String registerId = item.path(REQUEST_REGISTER).asText();
        ProposalNumber number = decodeNumber(item.path(REQUEST_NUMBER).asText());
        if (number.isNone()) {
            throw new IllegalArgumentException("request without a proposal number for register " + registerId);
        }
        return item.path(REQUEST_PHASE).asInt() == PHASE_PREPARE
                ? new Prepare(registerId, number)
                : new Accept(registerId, number, item.path(REQUEST_VALUE).asText());
    }

    /** Encodes the replies to these requests, one for each and in their order. */
    static ObjectNode encodeReplies(List<AcceptorRequest> requests, List<AcceptorReply> replies) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode items = json.putArray(ITEMS);
        for (int index = 0; index < replies.size(); index++) {
            AcceptorReply reply = replies.get(index);
            ArrayNode item = items.addArray().add(reply.isGranted() ? 1 : 0);
            // After a granted accept the proposer needs to know nothing else.
            if (reply.isGranted() && requests.get(index) instanceof Accept) {
                continue;
            }
            item.add(reply.highestSeenRound()).add(encodeNumber(reply.acceptedNumber()));
            if (reply.acceptedValue() != null) {
                item.add(reply.acceptedValue());
            }
        }
        return json;
    }

    /** Decodes the replies to a batch: none where the acceptor has refused all of it. */
    static List<AcceptorReply> decodeReplies(JsonNode json) {
        JsonNode items = json.path(ITEMS);
        List<AcceptorReply> replies = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            replies.add(new AcceptorReply(
                    item.path(REPLY_GRANTED).asInt() == 1,
                    item.path(REPLY_HIGHEST_ROUND).asLong(),
                    decodeNumber(item.path(REPLY_NUMBER).asText(NO_NUMBER)),
                    textOrNull(item.path(REPLY_VALUE))));
        }
        return replies;
    }

    /** The answer of a voter that does not take part under the sender's voters. */
    static ObjectNode refusal() {
        return JsonNodeFactory.instance.objectNode();
    }

    static ObjectNode encode(PageRequest request) {
        return addressed(request.to(), request.votersEpoch()).put(AFTER_ID, request.afterId());
    }

    static PageRequest decodePageRequest(JsonNode json) {
        return new PageRequest(
                json.path(TO).asText(),
                json.path(VOTERS_EPOCH).asLong(),
                json.path(AFTER_ID).asText());
    }

    static ObjectNode encode(Page page) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode items = json.putArray(ITEMS);
        for (AcceptedRegister register : page.registers()) {
            ArrayNode item = items.addArray().add(register.registerId()).add(encodeNumber(register.number()));
            if (register.value() != null) {
                item.add(register.value());
            }
        }
        return json.put(HAS_MORE, page.hasMore());
    }

    /** Decodes a page; empty where the voter has refused it. */
    static Optional<Page> decodePage(JsonNode json) {
        JsonNode items = json.path(ITEMS);
        if (!items.isArray()) {
            return Optional.empty();
        }
        List<AcceptedRegister> registers = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            registers.add(new AcceptedRegister(
                    item.path(PAGE_REGISTER).asText(),
                    decodeNumber(item.path(PAGE_NUMBER).asText()),
                    textOrNull(item.path(PAGE_VALUE))));
        }
        return Optional.of(new Page(registers, json.path(HAS_MORE).asBoolean()));
    }

    private static ObjectNode addressed(String to, long votersEpoch) {
        return JsonNodeFactory.instance.objectNode().put(TO, to).put(VOTERS_EPOCH, votersEpoch);
    }

    private static String textOrNull(JsonNode json) {
        return json.isTextual() ? json.asText() : null;
    }

    static String encodeNumber(ProposalNumber number) {
        if (number.isNone()) {
            return NO_NUMBER;
        }
        String encoded =
                number.round() + NUMBER_SEPARATOR + number.votersEpoch() + NUMBER_SEPARATOR + number.proposer();
        return number.hasTime() ? encoded + NUMBER_SEPARATOR + number.issuedAtMs() : encoded;
    }

    /** @throws RuntimeException where the text is neither empty nor a number that {@link #encodeNumber} wrote */
    static ProposalNumber decodeNumber(String encoded) {
        if (encoded.isEmpty()) {
            return ProposalNumber.NONE;
        }
        int firstSeparator = encoded.indexOf(NUMBER_SEPARATOR);
        int secondSeparator = encoded.indexOf(NUMBER_SEPARATOR, firstSeparator + 1);
        int thirdSeparator = encoded.indexOf(NUMBER_SEPARATOR, secondSeparator + 1);
        boolean hasTime = thirdSeparator >= 0;
        return new ProposalNumber(
                Long.parseLong(encoded.substring(0, firstSeparator)),
                Long.parseLong(encoded.substring(firstSeparator + 1, secondSeparator)),
                encoded.substring(secondSeparator + 1, hasTime ? thirdSeparator : encoded.length()),
                hasTime ? Long.parseLong(encoded.substring(thirdSeparator + 1)) : ProposalNumber.NO_TIME);
    }

    /** A register's row in the durable store. */
    static StoredRegister toStored(String registerId, RegisterState state) {
        return new StoredRegister(
                registerId,
                storedNumber(state.promisedNumber()),
                storedNumber(state.acceptedNumber()),
                state.acceptedValue());
    }

    private static String storedNumber(ProposalNumber number) {
        return number.isNone() ? null : encodeNumber(number);
    }

    static ProposalNumber promisedNumber(StoredRegister stored) {
        return loadedNumber(stored.promisedProposal());
    }

    static ProposalNumber acceptedNumber(StoredRegister stored) {
        return loadedNumber(stored.acceptedProposal());
    }

    private static ProposalNumber loadedNumber(String stored) {
        return stored == null ? ProposalNumber.NONE : decodeNumber(stored);
    }

    /** The row that says since which log index, as a voter, this store holds all registers. */
    static StoredRegister syncMarker(long voterSince) {
        return new StoredRegister(SYNC_MARKER_ID, null, null, Long.toString(voterSince));
    }

    static boolean isSyncMarker(StoredRegister stored) {
        return stored.registerId().equals(SYNC_MARKER_ID);
    }

    /** The log index in a row for which {@link #isSyncMarker} holds. */
    static long syncedSince(StoredRegister marker) {
        return Long.parseLong(marker.acceptedValue());
    }
}
