package bramblespool.raft;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases for duties that one member holds for itself alone, carried by heartbeats. A follower's right counts from its own
 * answer to a message of the leader that the leader has received since; so a message that was late, or lay waiting while
 * this process stood still, extends nothing. A leader grants it only while a majority answers, so that a right under an old
 * leader is over shortly after a new one is elected.
 */
final class Rights {
    /**
     * Ratios to the election's time: how long the right to a leased duty lasts, so long that it outlives the election after
     * a leader's death, and when others count it as lapsed.
     */
    private static final double RIGHT = 2;

    private static final double LAPSED = 2.2;
    /**
     * Who voted for a new leader had heard the last one no later than an election's time before, so no majority had. The
     * last leader's own right may stand for the rest of RIGHT; that of those it went on speaking to, for RIGHT more.
     */
    private static final double OLD_LEADER = RIGHT - 1 + LAPSED - RIGHT;

    private static final double OLD_FOLLOWER = 2 * RIGHT - 1 + LAPSED - RIGHT;
    private static final int ANSWERS_KEPT = 8;

    private final Raft raft;
    /** When this follower took which of its leader's messages, and since when its right counts. */
    private final Map<Long, Long> answers = new HashMap<>();

    private long term;
    private String lastLeader;
    private long lastLeaderTerm;
    private long since = Long.MIN_VALUE / 2;

    Rights(Raft raft) {
        this.raft = raft;
    }

    /** Whether this member may go on with a duty that it holds for itself alone. */
    boolean held() {
        long now = raft.clock.now();
        return raft.leads()
                ? granting()
                : raft.role == Raft.Role.FOLLOWER && now - since < raft.times.election() * RIGHT;
    }

    /** Whether this leader is known by a majority, and may extend the others' rights. */
    boolean granting() {
        return raft.clock.now() - majoritySince() < raft.times.election() * RIGHT;
    }

    /** The addresses of the voters whose right may still stand, as the leader knows. */
    List<String> standing() {
        List<String> out = new ArrayList<>();
        for (String v : raft.voters()) {
            if (v.equals(raft.self) || raft.clock.now() < ends(v, raft.replication.follower(v))) {
                out.add(Raft.addressOf(v));
            }
        }
        return out;
    }

    private double ends(String voter, Follower f) {
        boolean led = voter.equals(lastLeader) && raft.term() == lastLeaderTerm + 1;
        double before = raft.leadingSince + raft.times.election() * (led ? OLD_LEADER : OLD_FOLLOWER);
        // Whoever has answered this leader has none under the last one.
        return f == null || f.answered == 0 ? before : f.heard + raft.times.election() * LAPSED;
    }

    /** Since when a majority is known to have taken this member for the leader: when what it answered was sent. */
    private long majoritySince() {
        return raft.group().reached(v -> v.equals(raft.self) ? raft.clock.now() : raft.replication.acked(v), 0);
    }

    /** A leader's message has been taken. */
    void heard(String leader, JsonNode m) {
        lastLeader = leader;
        lastLeaderTerm = raft.term();
        long n = m.path("n").asLong();
        if (term != raft.term()) {
            term = raft.term();
            answers.clear();
        }
        Long answeredAt = answers.get(m.path("answered").asLong());
        if (answeredAt != null && m.path("right").asBoolean()) {
            since = Math.max(since, answeredAt);
        }
        answers.keySet().removeIf(k -> k < n - ANSWERS_KEPT);
        answers.put(n, raft.clock.now());
    }
}
