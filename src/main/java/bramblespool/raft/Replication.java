package bramblespool.raft;

import bramblespool.state.Log.Event;
import bramblespool.state.Vault;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** How entries and snapshots come from the leader to the others, and when they are agreed. */
final class Replication {
    private static final int ENTRIES_AT_ONCE = 64;

    private final Raft raft;
    private final Map<String, Follower> followers = new LinkedHashMap<>();
    /** The highest index of this member's own log that is on its disk. */
    private long durable;
    /** What comes to this follower in parts, or null. */
    private Incoming incoming;

    Replication(Raft raft) {
        this.raft = raft;
        this.durable = raft.entries.last();
    }

    Follower follower(String id) {
        return followers.get(id);
    }

    /** The highest index known to be on that member's disk. */
    private long match(String id) {
        Follower f = followers.get(id);
        return f == null ? 0 : f.match;
    }

    /** When that was sent which the member has answered last. */
    long acked(String id) {
        Follower f = followers.get(id);
        return f == null ? 0 : f.ackedSent;
    }

    /** Whether the member has answered since then. */
    boolean heard(String id, long since) {
        Follower f = followers.get(id);
        return f != null && f.heard > since;
    }

    void clear() {
        followers.clear();
    }

    // ---- the leader's side

    void replicate(boolean atOnce) {
        if (raft.role != Raft.Role.LEADER) {
            return;
        }
        List<String> to = new ArrayList<>(raft.voters());
        raft.configuration.learners().forEach(l -> {
            if (!to.contains(l)) {
                to.add(l);
            }
        });
        to.remove(raft.self);
        followers.keySet().removeIf(id -> !to.contains(id));
        long now = raft.clock.now();
        for (String id : to) {
            Follower f = followers.computeIfAbsent(
                    id, i -> new Follower(i, raft.entries.last() + 1, raft.lastHeard(i, now)));
            if (!f.busy) {
                if (atOnce
                        || f.next <= raft.entries.last()
                        || f.match < f.next - 1
                        || now - f.ackedSent >= raft.times.heartbeat()) {
                    send(f);
                }
            } else {
                f.again |= atOnce;
                if (f.loaded && now - Math.max(f.busySince, f.beatSent) >= raft.times.heartbeat()) {
                    beat(f, now);
                }
            }
        }
    }

    private void send(Follower f) {
        choose(f);
        long now = raft.clock.now();
        // Whoever is silent is first asked whether it is there.
        boolean silent = now - f.heard > raft.times.election() * 2;
        ObjectNode m = addressed(f);
        if (f.transfer != null) {
            sendPart(f, m, silent || !f.transfer.asked ? 0 : f.room());
        } else {
            sendEntries(f, m, silent ? 0 : f.room());
        }
    }

    private ObjectNode addressed(Follower f) {
        ObjectNode m = raft.message(f.id)
                .put("term", raft.term())
                .put("control", raft.control)
                .put("n", ++f.sent)
                .put("answered", f.answered)
                .put("right", raft.rights.granting());
        raft.checkpoints.ask(f, m);
        return m;
    }

    /** What goes to it next: a snapshot where entries are gone or are more than that, or an entry too large for one message. */
    private void choose(Follower f) {
        RaftLog entries = raft.entries;
        if (f.transfer != null
                && f.transfer.entry != null
                && (f.renewFrom >= 0
                        || f.next != f.transfer.index()
                        || entries.termAt(f.next) != f.transfer.entry.term())) {
            f.transfer = null;
        }
        if (f.transfer != null
                && f.transfer.snapshot != null
                && (!f.transfer.asked || raft.clock.now() - f.heard > raft.times.absent())) {
            f.transfer = null;
        }
        if (f.transfer != null) {
            // One that is under way is finished, also when a newer one is there: else it might never end.
            return;
        }
        if (f.renewFrom >= 0 && (entries.base() < f.renewFrom || entries.base() == 0)) {
            raft.fold();
        }
        if (f.renewFrom >= 0
                || f.next <= entries.before()
                || f.next <= entries.base()
                        && entries.letters(f.next, entries.base())
                                > entries.snapshot().data().length()) {
            f.transfer = new Transfer(entries.snapshot());
        } else if (f.next <= entries.last() && entries.get(f.next).data().length() > f.room()) {
            f.transfer = new Transfer(entries.get(f.next));
        }
    }

