package bramblespool.state;

import bramblespool.state.ReplicatedState.Evacuation;
import bramblespool.state.ReplicatedState.Phase;
import bramblespool.state.ReplicatedState.SingletonRole;
import bramblespool.state.ReplicatedState.Version;
import bramblespool.state.ReplicatedStateSnapshot.Configurations;
import bramblespool.state.ReplicatedStateSnapshot.Voters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The stored form of snapshots: JSON, as it stands on the disks of running systems and in messages between controllers
 * of different versions. The names and the order of the fields must not change: controllers compare digests of the
 * text. Stateless, and so safe on any thread.
 */
public final class ReplicatedStateSnapshotCodec {
    private static final String CURRENT = "current";
    private static final String PREVIOUS = "previous";
    private static final String CANDIDATE = "candidate";
    private static final String CANDIDATE_BASE_EPOCH = "base";
    private static final String PHASE = "phase";
    private static final String COMMITTED_DIGESTS = "taken";
    private static final String EVACUATIONS = "evac";
    private static final String VOTER_SINCE_INDEXES = "voters";
    private static final String VOTERS_CHANGED_INDEX = "votersSince";
    private static final String VOTER_SET = "group";
    private static final String SINGLETON_ROLES = "duties";

    private static final String EPOCH = "epoch";
    private static final String DOCUMENT = "doc";
    private static final String DIGEST = "digest";
    private static final String IS_EVACUATED = "on";
    private static final String INDEX = "index";
    private static final String OWNER = "holder";
    private static final String FENCING_TOKEN = "fence";
    private static final String IS_FIRST_OWNER = "first";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ReplicatedStateSnapshotCodec() {}

    /** The text to store or send. Equal states have equal texts. */
    public static String encode(ReplicatedStateSnapshot snapshot) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        Configurations configurations = snapshot.configurations();
        writeVersion(json.putObject(CURRENT), configurations.current());
        writeVersion(json.putObject(PREVIOUS), configurations.previous());
        if (configurations.candidate() != null) {
            writeVersion(json.putObject(CANDIDATE), configurations.candidate());
            json.put(CANDIDATE_BASE_EPOCH, configurations.candidateBaseEpoch());
        }
        json.put(PHASE, configurations.phase().name());
        ObjectNode digests = json.putObject(COMMITTED_DIGESTS);
        configurations.committedDigests().forEach(digests::put);
        ObjectNode evacuations = json.putObject(EVACUATIONS);
        snapshot.evacuations()
                .forEach((zone, evacuation) -> evacuations
                        .putObject(zone)
                        .put(IS_EVACUATED, evacuation.isEvacuated())
                        .put(INDEX, evacuation.index()));
        ObjectNode voterSinceIndexes = json.putObject(VOTER_SINCE_INDEXES);
        snapshot.voters().sinceIndexes().forEach(voterSinceIndexes::put);
        json.put(VOTERS_CHANGED_INDEX, snapshot.voters().changedIndex());
        ReplicatedEntryCodec.writeVoterSet(
                json.putArray(VOTER_SET), snapshot.voters().voterSet());
        ObjectNode roles = json.putObject(SINGLETON_ROLES);
        snapshot.singletonRoles()
                .forEach((key, role) -> roles.putObject(key)
                        .put(OWNER, role.owner())
                        .put(FENCING_TOKEN, role.fencingToken())
                        .put(IS_FIRST_OWNER, role.isFirstOwner()));
        return json.toString();
    }

    private static void writeVersion(ObjectNode target, Version version) {
        target.put(EPOCH, version.epoch())
                .put(DOCUMENT, version.compressedDocument())
                .put(DIGEST, version.digest());
    }

    /**
     * Reads what {@link #encode} or an earlier version has written.
     *
     * @throws IllegalStateException where the text is no snapshot
     */
    public static ReplicatedStateSnapshot decode(String data) {
        JsonNode json;
        try {
            json = JSON.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a snapshot cannot be read", e);
        }
        return new ReplicatedStateSnapshot(
                readConfigurations(json),
                readVoters(json),
                readMap(json.path(EVACUATIONS), ReplicatedStateSnapshotCodec::readEvacuation),
                readMap(json.path(SINGLETON_ROLES), ReplicatedStateSnapshotCodec::readSingletonRole));
    }

    private static Configurations readConfigurations(JsonNode json) {
        return new Configurations(
                readVersion(json.path(CURRENT)),
                readVersion(json.path(PREVIOUS)),
                json.has(CANDIDATE) ? readVersion(json.path(CANDIDATE)) : null,
                json.path(CANDIDATE_BASE_EPOCH).asLong(),
                Phase.valueOf(json.path(PHASE).asText()),
                readMap(json.path(COMMITTED_DIGESTS), JsonNode::asLong));
    }

    private static Version readVersion(JsonNode json) {
        JsonNode document = json.path(DOCUMENT);
        return new Version(
                json.path(EPOCH).asLong(),
                document.isTextual() ? document.asText() : null,
                json.path(DIGEST).asText());
    }

    /** Early versions stored no voter set, but only the voters with their indexes. */
    private static Voters readVoters(JsonNode json) {
        Map<String, Long> sinceIndexes = readMap(json.path(VOTER_SINCE_INDEXES), JsonNode::asLong);
        VoterSet voterSet = json.has(VOTER_SET)
                ? ReplicatedEntryCodec.readVoterSet(json.path(VOTER_SET))
                : VoterSet.decode(sinceIndexes.keySet());
        return new Voters(
                voterSet, sinceIndexes, json.path(VOTERS_CHANGED_INDEX).asLong());
    }

    private static Evacuation readEvacuation(JsonNode json) {
        return new Evacuation(
                json.path(IS_EVACUATED).asBoolean(), json.path(INDEX).asLong());
    }

    private static SingletonRole readSingletonRole(JsonNode json) {
        return new SingletonRole(
                json.path(OWNER).asText(),
                json.path(FENCING_TOKEN).asLong(),
                json.path(IS_FIRST_OWNER).asBoolean());
    }

    private static <T> Map<String, T> readMap(JsonNode json, Function<JsonNode, T> readValue) {
        Map<String, T> result = new LinkedHashMap<>();
        json.fields().forEachRemaining(field -> result.put(field.getKey(), readValue.apply(field.getValue())));
        return result;
    }
}
