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
final class VoterLeases {
    /**
     * Ratios to the election's time: how long the right to a leased duty lasts, so long that it outlives the election after
     * a leader's death, and when others count it as lapsed.
     */
    private static final double LEASE_RATIO = 2;

    private static final double EXPIRY_RATIO = 2.2;
    /**
     * Who voted for a new leader had heard the last one no later than an election's time before, so no majority had. The
     * last leader's own right may stand for the rest of RIGHT; that of those it went on speaking to, for RIGHT more.
     */
    private static final double OLD_LEADER_EXPIRY_RATIO = LEASE_RATIO - 1 + EXPIRY_RATIO - LEASE_RATIO;

    private static final double OLD_FOLLOWER_EXPIRY_RATIO = 2 * LEASE_RATIO - 1 + EXPIRY_RATIO - LEASE_RATIO;
    private static final int MAX_ANSWERS = 8;

    private final RaftNode raft;
    /** When this follower took which of its leader's messages, and since when its right counts. */
    private final Map<Long, Long> answeredAtMs = new HashMap<>();

    private long answersTerm;
    private String lastLeaderId;
    private long lastLeaderTerm;
    private long leaseSinceMs = Long.MIN_VALUE / 2;

    VoterLeases(RaftNode raft) {
        this.raft = raft;
    }

    /** Whether this member may go on with a duty that it holds for itself alone. */
    boolean isHeld() {
        long nowMs = raft.clock.nowMs();
        return raft.isLeader()
                ? isGranting()
                : raft.role == RaftNode.Role.FOLLOWER
                        && nowMs - leaseSinceMs < raft.timeouts.electionMs() * LEASE_RATIO;
    }

    /** Whether this leader is known by a majority, and may extend the others' rights. */
    boolean isGranting() {
        return raft.clock.nowMs() - majorityContactMs() < raft.timeouts.electionMs() * LEASE_RATIO;
    }

    /** The addresses of the voters whose right may still stand, as the leader knows. */
    List<String> holderAddresses() {
        List<String> addresses = new ArrayList<>();
        for (String voter : raft.voters()) {
            if (voter.equals(raft.localId) || raft.clock.nowMs() < expiryMs(voter, raft.replication.follower(voter))) {
                addresses.add(RaftNode.addressOf(voter));
            }
        }
        return addresses;
    }

    private double expiryMs(String voter, FollowerProgress follower) {
        boolean wasPreviousLeader = voter.equals(lastLeaderId) && raft.currentTerm() == lastLeaderTerm + 1;
        double previousLeaseExpiryMs = raft.leaderSinceMs
                + raft.timeouts.electionMs()
                        * (wasPreviousLeader ? OLD_LEADER_EXPIRY_RATIO : OLD_FOLLOWER_EXPIRY_RATIO);
        // Whoever has answered this leader has none under the last one.
        return follower == null || follower.lastAnsweredSequence == 0
                ? previousLeaseExpiryMs
                : follower.lastContactMs + raft.timeouts.electionMs() * EXPIRY_RATIO;
    }

    /** Since when a majority is known to have taken this member for the leader: when what it answered was sent. */
    private long majorityContactMs() {
        return raft.voterSet()
                .quorumValue(
                        voter -> voter.equals(raft.localId)
                                ? raft.clock.nowMs()
                                : raft.replication.lastAckedSendMs(voter),
                        0);
    }

    /** A leader's message has been taken. */
    void onLeaderRequest(String leaderId, JsonNode request) {
        lastLeaderId = leaderId;
        lastLeaderTerm = raft.currentTerm();
        long sequence = request.path("n").asLong();
        if (answersTerm != raft.currentTerm()) {
            answersTerm = raft.currentTerm();
            answeredAtMs.clear();
        }
        Long acknowledgedAtMs = answeredAtMs.get(request.path("answered").asLong());
        if (acknowledgedAtMs != null && request.path("right").asBoolean()) {
            leaseSinceMs = Math.max(leaseSinceMs, acknowledgedAtMs);
        }
        answeredAtMs.keySet().removeIf(answered -> answered < sequence - MAX_ANSWERS);
        answeredAtMs.put(sequence, raft.clock.nowMs());
    }
}