    private void sendEntries(Follower f, ObjectNode m, int room) {
        RaftLog entries = raft.entries;
        long prev = f.next - 1;
        long upTo = prev;
        m.put("prevIndex", prev).put("prevTerm", entries.termAt(prev)).put("commit", raft.commit);
        ArrayNode list = m.putArray("entries");
        int load = 0;
        while (upTo < entries.last()
                && upTo - prev < ENTRIES_AT_ONCE
                && load + entries.get(upTo + 1).data().length() <= room) {
            Vault.Entry e = entries.get(++upTo);
            load += e.data().length();
            list.addObject().put("term", e.term()).put("data", e.data());
        }
        long sentUpTo = upTo;
        call(f, "append", m, load, a -> {
            if (a.path("ok").asBoolean()) {
                taken(f, sentUpTo, a);
            } else {
                f.next = Math.max(1, Math.min(f.next - 1, a.path("hint").asLong() + 1));
                f.again = true;
            }
        });
    }

    private void sendPart(Follower f, ObjectNode m, int room) {
        Transfer t = f.transfer;
        String part = t.data.substring(t.offset, Math.min(t.data.length(), t.offset + room));
        m.put("id", t.id)
                .put("index", t.index())
                .put("size", t.data.length())
                .put("offset", t.offset)
                .put("data", part);
        if (t.snapshot != null) {
            m.put("lastTerm", t.snapshot.term());
            ArrayNode v = m.putArray("voters");
            t.snapshot.voters().forEach(v::add);
        } else {
            m.put("prevIndex", f.next - 1)
                    .put("prevTerm", raft.entries.termAt(f.next - 1))
                    .put("entryTerm", t.entry.term())
                    .put("commit", raft.commit);
        }
        call(f, "part", m, part.length(), a -> {
            f.again = true;
            if (!a.path("ok").asBoolean()) {
                f.transfer = null;
                if (a.has("hint")) {
                    f.next = Math.max(1, Math.min(f.next - 1, a.path("hint").asLong() + 1));
                }
            } else if (a.has("have")) {
                f.snapshots += t.asked ? 0 : 1;
                t.asked = true;
                t.offset = Math.max(0, Math.min(t.data.length(), a.path("have").asInt()));
            } else {
                f.transfer = null;
                if (t.snapshot != null) {
                    f.differs = false;
                    raft.checkpoints.forget(f.id);
                }
                taken(f, t.index(), a);
            }
        });
    }

    /** Sends one message with so much in it, and takes what every answer tells before what this one does. */
    private void call(Follower f, String kind, ObjectNode m, int load, Consumer<JsonNode> then) {
        long sentAt = raft.clock.now();
        f.busy = true;
        f.again = false;
        f.loaded = load > 0;
        f.busySince = sentAt;
        long inTerm = raft.term();
        raft.wire.call(Raft.addressOf(f.id), kind, m, f.limit(raft.times, load, kind.equals("part")), a -> {
            f.busy = false;
            if (a == null) {
                f.missed(load);
            } else if (heard(f, inTerm, m, sentAt, a)) {
                if (!a.has("stored")) {
                    f.took(raft.clock.now() - sentAt, load, raft.times);
                }
                then.accept(a);
                raft.reads.settle();
                if (raft.role == Raft.Role.LEADER
                        && followers.get(f.id) == f
                        && (f.again || f.next <= raft.entries.last() || !raft.reads.isEmpty())) {
                    send(f);
                }
            }
        });
    }

    private boolean heard(Follower f, long inTerm, ObjectNode m, long sentAt, JsonNode a) {
        if (raft.role != Raft.Role.LEADER || raft.term() != inTerm || followers.get(f.id) != f) {
            return false;
        }
        if (a.path("term").asLong() > raft.term()) {
            raft.stepDown(a.path("term").asLong(), "newer term");
            return false;
        }
        f.heard = raft.clock.now();
        f.answered = Math.max(f.answered, m.path("n").asLong());
        f.settled = a.path("settled").asBoolean();
        f.ackedSent = Math.max(f.ackedSent, sentAt);
        f.renewFrom = a.path("renew").asLong(-1);
        raft.checkpoints.heard(f, m, a);
        return raft.role == Raft.Role.LEADER;
    }

