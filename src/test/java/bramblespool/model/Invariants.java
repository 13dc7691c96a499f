package bramblespool.model;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.coordination.dataplane.DataPlaneNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.DurableStore;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What must hold after every event, seen from outside: in messages, on disks, in ledgers and in answers. */
final class Invariants implements SimWorld.Tap {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An acknowledgement is under way for no longer than this. */
    private static final long LATELY = 1000;

    private record Vote(long term, String on) {}

    private record Place(long index, long term) {}

    /** What an entry is, and the term of the one before it. */
    private record Content(String data, long before) {}

    private final SimMesh mesh;
    private final History history;
    private final int copies;
    private final Map<Long, String> leaders = new HashMap<>();
    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<Place, Content> entries = new HashMap<>();
    private final Map<Long, DurableStore.LogEntry> agreed = new HashMap<>();
    private final Map<Long, String> states = new HashMap<>();
    private final Map<ControllerNode, Long> applied = new IdentityHashMap<>();
    private final Map<ControllerNode, Long> led = new IdentityHashMap<>();
    private final Map<DataPlaneNode, Long> epochs = new IdentityHashMap<>();
    private final Map<Long, String> stamps = new HashMap<>();
    private final Map<DurableStore.PersistentState, Long> lost = new IdentityHashMap<>();
    private long highestAcked;
    private long highestTerm;

    Invariants(SimMesh mesh, History history, int losses) {
        this.mesh = mesh;
        this.history = history;
        this.copies = losses + 1;
    }

    // ---- messages

    @Override
    public void sent(SimWorld.Machine from, String kind, ObjectNode body) {
        if (RaftView.fromLeader(kind)) {
            leads(body.path("term").asLong(), body.path("from").asText());
        }
    }

    /** Whoever answers yes to a vote or to entries has them on its disk. */
    @Override
    public void answered(SimWorld.Machine by, String kind, JsonNode request, JsonNode answer) {
        boolean vote = kind.equals("vote")
                && !request.path("pre").asBoolean()
                && answer.path("ok").asBoolean();
        long told = RaftView.told(kind, request, answer);
        if (!vote && told == 0) {
            return;
        }
        DurableStore.PersistentState s = by.disk.load();
        String member = by.peer + "#" + s.incarnation();
        long term = request.path("term").asLong();
        if (vote) {
            vote(member, term, request.path("from").asText());
        }
        if (s.currentTerm() > term) {
            return;
        }
        long base = s.snapshot() == null ? 0 : s.snapshot().index();
        long last = s.entries().isEmpty()
                ? base
                : s.entries().get(s.entries().size() - 1).index();
        if (vote ? s.currentTerm() < term || !request.path("from").asText().equals(s.votedFor()) : last < told) {
            throw new Broken("DurableBeforeTold", member + " says yes to " + kind + " before its disk has it");
        }
    }

    private void vote(String member, long term, String on) {
        Vote v = votes.get(member);
        if (v != null && v.term == term && !v.on.equals(on)) {
            throw new Broken("OneVoteATerm", member + " votes for " + v.on + " and " + on + " in term " + term);
        }
        if (v == null || v.term < term) {
            votes.put(member, new Vote(term, on));
        }
    }

    private void leads(long term, String member) {
        highestTerm = Math.max(highestTerm, term);
        String other = leaders.putIfAbsent(term, member);
        if (other != null && !other.equals(member)) {
            throw new Broken("OneLeaderATerm", other + " and " + member + " lead in term " + term);
        }
    }

    // ---- disks

