package bramblespool.raft;

import bramblespool.state.Log.Event;
import bramblespool.state.Voters;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who the voters are, and how the leader comes from those there are to those that are wanted: by joint consensus, so that
 * one change swaps members, and on its way needs no more of the living than the groups before and after it.
 */
final class Configuration {
    /** How many times {@code absent} a new voter may take to settle before the group goes on without waiting for it. */
    private static final int SETTLES = 4;

    private final Raft raft;
    private final int wanted;
    /** Members that have asked to be taken in, or to be let go, and when they last did. */
    private final Map<String, Long> learners = new HashMap<>();

    private final Map<String, Long> leavers = new HashMap<>();
    /** Voters that have not settled, and since when. */
    private final Map<String, Long> unsettled = new HashMap<>();

    Configuration(Raft raft, int wanted) {
        this.raft = raft;
        this.wanted = wanted;
    }

    Set<String> learners() {
        return learners.keySet();
    }

    void join(String id) {
        learners.put(id, raft.clock.now());
    }

    void clear() {
        learners.clear();
        leavers.clear();
        unsettled.clear();
    }

    /**
     * A member wants to go. True once it may: all that is agreed lies on as many other disks as are wanted, and its place is
     * taken or nobody stands ready to take it.
     */
    boolean leave(String id) {
        long now = raft.clock.now();
        leavers.put(id, now);
        if (raft.group().joint()) {
            return false;
        }
        boolean spare =
                spares(now).stream().anyMatch(s -> !s.equals(id)) || now - raft.leadingSince < raft.times.election();
        return !raft.voters().contains(id) || !spare && raft.replication.agreedWithout(id);
    }

    /** One change at a time towards the wanted voters. */
    void step(long now) {
        learners.entrySet().removeIf(l -> now - Math.max(l.getValue(), heard(l.getKey())) > raft.times.absent() * 2);
        leavers.values().removeIf(t -> now - t > raft.times.absent());
        if (!raft.leads() || raft.entries.changesVoters(raft.commit)) {
            return;
        }
        Voters group = raft.group();
        unsettled.keySet().retainAll(group.all());
        // A new voter first reads what only the others hold: one change more, and no majority might have it. All are
        // looked at,
        // for each has a time of its own.
        if (group.all().stream().filter(v -> unsettled(v, now)).count() > 0) {
            return;
        }
        if (group.joint()) {
            raft.append(RaftLog.members(Voters.read(group.after())), ok -> {});
            return;
        }
        List<String> next = next(group.all(), now);
        if (!next.equals(group.all()) && suffice(Voters.read(next), now)) {
            next.stream().filter(v -> !group.contains(v)).forEach(v -> raft.log.say(Event.MEMBER_ADDED, "member", v));
            group.all().stream()
                    .filter(v -> !next.contains(v))
                    .forEach(v -> raft.log.say(Event.MEMBER_REMOVED, "member", v));
            raft.append(RaftLog.members(group.to(next)), ok -> {});
        }
    }

    /** The voters that are wanted now: each that is gone or leaves gives way to a spare one, as far as there are some. */
    private List<String> next(List<String> voters, long now) {
        List<String> out = new ArrayList<>(voters);
        List<String> spares = spares(now);
        List<String> going = new ArrayList<>(gone(voters, now));
        voters.stream()
                .filter(v -> leavers.containsKey(v) && !v.equals(raft.self) && !going.contains(v))
                .forEach(going::add);
        for (String g : going) {
            if (out.size() > wanted) {
                out.remove(g);
            } else if (!spares.isEmpty()) {
                out.set(out.indexOf(g), spares.remove(0));
            }
        }
        while (out.size() < wanted && !spares.isEmpty()) {
            out.add(spares.remove(0));
        }
        return out;
    }

    private long heard(String id) {
        Follower f = raft.replication.follower(id);
        return f == null ? 0 : f.heard;
    }

    /** Learners that could be voters now; those at the address of a voter first, for that one's disk is gone. */
    private List<String> spares(long now) {
        List<String> out = new ArrayList<>();
        for (String l : learners.keySet()) {
            if (!raft.voters().contains(l) && !leavers.containsKey(l) && caughtUp(l, now)) {
                out.add(raft.voters().stream().anyMatch(v -> sameAddress(v, l)) ? 0 : out.size(), l);
            }
        }
        return out;
    }

    /** Voters whose disk is gone, for another one answers at their address, or that have been silent for too long. */
    private List<String> gone(List<String> voters, long now) {
        List<String> replaced = new ArrayList<>();
        List<String> absent = new ArrayList<>();
        for (String v : voters) {
            long silent = now - heard(v);
            if (v.equals(raft.self)) {
                continue;
            }
            if (silent > raft.times.election()
                    && (voters.stream().anyMatch(o -> sameAddress(o, v) && caughtUp(o, now))
                            || learners.keySet().stream().anyMatch(l -> sameAddress(l, v) && caughtUp(l, now)))) {
                replaced.add(v);
            } else if (silent > raft.times.absent() && now - raft.leadingSince > raft.times.election()) {
                absent.add(v);
            }
        }
        replaced.addAll(absent);
        return replaced;
    }

    private static boolean sameAddress(String a, String b) {
        return !a.equals(b) && Raft.addressOf(a).equals(Raft.addressOf(b));
    }

    /** Whether those that answer can agree on things as that group. */
    private boolean suffice(Voters group, long now) {
        return group.enough(v -> caughtUp(v, now), raft.copies);
    }

    private boolean unsettled(String id, long now) {
        Follower f = raft.replication.follower(id);
        boolean is = id.equals(raft.self)
                ? !raft.machine.settled()
                : f != null && now - f.heard < raft.times.election() && !f.settled;
        if (!is) {
            unsettled.remove(id);
            return false;
        }
        return now - unsettled.computeIfAbsent(id, i -> now) < raft.times.absent() * SETTLES;
    }

    private boolean caughtUp(String id, long now) {
        if (id.equals(raft.self)) {
            return true;
        }
        Follower f = raft.replication.follower(id);
        return f != null && f.match >= raft.commit && now - f.heard < raft.times.election();
    }
}
