package bramblespool.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the helms have agreed on: configurations, the phase of the commit under way, evacuations. */
public final class Ledger {
    /**
     * Digests of versions taken before, kept so that a repeat of one is never refused; more than a long day has changes. So
     * many letters of each tell it from the others.
     */
    private static final int TAKEN_KEPT = 4096;

    private static final int TAKEN_LETTERS = 32;

    public enum Phase {
        NONE,
        DECIDED,
        SWAPPED,
        MARKED
    }

    /** {@code packed}: the document as it was sent, or null where there is none yet. */
    public record Version(long epoch, String packed, String digest) {
        static final Version NONE = new Version(0, null, "");
    }

    private Version current = Version.NONE;
    private Version previous = Version.NONE;
    private Version candidate;
    private long candidateBase;
    private Phase phase = Phase.NONE;
    private final Map<String, Long> taken = new LinkedHashMap<>();
    private final Map<String, Evacuation> evacuations = new LinkedHashMap<>();
    private final Map<String, Duty> duties = new LinkedHashMap<>();

    private Voters group = Voters.read(List.of());
    /** The agreed voters, each with the index of the entry since which it has been one without a break. */
    private final Map<String, Long> voters = new LinkedHashMap<>();
    /** The index of the entry that made them the voters. */
    private long votersSince;

    /** The index orders a zone's changes. */
    public record Evacuation(boolean on, long index) {}

    /** Who holds a duty; the fence, the index of the entry that gave it, only ever rises. {@code first}: nobody held it before. */
    public record Duty(String holder, long fence, boolean first) {}

    /** The agreed voters, or the change under way from some to others. */
    public Voters group() {
        return group;
    }

    public Map<String, Long> voters() {
        return voters;
    }

    public long votersSince() {
        return votersSince;
    }

    public Map<String, Duty> duties() {
        return duties;
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

    public boolean taken(String digest) {
        return taken.containsKey(brief(digest));
    }

    private static String brief(String digest) {
        return digest.substring(0, Math.min(TAKEN_LETTERS, digest.length()));
    }

    public static ObjectNode entry(String kind) {
        return JsonNodeFactory.instance.objectNode().put("k", kind);
    }

    public void apply(long index, JsonNode e) {
        switch (e.path("k").asText()) {
            case "candidate" -> {
                if (candidate == null) {
                    candidate = new Version(
                            e.path("epoch").asLong(),
                            e.path("doc").asText(),
                            e.path("digest").asText());
                    candidateBase = e.path("base").asLong();
                }
            }
            case "abort" -> {
                if (candidate != null && candidate.epoch == e.path("epoch").asLong()) {
                    candidate = null;
                }
            }
            case "decide" -> decide(e.path("epoch").asLong());
            case "phase" -> {
                if (current.epoch == e.path("epoch").asLong()) {
                    phase = Phase.valueOf(e.path("phase").asText());
                }
            }
            case "members" -> {
                Map<String, Long> before = new LinkedHashMap<>(voters);
                voters.clear();
                group = written(e.path("voters"));
                group.all().forEach(v -> voters.put(v, before.getOrDefault(v, index)));
                votersSince = index;
            }
            case "evac" ->
                evacuations.put(
                        e.path("zone").asText(), new Evacuation(e.path("on").asBoolean(), index));
            case "duty" ->
                duties.put(
                        e.path("key").asText(),
                        new Duty(
                                e.path("holder").asText(),
                                index,
                                !duties.containsKey(e.path("key").asText())));
            default -> {}
        }
    }

    private void decide(long epoch) {
        if (candidate == null || candidate.epoch != epoch || candidateBase != current.epoch || epoch <= current.epoch) {
            return;
        }
        previous = current;
        current = candidate;
        candidate = null;
        phase = Phase.DECIDED;
        taken.put(brief(current.digest), epoch);
        if (taken.size() > TAKEN_KEPT) {
            taken.remove(taken.keySet().iterator().next());
        }
    }

    private static Voters written(JsonNode list) {
        List<String> out = new ArrayList<>();
        list.forEach(v -> out.add(v.asText()));
        return Voters.read(out);
    }

    public ObjectNode snapshot() {
        ObjectNode n = JsonNodeFactory.instance.objectNode();
        put(n.putObject("current"), current);
        put(n.putObject("previous"), previous);
        if (candidate != null) {
            put(n.putObject("candidate"), candidate);
            n.put("base", candidateBase);
        }
        n.put("phase", phase.name());
        ObjectNode t = n.putObject("taken");
        taken.forEach(t::put);
        ObjectNode ev = n.putObject("evac");
        evacuations.forEach((z, e) -> ev.putObject(z).put("on", e.on).put("index", e.index));
        ObjectNode v = n.putObject("voters");
        voters.forEach(v::put);
        n.put("votersSince", votersSince);
        group.written().forEach(n.putArray("group")::add);
        ObjectNode d = n.putObject("duties");
        duties.forEach((key, duty) -> d.putObject(key)
                .put("holder", duty.holder)
                .put("fence", duty.fence)
                .put("first", duty.first));
        return n;
    }

    public void restore(JsonNode n) {
        current = version(n.path("current"));
        previous = version(n.path("previous"));
        candidate = n.has("candidate") ? version(n.path("candidate")) : null;
        candidateBase = n.path("base").asLong();
        phase = Phase.valueOf(n.path("phase").asText());
        taken.clear();
        n.path("taken")
                .fields()
                .forEachRemaining(f -> taken.put(brief(f.getKey()), f.getValue().asLong()));
        evacuations.clear();
        n.path("evac")
                .fields()
                .forEachRemaining(f -> evacuations.put(
                        f.getKey(),
                        new Evacuation(
                                f.getValue().path("on").asBoolean(),
                                f.getValue().path("index").asLong())));
        voters.clear();
        n.path("voters")
                .fields()
                .forEachRemaining(f -> voters.put(f.getKey(), f.getValue().asLong()));
        votersSince = n.path("votersSince").asLong();
        group = n.has("group") ? written(n.path("group")) : Voters.read(voters.keySet());
        duties.clear();
        n.path("duties")
                .fields()
                .forEachRemaining(f -> duties.put(
                        f.getKey(),
                        new Duty(
                                f.getValue().path("holder").asText(),
                                f.getValue().path("fence").asLong(),
                                f.getValue().path("first").asBoolean())));
    }

    private static void put(ObjectNode n, Version v) {
        n.put("epoch", v.epoch).put("doc", v.packed).put("digest", v.digest);
    }

    private static Version version(JsonNode n) {
        return new Version(
                n.path("epoch").asLong(),
                n.path("doc").isTextual() ? n.path("doc").asText() : null,
                n.path("digest").asText());
    }
}