    /** A heartbeat beside a message that takes long to cross a slow link or to reach a slow disk. */
    private void beat(Follower f, long now) {
        f.beatSent = now;
        long inTerm = raft.term();
        ObjectNode m = addressed(f);
        raft.wire.call(Raft.addressOf(f.id), "heartbeat", m, raft.times.call(), a -> {
            if (a != null && heard(f, inTerm, m, now, a)) {
                raft.reads.settle();
            }
        });
    }

    /** It holds everything up to an index, and has it on its disk as well unless it says how far that is. */
    private void taken(Follower f, long upTo, JsonNode a) {
        f.match = Math.max(f.match, Math.min(upTo, a.path("stored").asLong(upTo)));
        f.next = Math.max(f.match, upTo) + 1;
        if (f.match >= raft.commit) {
            f.snapshots = 0;
        }
        advance();
    }

    List<Progress> progress() {
        long now = raft.clock.now();
        List<Progress> out = new ArrayList<>();
        for (Follower f : followers.values()) {
            Transfer t = f.transfer;
            out.add(new Progress(
                    f.id,
                    f.match,
                    raft.entries.last() - f.match,
                    t == null ? 0 : t.offset,
                    t == null ? 0 : t.data.length(),
                    f.snapshots,
                    now - f.heard,
                    f.differs || f.renewFrom >= 0));
        }
        return out;
    }

    /** Own entries are on the disk. */
    void stored(long index) {
        durable = Math.max(durable, index);
        advance();
    }

    /** Whether all that is agreed lies on as many disks as are wanted without that member's. */
    boolean agreedWithout(String id) {
        List<String> others = raft.voters().stream().filter(v -> !v.equals(id)).toList();
        long there = others.stream()
                .filter(v -> (v.equals(raft.self) ? durable : match(v)) >= raft.commit)
                .count();
        return there >= Math.min(raft.copies, others.size());
    }

    /** A voter that has all of this leader's log, or null. */
    String heir() {
        for (String v : raft.voters()) {
            Follower f = followers.get(v);
            if (f != null && f.match == raft.entries.last() && raft.clock.now() - f.heard < raft.times.election()) {
                return v;
            }
        }
        return null;
    }

    private void advance() {
        long agreed = raft.group().reached(v -> v.equals(raft.self) ? durable : match(v), raft.copies);
        if (agreed > raft.commit && raft.entries.termAt(agreed) == raft.term()) {
            raft.commit = agreed;
            raft.apply();
            replicate(true);
        }
    }

    // ---- the follower's side

    void appendAsked(JsonNode m, Consumer<ObjectNode> answer) {
        List<Vault.Entry> sent = new ArrayList<>();
        long at = m.path("prevIndex").asLong();
        for (JsonNode n : m.path("entries")) {
            sent.add(new Vault.Entry(
                    ++at, n.path("term").asLong(), n.path("data").asText()));
        }
        append(m, sent, answer);
    }

    private void append(JsonNode m, List<Vault.Entry> sent, Consumer<ObjectNode> answer) {
        RaftLog entries = raft.entries;
        long prev = m.path("prevIndex").asLong();
        if (prev > entries.last()
                || prev >= entries.base()
                        && entries.termAt(prev) != m.path("prevTerm").asLong()) {
            answer.accept(raft.reply(false).put("hint", Math.min(entries.last(), prev - 1)));
            return;
        }
        List<Vault.Entry> added = new ArrayList<>();
        long truncate = 0;
        for (Vault.Entry e : sent) {
            long at = e.index();
            if (at <= entries.base()) {
                continue;
            }
            if (at <= entries.last() && entries.termAt(at) != e.term()) {
                truncate = at;
                durable = Math.min(durable, at - 1);
                entries.truncate(at);
            }
            if (at > entries.last()) {
                entries.add(e);
                added.add(e);
            }
        }
        long newCommit = Math.min(m.path("commit").asLong(), prev + sent.size());
        if (added.isEmpty() && truncate == 0 && raft.vault.waitingSince() < 0) {
            answer.accept(raft.reply(true));
        } else {
            store(truncate, added, null, answer);
        }
        if (newCommit > raft.commit) {
            raft.commit = newCommit;
            raft.apply();
        }
    }

