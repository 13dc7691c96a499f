package bramblespool.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Leases for tasks that one member does alone, carried by the leader's requests. A follower's lease counts from its
 * own answer to a request that the leader is known to have received; so a request that was late, or lay waiting while
 * this process stood still, extends nothing. A leader extends leases only while a majority answers, so that a lease
 * under an old leader is over shortly after a new one is elected. Confined to the event loop.
 */
final class VoterLeases {
    /** Ratio to the election time of how long a lease lasts: it outlives the election after a leader's death. */
    private static final double LEASE_RATIO = 2;
    /** Ratio to the election time after which others count a lease as expired. */
    private static final double EXPIRY_RATIO = 2.2;
    /**
     * Whoever voted for a new leader had heard the last one no later than an election time before, so no majority
     * had. The last leader's own lease may stand for the rest of {@link #LEASE_RATIO}.
     */
    private static final double OLD_LEADER_EXPIRY_RATIO = LEASE_RATIO - 1 + EXPIRY_RATIO - LEASE_RATIO;
    /** The lease of a follower with which the last leader went on speaking stands for a whole lease more. */
    private static final double OLD_FOLLOWER_EXPIRY_RATIO = 2 * LEASE_RATIO - 1 + EXPIRY_RATIO - LEASE_RATIO;
    /** How many of its own answers a follower remembers. */
    private static final int MAX_ANSWERS = 8;

    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    /** When this follower answered which of its leader's requests in {@link #answersTerm}. */
    private final Map<Long, Long> answeredAtMs = new HashMap<>();

    private long answersTerm;
    private String lastLeaderId;
    private long lastLeaderTerm;
    /** Since when this follower's lease counts. */
    private long leaseSinceMs = Long.MIN_VALUE / 2;

    VoterLeases(RaftContext context, QuorumState quorum, RaftLog raftLog) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
    }

    /** Whether this member holds a lease, and may go on with what it does alone. */
    boolean isHeld() {
        if (quorum.isReadyLeader()) {
            return isGranting(quorum.leader().orElseThrow());
        }
        return quorum.isFollower() && context.nowMs() - leaseSinceMs < ratioToElection(LEASE_RATIO);
    }

    /** Whether a majority has lately taken this member for the leader, so that it may extend the others' leases. */
    boolean isGranting(LeaderState leader) {
        return context.nowMs() - majorityContactMs(leader) < ratioToElection(LEASE_RATIO);
    }

    /** The addresses of the voters whose lease may still stand, as the leader knows. */
    List<String> holderAddresses(LeaderState leader) {
        List<String> addresses = new ArrayList<>();
        for (String voter : raftLog.voterSet().all()) {
            if (context.isLocal(voter) || context.nowMs() < expiryMs(leader, voter)) {
                addresses.add(RaftNode.addressOf(voter));
            }
        }
        return addresses;
    }

    private double expiryMs(LeaderState leader, String voter) {
        Optional<FollowerProgress> follower = leader.follower(voter);
        // Whoever has answered this leader has no lease under the last one.
        if (follower.isPresent() && follower.get().lastAnsweredSequence() > 0) {
            return follower.get().lastContactMs() + ratioToElection(EXPIRY_RATIO);
        }
        boolean wasPreviousLeader = voter.equals(lastLeaderId) && leader.term() == lastLeaderTerm + 1;
        return leader.electedAtMs()
                + ratioToElection(wasPreviousLeader ? OLD_LEADER_EXPIRY_RATIO : OLD_FOLLOWER_EXPIRY_RATIO);
    }

    /** Since when a majority is known to have taken this member for the leader: when what it answered was sent. */
    private long majorityContactMs(LeaderState leader) {
        return raftLog.voterSet()
                .quorumValue(voter -> context.isLocal(voter) ? context.nowMs() : leader.lastAckedSendMs(voter), 0);
    }

    private double ratioToElection(double ratio) {
        return context.timeouts().electionMs() * ratio;
    }

    /** This follower has accepted a leader's request. */
    void onLeaderRequest(RaftRequest.LeaderHeader header) {
        lastLeaderId = header.leaderId();
        lastLeaderTerm = quorum.currentTerm();
        if (answersTerm != quorum.currentTerm()) {
            answersTerm = quorum.currentTerm();
            answeredAtMs.clear();
        }
        Long acknowledgedAtMs = answeredAtMs.get(header.answeredSequence());
        if (acknowledgedAtMs != null && header.grantsLease()) {
            leaseSinceMs = Math.max(leaseSinceMs, acknowledgedAtMs);
        }
        answeredAtMs.keySet().removeIf(answered -> answered < header.sequence() - MAX_ANSWERS);
        answeredAtMs.put(header.sequence(), context.nowMs());
    }
}
