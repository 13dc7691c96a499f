package bramblespool.coordination;

import bramblespool.protocol.Listing;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The servers a hem is steward of, zone by zone as the readers of the platform's list assign them. */
final class Steward {
    /**
     * What the reader of a zone's list last assigned; a reader's fence outranks the number within it. One that was
     * started again may hold the same fence and count from the beginning: {@code reader} tells its lives apart.
     */
    private record Turn(long fence, long n, String reader) {
        boolean olderThan(long otherFence, long otherN) {
            return fence < otherFence || fence == otherFence && n < otherN;
        }
    }

    private final Clock clock;
    private final Gate.Rules rules;
    private final Gates gates;
    private final Runnable changed;
    private final EventLog log;
    private final Map<String, Turn> turns = new HashMap<>();
    private final Map<String, Map<String, Gate>> byZone = new HashMap<>();
    private boolean taking;
    private boolean told;

    Steward(Clock clock, Gate.Rules rules, Gates gates, Runnable changed, EventLog log) {
        this.clock = clock;
        this.rules = rules;
        this.gates = gates;
        this.changed = changed;
        this.log = log;
    }

    /** Takes an assignment, or says which newer one stands. */
    ObjectNode assign(JsonNode m) {
        if (m.has("leaving")) {
            return leaving(m);
        }
        String zone = m.path("zone").asText();
        long fence = m.path("fence").asLong();
        long n = m.path("n").asLong();
        String reader = m.path("reader").asText();
        Turn last = turns.get(zone);
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        if (last != null && !last.olderThan(fence, n)) {
            if (last.fence > fence) {
                log.logOnChange(
                        Event.ASSIGNMENT_REJECTED,
                        zone + fence,
                        "zone",
                        zone,
                        "fencingToken",
                        fence,
                        "currentFencingToken",
                        last.fence);
            }
            return out.put("ok", last.equals(new Turn(fence, n, reader)))
                    .put("fence", last.fence)
                    .put("n", last.n);
        }
        turns.put(zone, new Turn(fence, n, reader));
        Map<String, Gate> mine = byZone.computeIfAbsent(zone, z -> new HashMap<>());
        taking = true;
        told = false;
        Set<String> named = new HashSet<>();
        for (JsonNode e : m.path("servers")) {
            Listing.Entry s = Listing.Entry.read(e);
            named.add(s.id());
            Gate g = mine.computeIfAbsent(s.id(), id -> {
                Gate fresh = new Gate(clock, rules, s.address(), s.target(), this::gateChanged, log);
                gates.add(fresh);
                return fresh;
            });
            g.listed(s.id(), s.capacity(), s.draining(), s.warmupLeft());
        }
        mine.entrySet().removeIf(e -> {
            boolean lost = !named.contains(e.getKey());
            if (lost) {
                gates.remove(e.getValue());
                told = true;
            }
            return lost;
        });
        taking = false;
        log.log(
                Event.ENDPOINTS_ASSIGNED,
                "zone",
                zone,
                "fencingToken",
                fence,
                "sequence",
                n,
                "endpoints",
                named.size());
        if (told) {
            changed.run();
        }
        return out.put("ok", true);
    }

    /** Takes the word of whoever has read the list that servers are about to end: it needs no fence, for it is never taken back. */
    private ObjectNode leaving(JsonNode m) {
        Map<String, Gate> mine = byZone.getOrDefault(m.path("zone").asText(), Map.of());
        for (JsonNode id : m.path("leaving")) {
            Gate g = mine.get(id.asText());
            if (g != null) {
                g.leaving();
            }
        }
        return JsonNodeFactory.instance.objectNode().put("ok", true);
    }

    /** Changes that come with one assignment are told once. */
    private void gateChanged() {
        if (taking) {
            told = true;
        } else {
            changed.run();
        }
    }
}
