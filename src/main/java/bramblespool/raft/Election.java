package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Elections, each after a pre-vote, so that a member that was cut off disturbs nobody when it is back. */
final class Election {
    /** Candidacies in turn, without hearing of a leader, after which the next try comes soon. */
    private static final int QUICK_RETRIES = 2;

    private final RaftNode raft;
    private long nextCampaignMs;
    private int consecutiveCampaigns;

    Election(RaftNode raft) {
        this.raft = raft;
        nextCampaignMs = raft.clock.nowMs() + shortDelayMs();
    }

    /** Somebody leads. */
    void onLeaderKnown() {
        consecutiveCampaigns = 0;
    }

    boolean isDue(long nowMs) {
        return nowMs >= nextCampaignMs;
    }

    void postpone() {
        nextCampaignMs = raft.clock.nowMs()
                + raft.timeouts.electionMs()
                + (long) (raft.clock.random() * raft.timeouts.electionMs());
    }

    /** Until a first try: short, for the pre-vote of a try too early disturbs nobody. */
    private long shortDelayMs() {
        return raft.timeouts.heartbeatMs() + (long) (raft.clock.random() * raft.timeouts.electionMs() / 2);
    }

    /** The last leader hands over to this member: the others need not wait for that one's silence. */
    void campaignAfterTransfer() {
        campaign(false, true);
    }

    void campaign(boolean isPreVote) {
        campaign(isPreVote, false);
    }

    private void campaign(boolean isPreVote, boolean isLeadershipTransfer) {
        if (!isPreVote) {
            raft.becomeCandidate();
            raft.log.log(Event.ELECTION_STARTED, "term", raft.currentTerm());
            // Where the votes are split each tries again after a time of its own, longer than an answer should take.
            if (++consecutiveCampaigns <= QUICK_RETRIES) {
                nextCampaignMs = raft.clock.nowMs() + raft.timeouts.requestMs() + shortDelayMs();
            } else {
                postpone();
            }
        } else {
            nextCampaignMs = raft.clock.nowMs() + raft.timeouts.heartbeatMs() + shortDelayMs();
        }
        long requestedTerm = isPreVote ? raft.currentTerm() + 1 : raft.currentTerm();
        List<String> voters = raft.voters();
        Set<String> grantedBy = new HashSet<>();
        boolean[] hasWon = {false};
        Consumer<String> onGranted = voterId -> {
            grantedBy.add(voterId);
            if (!hasWon[0]
                    && raft.voterSet().hasMajority(grantedBy::contains)
                    && (isPreVote
                            ? raft.role != RaftNode.Role.LEADER && raft.currentTerm() + 1 == requestedTerm
                            : raft.role == RaftNode.Role.CANDIDATE && raft.currentTerm() == requestedTerm)) {
                hasWon[0] = true;
                if (isPreVote) {
                    campaign(false);
                } else {
                    raft.becomeLeader();
                }
            }
        };
        if (isPreVote) {
            onGranted.accept(raft.localId);
        } else {
            raft.persist(0, List.of(), null, () -> onGranted.accept(raft.localId));
        }
        if (hasWon[0]) {
            return;
        }
        for (String voter : voters) {
            if (voter.equals(raft.localId)) {
                continue;
            }
            ObjectNode request = raft.newRequest(voter)
                    .put("term", requestedTerm)
                    .put("pre", isPreVote)
                    .put("handed", isLeadershipTransfer)
                    .put("lastIndex", raft.raftLog.lastIndex())
                    .put("lastTerm", raft.raftLog.lastTerm());
            raft.transport.call(RaftNode.addressOf(voter), "vote", request, raft.timeouts.requestMs(), response -> {
                if (response == null) {
                    return;
                }
                if (response.path("term").asLong()
                        > Math.max(raft.currentTerm(), isPreVote ? requestedTerm : raft.currentTerm())) {
                    raft.stepDown(response.path("term").asLong(), "newer term");
                } else if (response.path("ok").asBoolean()) {
                    onGranted.accept(voter);
                }
            });
        }
    }

    void handleVoteRequest(JsonNode request, Consumer<ObjectNode> callback) {
        long requestedTerm = request.path("term").asLong();
        boolean isPreVote = request.path("pre").asBoolean();
        RaftLog raftLog = raft.raftLog;
        boolean isUpToDate = request.path("lastTerm").asLong() > raftLog.lastTerm()
                || request.path("lastTerm").asLong() == raftLog.lastTerm()
                        && request.path("lastIndex").asLong() >= raftLog.lastIndex();
        if (!raft.isDiskHealthy()
                || raft.hasRecentLeader() && !request.path("handed").asBoolean()
                || requestedTerm < raft.currentTerm()) {
            callback.accept(raft.newResponse(false));
            return;
        }
        if (isPreVote) {
            callback.accept(raft.newResponse(requestedTerm > raft.currentTerm() && isUpToDate));
            return;
        }
        if (requestedTerm > raft.currentTerm()) {
            raft.stepDown(requestedTerm, "vote asked");
        }
        String candidateId = request.path("from").asText();
        if (!isUpToDate || !raft.grantVote(candidateId)) {
            callback.accept(raft.newResponse(false));
            return;
        }
        postpone();
        ObjectNode response = raft.newResponse(true);
        raft.persist(0, List.of(), null, () -> callback.accept(response));
    }
}
