package bramblespool.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the helms have agreed on: configurations, the phase of the commit under way, evacuations. */
public final class ReplicatedState {
    /**
     * Digests of versions taken before, kept so that a repeat of one is never refused; more than a long day has changes. So
     * many letters of each tell it from the others.
     */
    private static final int MAX_COMMITTED_DIGESTS = 4096;

    private static final int SHORT_DIGEST_CHARS = 32;
    private static final ObjectMapper JSON = new ObjectMapper();

    public enum Phase {
        NONE,
        DECIDED,
        SWAPPED,
        MARKED
    }

    /** {@code packed}: the document as it was sent, or null where there is none yet. */
    public record Version(long epoch, String compressedDocument, String digest) {
        static final Version NONE = new Version(0, null, "");
    }

    private Version current = Version.NONE;
    private Version previous = Version.NONE;
    private Version candidate;
    private long candidateBaseEpoch;
    private Phase phase = Phase.NONE;
    private final Map<String, Long> committedDigests = new LinkedHashMap<>();
    private final Map<String, Evacuation> evacuations = new LinkedHashMap<>();
    private final Map<String, SingletonRole> singletonRoles = new LinkedHashMap<>();

    private VoterSet voterSet = VoterSet.decode(List.of());
    /** The agreed voters, each with the index of the entry since which it has been one without a break. */
    private final Map<String, Long> voterSinceIndexes = new LinkedHashMap<>();
    /** The index of the entry that made them the voters. */
    private long votersChangedIndex;

    /** The index orders a zone's changes. */
    public record Evacuation(boolean isEvacuated, long index) {}

    /** Who holds a duty; the fence, the index of the entry that gave it, only ever rises. {@code first}: nobody held it before. */
    public record SingletonRole(String owner, long fencingToken, boolean isFirstOwner) {}

    /** The agreed voters, or the change under way from some to others. */
    public VoterSet voterSet() {
        return voterSet;
    }

    public Map<String, Long> voterSinceIndexes() {
        return voterSinceIndexes;
    }

    public long votersChangedIndex() {
        return votersChangedIndex;
    }

    public Map<String, SingletonRole> singletonRoles() {
        return singletonRoles;
    }

    public Version current() {
        return current;
    }

    public Version previous() {
        return previous;
    }

    public Version candidate() {
        return candidate;
    }

    public Phase phase() {
        return phase;
    }

    public Map<String, Evacuation> evacuations() {
        return evacuations;
    }

    public boolean isCommitted(String digest) {
        return committedDigests.containsKey(shortDigest(digest));
    }

    private static String shortDigest(String digest) {
        return digest.substring(0, Math.min(SHORT_DIGEST_CHARS, digest.length()));
    }