    @Override
    public void wrote(
            SimWorld.Machine at,
            DurableStore.Change c,
            DurableStore.PersistentState before,
            DurableStore.PersistentState after) {
        String member = at.peer + "#" + after.incarnation();
        if (c.currentTerm() < before.currentTerm()) {
            throw new Broken(
                    "TermsOnlyRise", member + " goes from term " + before.currentTerm() + " to " + c.currentTerm());
        }
        if (c.votedFor() != null) {
            vote(member, c.currentTerm(), c.votedFor());
        }
        if (c.truncateFrom() > 0 && c.truncateFrom() <= before.commitIndex() && c.snapshot() == null) {
            throw new Broken("AgreedStays", member + " drops what it held as agreed, from " + c.truncateFrom());
        }
        if (c.snapshot() != null
                && before.snapshot() != null
                && c.snapshot().index() < before.snapshot().index()) {
            throw new Broken("AgreedStays", member + " takes an older snapshot");
        }
        if (c.snapshot() != null) {
            state(c.snapshot().index(), RaftView.state(c.snapshot()), member);
        }
        match(member, c, after);
    }

    private void match(String member, DurableStore.Change c, DurableStore.PersistentState after) {
        List<DurableStore.LogEntry> log = after.entries();
        for (int i = log.size() - 1; i >= 0; i--) {
            DurableStore.LogEntry e = log.get(i);
            DurableStore.LogEntry one = i > 0 ? log.get(i - 1) : null;
            if (one != null && one.index() != e.index() - 1) {
                throw new Broken("LogsMatch", member + " has a gap before " + e.index());
            }
            if (i < log.size() - c.appendedEntries().size()) {
                break;
            }
            long termBefore = one != null
                    ? one.term()
                    : after.snapshot() != null ? after.snapshot().term() : -1;
            Content content = new Content(e.data(), termBefore);
            Content other = entries.putIfAbsent(new Place(e.index(), e.term()), content);
            if (other != null
                    && (!other.data.equals(content.data)
                            || other.before >= 0 && termBefore >= 0 && other.before != termBefore)) {
                throw new Broken("LogsMatch", member + " differs at " + e.index() + " of term " + e.term());
            }
        }
        for (int i = log.size() - 1; i >= 0; i--) {
            DurableStore.LogEntry e = log.get(i);
            if (e.index() > after.commitIndex()) {
                continue;
            }
            DurableStore.LogEntry known = agreed.putIfAbsent(e.index(), e);
            if (known == e
                    || known != null
                            && known.equals(e)
                            && i < log.size() - c.appendedEntries().size() - 8) {
                break;
            }
            if (known != null && !known.equals(e)) {
                throw new Broken("AgreedStays", member + " holds another entry " + e.index() + " as agreed");
            }
        }
    }

    /** Whether this disk has a change's candidate and its decision, or a snapshot that knows it as taken. */
    private static boolean holds(DurableStore.PersistentState s, History.Change c) {
        boolean decided = false;
        for (int i = s.entries().size() - 1; i >= 0; i--) {
            String data = s.entries().get(i).data();
            boolean candidate = data.startsWith("{\"k\":\"candidate\"");
            if ((candidate || data.startsWith("{\"k\":\"decide\""))
                    && read(data).path("epoch").asLong() == c.number) {
                if (candidate && decided) {
                    return data.contains(c.digest);
                }
                decided = !candidate;
            }
        }
        return s.snapshot() != null && s.snapshot().data() != null && folded(s).isCommitted(c.digest);
    }

    /** Who folds what a disk holds into a ledger: what this helm would know were it alone and all there agreed. */
    private static ReplicatedState folded(DurableStore.PersistentState s) {
        ReplicatedState out = new ReplicatedState();
        if (s.snapshot() != null && s.snapshot().data() != null) {
            out.restore(read(RaftView.state(s.snapshot())));
        }
        s.entries().forEach(e -> out.apply(e.index(), read(e.data())));
        return out;
    }

