package bramblespool.state;

import bramblespool.state.ReplicatedEntry.CandidateStored;
import bramblespool.state.ReplicatedEntry.CommitAborted;
import bramblespool.state.ReplicatedEntry.CommitDecided;
import bramblespool.state.ReplicatedEntry.EvacuationChanged;
import bramblespool.state.ReplicatedEntry.Ignored;
import bramblespool.state.ReplicatedEntry.PhaseReached;
import bramblespool.state.ReplicatedEntry.SingletonRoleAssigned;
import bramblespool.state.ReplicatedEntry.VotersChanged;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored form of log entries: JSON, as it stands on the disks of running systems and in messages between
 * controllers of different versions. The names and the order of the fields must not change. Stateless, and so safe on
 * any thread.
 */
public final class ReplicatedEntryCodec {
    private static final String KIND = "k";

    private static final String CANDIDATE_STORED = "candidate";
    private static final String COMMIT_ABORTED = "abort";
    private static final String COMMIT_DECIDED = "decide";
    private static final String PHASE_REACHED = "phase";
    private static final String VOTERS_CHANGED = "members";
    private static final String EVACUATION_CHANGED = "evac";
    private static final String SINGLETON_ROLE_ASSIGNED = "duty";

    private static final String EPOCH = "epoch";
    private static final String BASE_EPOCH = "base";
    private static final String DIGEST = "digest";
    private static final String DOCUMENT = "doc";
    private static final String PHASE = "phase";
    private static final String VOTERS = "voters";
    private static final String ZONE = "zone";
    private static final String IS_EVACUATED = "on";
    private static final String ROLE_KEY = "key";
    private static final String OWNER = "holder";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ReplicatedEntryCodec() {}

    /** The text to propose to the replicated log. */
    public static String encode(ReplicatedEntry entry) {
        return toJson(entry).toString();
    }

    /**
     * Reads the text of a committed entry. Missing fields have the values that the JSON library gives them: 0, false,
     * "".
     *
     * @throws IllegalStateException where the text is not JSON: a committed entry can be neither skipped nor mended
     */
    public static ReplicatedEntry decode(String data) {
        try {
            return fromJson(JSON.readTree(data));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a committed entry cannot be read", e);
        }
    }

    private static ObjectNode toJson(ReplicatedEntry entry) {
        if (entry instanceof CandidateStored candidate) {
            return entryOfKind(CANDIDATE_STORED)
                    .put(EPOCH, candidate.epoch())
                    .put(BASE_EPOCH, candidate.baseEpoch())
                    .put(DIGEST, candidate.digest())
                    .put(DOCUMENT, candidate.compressedDocument());
        }
        if (entry instanceof CommitAborted abort) {
            return entryOfKind(COMMIT_ABORTED).put(EPOCH, abort.epoch());
        }
        if (entry instanceof CommitDecided decision) {
            return entryOfKind(COMMIT_DECIDED).put(EPOCH, decision.epoch());
        }
        if (entry instanceof PhaseReached phase) {
            return entryOfKind(PHASE_REACHED)
                    .put(EPOCH, phase.epoch())
                    .put(PHASE, phase.phase().name());
        }
        if (entry instanceof VotersChanged voters) {
            ObjectNode json = entryOfKind(VOTERS_CHANGED);
            writeVoterSet(json.putArray(VOTERS), voters.voterSet());
            return json;
        }
        if (entry instanceof EvacuationChanged evacuation) {
            return entryOfKind(EVACUATION_CHANGED)
                    .put(ZONE, evacuation.zone())
                    .put(IS_EVACUATED, evacuation.isEvacuated());
        }
        if (entry instanceof SingletonRoleAssigned role) {
            return entryOfKind(SINGLETON_ROLE_ASSIGNED)
                    .put(ROLE_KEY, role.key())
                    .put(OWNER, role.owner());
        }
        return entryOfKind(((Ignored) entry).kind());
    }

    private static ObjectNode entryOfKind(String kind) {
        return JsonNodeFactory.instance.objectNode().put(KIND, kind);
    }

    private static ReplicatedEntry fromJson(JsonNode json) {
        String kind = json.path(KIND).asText();
        return switch (kind) {
            case CANDIDATE_STORED ->
                new CandidateStored(
                        json.path(EPOCH).asLong(),
                        json.path(BASE_EPOCH).asLong(),
                        json.path(DIGEST).asText(),
                        json.path(DOCUMENT).asText());
            case COMMIT_ABORTED -> new CommitAborted(json.path(EPOCH).asLong());
            case COMMIT_DECIDED -> new CommitDecided(json.path(EPOCH).asLong());
            case PHASE_REACHED ->
                new PhaseReached(
                        json.path(EPOCH).asLong(),
                        ReplicatedState.Phase.valueOf(json.path(PHASE).asText()));
            case VOTERS_CHANGED -> new VotersChanged(readVoterSet(json.path(VOTERS)));
            case EVACUATION_CHANGED ->
                new EvacuationChanged(
                        json.path(ZONE).asText(), json.path(IS_EVACUATED).asBoolean());
            case SINGLETON_ROLE_ASSIGNED ->
                new SingletonRoleAssigned(
                        json.path(ROLE_KEY).asText(), json.path(OWNER).asText());
            default -> new Ignored(kind);
        };
    }

    static void writeVoterSet(ArrayNode target, VoterSet voterSet) {
        voterSet.encoded().forEach(target::add);
    }

    static VoterSet readVoterSet(JsonNode encodedVoters) {
        List<String> voters = new ArrayList<>();
        encodedVoters.forEach(voter -> voters.add(voter.asText()));
        return VoterSet.decode(voters);
    }
}
