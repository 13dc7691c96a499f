package bramblespool.raft;

import bramblespool.state.Log.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Digests of the state at some indices. The leader asks each member for the one at its own newest checkpoint; where they
 * differ the value of a majority holds, and a member with another one never leads until it has taken a snapshot anew.
 */
final class Checkpoints {
    /** Entries from one checkpoint to the next, and how many are kept. */
    static final int EVERY = 32;

    private static final int KEPT = 8;
    /** Messages after which a member is asked again at the same checkpoint. */
    private static final int AGAIN = 64;

    private final Raft raft;
    private final TreeMap<Long, String> own = new TreeMap<>();
    /** What the others hold at the newest checkpoint of this leader. */
    private final Map<String, String> told = new HashMap<>();

    Checkpoints(Raft raft) {
        this.raft = raft;
    }

    void add(long index, String digest) {
        // Another state is in place from this index on, or the same one was gone through again.
        own.tailMap(index, true).clear();
        own.put(index, digest);
        if (own.size() > KEPT) {
            own.pollFirstEntry();
        }
        told.clear();
    }

    // ---- the leader's side

    void clear() {
        told.clear();
    }

    /** Asks for the digest where it is not known yet, so that a quiet group sends nothing more for it. */
    void ask(Follower f, ObjectNode m) {
        if (!own.isEmpty() && f.renewFrom < 0 && (!told.containsKey(f.id) || f.sent % AGAIN == 0)) {
            m.put("check", own.lastKey());
        }
        if (f.differs) {
            m.put("differs", true);
        }
    }

    /** It has another state now than it had told. */
    void forget(String id) {
        told.remove(id);
    }

    void heard(Follower f, JsonNode asked, JsonNode a) {
        if (f.renewFrom >= 0) {
            // It knows, and asks for a snapshot by itself.
            f.differs = false;
            told.remove(f.id);
        } else if (asked.has("check")
                && a.has("state")
                && !own.isEmpty()
                && asked.path("check").asLong() == own.lastKey()) {
            told.put(f.id, a.path("state").asText());
            judge(own.lastKey(), own.lastEntry().getValue());
        }
    }

    private void judge(long index, String mine) {
        Map<String, String> states = new HashMap<>();
        boolean all = true;
        for (String v : raft.voters()) {
            Follower f = raft.replication.follower(v);
            String state = v.equals(raft.self) ? mine : told.get(v);
            if (state != null) {
                states.put(v, state);
            } else if (f != null && raft.clock.now() - f.heard < raft.times.election() * 2) {
                all = false;
            }
        }
        if (states.values().stream()
                .anyMatch(s -> !s.equals(mine) && raft.group().majority(v -> s.equals(states.get(v))))) {
            raft.log.say(
                    Event.STATE_DIFFERS, "member", raft.self, "index", index, "why", "a majority holds another state");
            raft.unfit();
            raft.stepDown(raft.term(), "state differs");
            return;
        }
        if (!raft.group().majority(v -> mine.equals(states.get(v))) && !all) {
            return;
        }
        told.forEach((id, state) -> {
            Follower f = raft.replication.follower(id);
            if (f != null && !f.differs && !state.equals(mine)) {
                f.differs = true;
                raft.log.say(Event.STATE_DIFFERS, "member", id, "index", index, "leader", raft.self);
            }
        });
    }

    // ---- the follower's side

    /** Adds to an answer what the leader asked for. */
    void answer(JsonNode m, ObjectNode out) {
        String state = m.has("check") ? own.get(m.path("check").asLong()) : null;
        if (state != null) {
            out.put("state", state);
        }
    }
}
