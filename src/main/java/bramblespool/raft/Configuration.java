package bramblespool.raft;

import bramblespool.state.Log.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Who the voters are, and how the leader comes from those there are to those that are wanted, one change at a time. */
final class Configuration {
    private final Raft raft;
    private final int wanted;
    /** Members that have asked to be taken in, and when they last did. */
    private final Map<String, Long> learners = new HashMap<>();

    Configuration(Raft raft, int wanted) {
        this.raft = raft;
        this.wanted = wanted;
    }

    Set<String> learners() {
        return learners.keySet();
    }

    void asked(String id) {
        learners.put(id, raft.clock.now());
    }

    void clear() {
        learners.clear();
    }

    /** One step at a time towards the wanted voters. */
    void step(long now) {
        learners.values().removeIf(t -> now - t > raft.times.absent());
        if (!raft.leads() || raft.entries.changesVoters(raft.commit)) {
            return;
        }
        List<String> voters = raft.voters();
        // A new voter first reads what only the others hold: one change more, and no majority might have it.
        if (voters.stream().anyMatch(v -> unsettled(v, now))) {
            return;
        }
        for (String v : voters) {
            boolean replaced = voters.stream().anyMatch(o -> !o.equals(v) && Raft.addressOf(o).equals(Raft.addressOf(v))
                    && caughtUp(o, now));
            if (replaced && !caughtUp(v, now)) {
                change(voters, v, null);
                return;
            }
        }
        String absent = null;
        if (now - raft.leadingSince > raft.times.absent()) {
            for (String v : voters) {
                Follower f = raft.replication.follower(v);
                if (!v.equals(raft.self) && (f == null || now - f.heard > raft.times.absent())) {
                    absent = v;
                }
            }
        }
        if (absent != null && voters.size() > wanted) {
            change(voters, absent, null);
            return;
        }
        for (String l : learners.keySet()) {
            if (voters.contains(l) || !caughtUp(l, now)) {
                continue;
            }
            boolean successor = voters.stream().anyMatch(v -> Raft.addressOf(v).equals(Raft.addressOf(l)));
            if (successor || voters.size() < wanted || absent != null && voters.size() == wanted) {
                change(voters, null, l);
                return;
            }
        }
    }

    private boolean unsettled(String id, long now) {
        Follower f = raft.replication.follower(id);
        return id.equals(raft.self) ? !raft.machine.settled()
                : f != null && now - f.heard < raft.times.election() && !f.settled;
    }

    private boolean caughtUp(String id, long now) {
        if (id.equals(raft.self)) {
            return true;
        }
        Follower f = raft.replication.follower(id);
        return f != null && f.match >= raft.commit && now - f.heard < raft.times.election();
    }

    private void change(List<String> voters, String less, String more) {
        List<String> then = new ArrayList<>(voters);
        then.remove(less);
        if (more != null) {
            then.add(more);
        }
        raft.log.say(more != null ? Event.MEMBER_ADDED : Event.MEMBER_REMOVED, "member", more != null ? more : less);
        raft.append(RaftLog.members(then), ok -> { });
    }
}