    /**
     * Answers when all this is on the disk, and what was handed to it before. Where that takes long it answers how far the
     * disk is, so that a slow disk is not taken for a slow link, and what follows need not wait for it; unless the disk
     * hangs, for then this member is not to be counted on.
     */
    private void store(long truncate, List<Vault.Entry> added, Vault.Snapshot snapshot, Consumer<ObjectNode> answer) {
        long inTerm = raft.term();
        ObjectNode yes = raft.reply(true);
        Clock.Timer[] early = new Clock.Timer[1];
        boolean[] over = {false};
        raft.persist(truncate, added, snapshot, () -> {
            long last = snapshot != null
                    ? snapshot.index()
                    : added.isEmpty() ? 0 : added.get(added.size() - 1).index();
            long term = snapshot != null
                    ? snapshot.term()
                    : added.isEmpty() ? 0 : added.get(added.size() - 1).term();
            // It may have been cut off again, and another be in its place.
            if (last > 0 && (last <= raft.entries.base() || raft.entries.termAt(last) == term)) {
                durable = Math.max(durable, last);
            }
            if (!over[0]) {
                over[0] = true;
                if (early[0] != null) {
                    early[0].cancel();
                }
                answer.accept(yes);
            }
        });
        early[0] = raft.clock.after(raft.times.heartbeat() / 2, () -> {
            if (!over[0] && raft.term() == inTerm && raft.healthy()) {
                over[0] = true;
                answer.accept(yes.put("stored", durable));
            }
        });
    }

    void partAsked(JsonNode m, Consumer<ObjectNode> answer) {
        long index = m.path("index").asLong();
        boolean ofSnapshot = !m.has("entryTerm");
        if (ofSnapshot && index <= raft.commit && raft.fit()) {
            incoming = null;
            store(0, List.of(), null, answer);
            return;
        }
        if (!ofSnapshot && raft.entries.termAt(index) == m.path("entryTerm").asLong()) {
            incoming = null;
            append(m, List.of(raft.entries.get(index)), answer);
            return;
        }
        String id = m.path("id").asText();
        String from = m.path("from").asText();
        if (incoming == null || !incoming.id.equals(id)) {
            incoming = new Incoming(id, from);
        } else if (!incoming.from.equals(from)) {
            incoming.from = from;
            raft.log.say(
                    Event.TRANSFER_RESUMED,
                    "index",
                    index,
                    "leader",
                    from,
                    "have",
                    incoming.length(),
                    "size",
                    m.path("size").asInt());
        }
        incoming.add(m.path("offset").asInt(), m.path("data").asText());
        if (incoming.length() < m.path("size").asInt()) {
            answer.accept(raft.reply(true).put("have", incoming.length()));
            return;
        }
        String whole = incoming.whole();
        incoming = null;
        if (ofSnapshot) {
            install(m, whole, answer);
        } else {
            append(m, List.of(new Vault.Entry(index, m.path("entryTerm").asLong(), whole)), answer);
        }
    }

    private void install(JsonNode m, String data, Consumer<ObjectNode> answer) {
        long index = m.path("index").asLong();
        String state = Seal.open(data);
        if (state == null || index < raft.entries.base()) {
            raft.log.say(
                    Event.SNAPSHOT_REFUSED,
                    "index",
                    index,
                    "why",
                    state == null ? "digest" : "older than what is here");
            answer.accept(raft.reply(false));
            return;
        }
        List<String> voters = new ArrayList<>();
        m.path("voters").forEach(v -> voters.add(v.asText()));
        Vault.Snapshot s = new Vault.Snapshot(index, m.path("lastTerm").asLong(), voters, data);
        long base = raft.entries.base();
        boolean entriesStay = raft.restore(s, state);
        if (!entriesStay) {
            durable = Math.min(durable, base);
        }
        raft.log.say(Event.SNAPSHOT_INSTALLED, "index", index);
        store(entriesStay ? 0 : 1, List.of(), s, answer);
        raft.apply();
    }
}
