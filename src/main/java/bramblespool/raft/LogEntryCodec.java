package bramblespool.raft;

import bramblespool.state.VoterSet;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The texts of the entries that the consensus layer itself appends: the empty entry of a new term and the entries
 * that name the voters. The JSON names are stored on disks and must not change.
 */
final class LogEntryCodec {
    private static final String KIND = "k";
    private static final String KIND_NOOP = "noop";
    private static final String KIND_VOTERS = "members";
    private static final String VOTERS = "voters";
    /** How the text of an entry that names voters begins. */
    private static final String VOTERS_ENTRY_PREFIX = "{\"" + KIND + "\":\"" + KIND_VOTERS + "\"";

    private static final ObjectMapper JSON = new ObjectMapper();

    private LogEntryCodec() {}

    /** The entry that a leader appends first, so that the entries of former terms can be committed (section 3.6.2). */
    static String encodeNoop() {
        return newEntry(KIND_NOOP).toString();
    }

    /** An entry that makes these the voters. */
    static String encodeVoters(VoterSet voterSet) {
        ObjectNode entry = newEntry(KIND_VOTERS);
        ArrayNode voters = entry.putArray(VOTERS);
        voterSet.encoded().forEach(voters::add);
        return entry.toString();
    }

    /** Whether the entry names voters. Looks at its first characters alone, as this is asked of whole logs. */
    static boolean isVotersEntry(String entry) {
        return entry.startsWith(VOTERS_ENTRY_PREFIX);
    }

    /** The voters, as {@link VoterSet#encoded} writes them, that an entry names. */
    static List<String> decodeVoters(String entry) {
        List<String> voters = new ArrayList<>();
        try {
            for (JsonNode voter : JSON.readTree(entry).path(VOTERS)) {
                voters.add(voter.asText());
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an entry of the log that names voters cannot be read", e);
        }
        return voters;
    }

    private static ObjectNode newEntry(String kind) {
        return JsonNodeFactory.instance.objectNode().put(KIND, kind);
    }
}
