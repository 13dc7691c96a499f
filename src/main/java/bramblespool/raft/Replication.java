package bramblespool.raft;

import bramblespool.state.Log.Event;
import bramblespool.state.Vault;
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
            Follower f = followers.computeIfAbsent(id, i -> new Follower(i, raft.entries.last() + 1, raft.lastHeard(i, now)));
            if (!f.busy) {
                if (atOnce || f.next <= raft.entries.last() || now - f.ackedSent >= raft.times.heartbeat()) {
                    send(f);
                }
            } else if (atOnce) {
                f.again = true;
            }
        }
    }

    private void send(Follower f) {
        f.busy = true;
        f.again = false;
        long inTerm = raft.term();
        long sentAt = raft.clock.now();
        long number = ++f.sent;
        RaftLog entries = raft.entries;
        ObjectNode m = raft.message(f.id).put("term", inTerm).put("control", raft.control).put("n", number).put("answered", f.answered)
                .put("right", raft.rights.granting());
        String kind;
        long upTo;
        if (f.next <= entries.base()) {
            kind = "snap";
            Vault.Snapshot s = entries.snapshot();
            upTo = s.index();
            m.put("index", s.index()).put("lastTerm", s.term()).put("data", s.data());
            ArrayNode v = m.putArray("voters");
            s.voters().forEach(v::add);
        } else {
            kind = "append";
            long prev = f.next - 1;
            upTo = Math.min(entries.last(), prev + ENTRIES_AT_ONCE);
            m.put("prevIndex", prev).put("prevTerm", entries.termAt(prev)).put("commit", raft.commit);
            ArrayNode list = m.putArray("entries");
            for (long i = f.next; i <= upTo; i++) {
                Vault.Entry e = entries.get(i);
                list.addObject().put("term", e.term()).put("data", e.data());
            }
        }
        raft.wire.call(Raft.addressOf(f.id), kind, m, raft.times.call(), a -> {
            f.busy = false;
            if (raft.role != Raft.Role.LEADER || raft.term() != inTerm || followers.get(f.id) != f) {
                return;
            }
            if (a == null) {
                return;
            }
            if (a.path("term").asLong() > raft.term()) {
                raft.stepDown(a.path("term").asLong(), "newer term");
                return;
            }
            f.heard = raft.clock.now();
            f.answered = number;
            f.settled = a.path("settled").asBoolean();
            f.ackedSent = Math.max(f.ackedSent, sentAt);
            if (a.path("ok").asBoolean()) {
                f.match = Math.max(f.match, upTo);
                f.next = f.match + 1;
                advance();
            } else {
                f.next = Math.max(1, Math.min(f.next - 1, a.path("hint").asLong() + 1));
                f.again = true;
            }
            raft.reads.settle();
            if (raft.role == Raft.Role.LEADER && (f.again || f.next <= raft.entries.last() || !raft.reads.isEmpty())) {
                send(f);
            }
        });
    }

    /** Own entries are on the disk. */
    void stored(long index) {
        durable = Math.max(durable, index);
        advance();
    }

    /** Whether all that is agreed lies on as many disks as are wanted without that member's. */
    boolean agreedWithout(String id) {
        List<String> others = raft.voters().stream().filter(v -> !v.equals(id)).toList();
        long there = others.stream().filter(v -> (v.equals(raft.self) ? durable : match(v)) >= raft.commit).count();
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
        RaftLog entries = raft.entries;
        long prev = m.path("prevIndex").asLong();
        if (prev > entries.last() || prev >= entries.base() && entries.termAt(prev) != m.path("prevTerm").asLong()) {
            answer.accept(raft.reply(false).put("hint", Math.min(entries.last(), prev - 1)));
            return;
        }
        List<Vault.Entry> added = new ArrayList<>();
        long truncate = 0;
        long at = prev;
        for (JsonNode n : m.path("entries")) {
            at++;
            if (at <= entries.base()) {
                continue;
            }
            long et = n.path("term").asLong();
            if (at <= entries.last() && entries.termAt(at) != et) {
                truncate = at;
                durable = Math.min(durable, at - 1);
                entries.truncate(at);
            }
            if (at > entries.last()) {
                Vault.Entry e = new Vault.Entry(at, et, n.path("data").asText());
                entries.add(e);
                added.add(e);
            }
        }
        long newCommit = Math.min(m.path("commit").asLong(), at);
        ObjectNode yes = raft.reply(true);
        if (added.isEmpty() && truncate == 0 && raft.vault.waitingSince() < 0) {
            answer.accept(yes);
        } else {
            raft.persist(truncate, added, null, () -> answer.accept(yes));
        }
        if (newCommit > raft.commit) {
            raft.commit = newCommit;
            raft.apply();
        }
    }

    void install(JsonNode m, Consumer<ObjectNode> answer) {
        long index = m.path("index").asLong();
        ObjectNode yes = raft.reply(true);
        if (index <= raft.commit) {
            answer.accept(yes);
            return;
        }
        List<String> voters = new ArrayList<>();
        m.path("voters").forEach(v -> voters.add(v.asText()));
        Vault.Snapshot s = new Vault.Snapshot(index, m.path("lastTerm").asLong(), voters, m.path("data").asText());
        raft.restore(s);
        raft.log.say(Event.SNAPSHOT_INSTALLED, "index", index);
        raft.persist(1, List.of(), s, () -> answer.accept(yes));
    }
}
