package bramblespool.raft;

import bramblespool.state.Log.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Elections, each after a pre-vote, so that a member that was cut off disturbs nobody when it is back. */
final class Election {
    /** Candidacies in turn, without hearing of a leader, after which the next try comes soon. */
    private static final int QUICK = 2;

    private final Raft raft;
    private long at;
    private int lost;

    Election(Raft raft) {
        this.raft = raft;
        at = raft.clock.now() + soon();
    }

    /** Somebody leads. */
    void over() {
        lost = 0;
    }

    boolean due(long now) {
        return now >= at;
    }

    void postpone() {
        at = raft.clock.now() + raft.times.election() + (long) (raft.clock.chance() * raft.times.election());
    }

    /** Until a first try: short, for the pre-vote of a try too early disturbs nobody. */
    private long soon() {
        return raft.times.heartbeat() + (long) (raft.clock.chance() * raft.times.election() / 2);
    }

    /** The last leader hands over to this member: the others need not wait for that one's silence. */
    void take() {
        campaign(false, true);
    }

    void campaign(boolean pre) {
        campaign(pre, false);
    }

    private void campaign(boolean pre, boolean handed) {
        if (!pre) {
            raft.candidate();
            raft.log.say(Event.ELECTION, "term", raft.term());
            // Where the votes are split each tries again after a time of its own, longer than an answer should take.
            if (++lost <= QUICK) {
                at = raft.clock.now() + raft.times.call() + soon();
            } else {
                postpone();
            }
        } else {
            at = raft.clock.now() + raft.times.heartbeat() + soon();
        }
        long asked = pre ? raft.term() + 1 : raft.term();
        List<String> voters = raft.voters();
        Set<String> granted = new HashSet<>();
        boolean[] won = {false};
        Consumer<String> yes = from -> {
            granted.add(from);
            if (!won[0]
                    && raft.group().majority(granted::contains)
                    && (pre
                            ? raft.role != Raft.Role.LEADER && raft.term() + 1 == asked
                            : raft.role == Raft.Role.CANDIDATE && raft.term() == asked)) {
                won[0] = true;
                if (pre) {
                    campaign(false);
                } else {
                    raft.becomeLeader();
                }
            }
        };
        if (pre) {
            yes.accept(raft.self);
        } else {
            raft.persist(0, List.of(), null, () -> yes.accept(raft.self));
        }
        if (won[0]) {
            return;
        }
        for (String v : voters) {
            if (v.equals(raft.self)) {
                continue;
            }
            ObjectNode m = raft.message(v)
                    .put("term", asked)
                    .put("pre", pre)
                    .put("handed", handed)
                    .put("lastIndex", raft.entries.last())
                    .put("lastTerm", raft.entries.lastTerm());
            raft.wire.call(Raft.addressOf(v), "vote", m, raft.times.call(), a -> {
                if (a == null) {
                    return;
                }
                if (a.path("term").asLong() > Math.max(raft.term(), pre ? asked : raft.term())) {
                    raft.stepDown(a.path("term").asLong(), "newer term");
                } else if (a.path("ok").asBoolean()) {
                    yes.accept(v);
                }
            });
        }
    }

    void voteAsked(JsonNode m, Consumer<ObjectNode> answer) {
        long asked = m.path("term").asLong();
        boolean pre = m.path("pre").asBoolean();
        RaftLog entries = raft.entries;
        boolean upToDate = m.path("lastTerm").asLong() > entries.lastTerm()
                || m.path("lastTerm").asLong() == entries.lastTerm()
                        && m.path("lastIndex").asLong() >= entries.last();
        if (!raft.healthy() || raft.leaderNear() && !m.path("handed").asBoolean() || asked < raft.term()) {
            answer.accept(raft.reply(false));
            return;
        }
        if (pre) {
            answer.accept(raft.reply(asked > raft.term() && upToDate));
            return;
        }
        if (asked > raft.term()) {
            raft.stepDown(asked, "vote asked");
        }
        String from = m.path("from").asText();
        if (!upToDate || !raft.voteFor(from)) {
            answer.accept(raft.reply(false));
            return;
        }
        postpone();
        ObjectNode yes = raft.reply(true);
        raft.persist(0, List.of(), null, () -> answer.accept(yes));
    }
}