    /** Reads the text of an entry or of a snapshot. */
    public static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a committed entry or snapshot cannot be read", e);
        }
    }

    public static ObjectNode entry(String kind) {
        return JsonNodeFactory.instance.objectNode().put("k", kind);
    }

    public void apply(long index, JsonNode entry) {
        switch (entry.path("k").asText()) {
            case "candidate" -> {
                if (candidate == null) {
                    candidate = new Version(
                            entry.path("epoch").asLong(),
                            entry.path("doc").asText(),
                            entry.path("digest").asText());
                    candidateBaseEpoch = entry.path("base").asLong();
                }
            }
            case "abort" -> {
                if (candidate != null && candidate.epoch == entry.path("epoch").asLong()) {
                    candidate = null;
                }
            }
            case "decide" -> decide(entry.path("epoch").asLong());
            case "phase" -> {
                if (current.epoch == entry.path("epoch").asLong()) {
                    phase = Phase.valueOf(entry.path("phase").asText());
                }
            }
            case "members" -> {
                Map<String, Long> previousVoters = new LinkedHashMap<>(voterSinceIndexes);
                voterSinceIndexes.clear();
                voterSet = readVoterSet(entry.path("voters"));
                voterSet.all()
                        .forEach(voter -> voterSinceIndexes.put(voter, previousVoters.getOrDefault(voter, index)));
                votersChangedIndex = index;
            }
            case "evac" ->
                evacuations.put(
                        entry.path("zone").asText(),
                        new Evacuation(entry.path("on").asBoolean(), index));
            case "duty" ->
                singletonRoles.put(
                        entry.path("key").asText(),
                        new SingletonRole(
                                entry.path("holder").asText(),
                                index,
                                !singletonRoles.containsKey(entry.path("key").asText())));
            default -> {}
        }
    }

    private void decide(long epoch) {
        if (candidate == null
                || candidate.epoch != epoch
                || candidateBaseEpoch != current.epoch
                || epoch <= current.epoch) {
            return;
        }
        previous = current;
        current = candidate;
        candidate = null;
        phase = Phase.DECIDED;
        committedDigests.put(shortDigest(current.digest), epoch);
        if (committedDigests.size() > MAX_COMMITTED_DIGESTS) {
            committedDigests.remove(committedDigests.keySet().iterator().next());
        }
    }

    private static VoterSet readVoterSet(JsonNode encodedVoters) {
        List<String> voterIds = new ArrayList<>();
        encodedVoters.forEach(voter -> voterIds.add(voter.asText()));
        return VoterSet.decode(voterIds);
    }

    public ObjectNode snapshot() {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        writeVersion(document.putObject("current"), current);
        writeVersion(document.putObject("previous"), previous);
        if (candidate != null) {
            writeVersion(document.putObject("candidate"), candidate);
            document.put("base", candidateBaseEpoch);
        }
        document.put("phase", phase.name());
        ObjectNode digestsNode = document.putObject("taken");
        committedDigests.forEach(digestsNode::put);
        ObjectNode evacuationsNode = document.putObject("evac");
        evacuations.forEach((zone, evacuation) -> evacuationsNode
                .putObject(zone)
                .put("on", evacuation.isEvacuated)
                .put("index", evacuation.index));
        ObjectNode votersNode = document.putObject("voters");
        voterSinceIndexes.forEach(votersNode::put);
        document.put("votersSince", votersChangedIndex);
        voterSet.encoded().forEach(document.putArray("group")::add);
        ObjectNode rolesNode = document.putObject("duties");
        singletonRoles.forEach((key, role) -> rolesNode
                .putObject(key)
                .put("holder", role.owner)
                .put("fence", role.fencingToken)
                .put("first", role.isFirstOwner));
        return document;
    }

    public void restore(JsonNode document) {
        current = readVersion(document.path("current"));
        previous = readVersion(document.path("previous"));
        candidate = document.has("candidate") ? readVersion(document.path("candidate")) : null;
        candidateBaseEpoch = document.path("base").asLong();
        phase = Phase.valueOf(document.path("phase").asText());
        committedDigests.clear();
        document.path("taken")
                .fields()
                .forEachRemaining(field -> committedDigests.put(
                        shortDigest(field.getKey()), field.getValue().asLong()));
        evacuations.clear();
        document.path("evac")
                .fields()
                .forEachRemaining(field -> evacuations.put(
                        field.getKey(),
                        new Evacuation(
                                field.getValue().path("on").asBoolean(),
                                field.getValue().path("index").asLong())));
        voterSinceIndexes.clear();
        document.path("voters")
                .fields()
                .forEachRemaining(field ->
                        voterSinceIndexes.put(field.getKey(), field.getValue().asLong()));
        votersChangedIndex = document.path("votersSince").asLong();
        voterSet = document.has("group")
                ? readVoterSet(document.path("group"))
                : VoterSet.decode(voterSinceIndexes.keySet());
        singletonRoles.clear();
        document.path("duties")
                .fields()
                .forEachRemaining(field -> singletonRoles.put(
                        field.getKey(),
                        new SingletonRole(
                                field.getValue().path("holder").asText(),
                                field.getValue().path("fence").asLong(),
                                field.getValue().path("first").asBoolean())));
    }

    private static void writeVersion(ObjectNode target, Version version) {
        target.put("epoch", version.epoch)
                .put("doc", version.compressedDocument)
                .put("digest", version.digest);
    }

    private static Version readVersion(JsonNode document) {
        return new Version(
                document.path("epoch").asLong(),
                document.path("doc").isTextual() ? document.path("doc").asText() : null,
                document.path("digest").asText());
    }
}