    private static JsonNode read(String data) {
        try {
            return JSON.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- answers

    /** A disk is about to be lost: for a moment it counts among those that an entry had reached. */
    void wiped(SimWorld.Machine m) {
        if (m.disk.load() != null) {
            lost.put(m.disk.load(), mesh.world.now());
        }
    }

    private List<DurableStore.PersistentState> disks() {
        List<DurableStore.PersistentState> out = new ArrayList<>();
        mesh.world.machines().forEach(m -> out.add(m.disk.load()));
        lost.values().removeIf(at -> mesh.world.now() - at > LATELY);
        out.addAll(lost.keySet());
        out.removeIf(s -> s == null);
        return out;
    }

    void acknowledged(History.Change c) {
        highestAcked = Math.max(highestAcked, c.number);
        int held = 0;
        for (DurableStore.PersistentState s : disks()) {
            if (holds(s, c)) {
                held++;
            }
        }
        if (held < copies) {
            throw new Broken("AcknowledgedOnEnoughDisks", c + " is on " + held + " disks as it is acknowledged");
        }
    }

    void evacuationAcknowledged(String zone, boolean on) {
        int held = 0;
        for (DurableStore.PersistentState s : disks()) {
            ReplicatedState.Evacuation e = folded(s).evacuations().get(zone);
            if (e == null ? !on : e.isEvacuated() == on) {
                held++;
            }
        }
        if (held < copies) {
            throw new Broken("AcknowledgedOnEnoughDisks", "evacuation of " + zone + " is on " + held + " disks");
        }
    }

    // ---- after each event

    void check() {
        for (ControllerNode h : mesh.helms.values()) {
            long at = RaftView.applied(h);
            Long before = applied.get(h);
            if (before == null || before != at) {
                if (before != null && at < before) {
                    throw new Broken("AgreedStays", RaftView.member(h) + " goes back from " + before + " to " + at);
                }
                applied.put(h, at);
                JsonNode s = h.replicatedState().snapshot();
                state(at, s.toString(), RaftView.member(h));
                Map<String, Long> versions = new LinkedHashMap<>();
                s.path("taken")
                        .fields()
                        .forEachRemaining(
                                f -> versions.put(f.getKey(), f.getValue().asLong()));
                history.agreed(versions);
                stamp(h.replicatedState().current());
                stamp(h.replicatedState().previous());
            }
            if (RaftView.leads(h)) {
                Long term = led.get(h);
                if (term == null || term != RaftView.term(h)) {
                    led.put(h, RaftView.term(h));
                    beginsToLead(h);
                }
            }
        }
        mesh.wefts.forEach(this::weft);
    }

    /** Two helms that have applied the same entries know the same. */
    private void state(long index, String state, String member) {
        String other = states.putIfAbsent(index, state);
        if (other != null && !other.equals(state)) {
            throw new Broken("StatesMatch", member + " differs at " + index + ": " + state + " from " + other);
        }
    }

    private void stamp(ReplicatedState.Version v) {
        if (v.epoch() > 0) {
            String s = RoutingConfiguration.stampOf(v.compressedDocument());
            String other = stamps.putIfAbsent(v.epoch(), s);
            if (other != null && !other.equals(s)) {
                throw new Broken("AgreedStays", "two documents are agreed as " + v.epoch());
            }
        }
    }

    private void beginsToLead(ControllerNode h) {
        leads(RaftView.term(h), RaftView.member(h));
        if (RaftView.term(h) == highestTerm && h.replicatedState().current().epoch() < highestAcked) {
            throw new Broken(
                    "NobodyLeadsWithOldState",
                    RaftView.member(h) + " leads term " + highestTerm + " with version "
                            + h.replicatedState().current().epoch() + ", " + highestAcked + " was acknowledged");
        }
    }

    private void weft(String peer, DataPlaneNode w) {
        long e = w.shadowCommit.epoch();
        Long before = epochs.get(w);
        if (before != null && before == e) {
            return;
        }
        if (before != null && e < before) {
            throw new Broken("SidesNeverGoBack", peer + " goes from " + before + " to " + e);
        }
        epochs.put(w, e);
        if (e > 0 && !w.shadowCommit.realConfiguration().stamp.equals(stamps.get(e))) {
            throw new Broken("SidesUseWhatIsAgreed", peer + " uses a version " + e + " that is not agreed");
        }
    }
}
