package bramblespool.raft;

import bramblespool.state.DurableStore;
import java.util.Optional;

/**
 * A member's term, vote and role, and what it has heard of leaders. Only this class changes roles; what else a change
 * entails is in {@link RoleTransitions}. Term and vote are durable only once {@link RaftStorage} has saved them.
 * Confined to the event loop.
 */
final class QuorumState {
    private final RaftContext context;
    private long currentTerm;
    /** The member that has this one's vote in the current term; null for none. */
    private String votedFor;

    private RoleState role = new FollowerState();
    private long leaderTerm;
    /** The last other member that led, and when its last request came. */
    private String lastLeaderId;

    private long lastLeaderContactMs;

    QuorumState(RaftContext context, DurableStore.PersistentState persistentState) {
        this.context = context;
        this.currentTerm = persistentState.currentTerm();
        this.votedFor = persistentState.votedFor();
        // A member that starts need not wait for a leader's silence.
        this.lastLeaderContactMs = context.nowMs() - context.timeouts().electionMs();
    }

    long currentTerm() {
        return currentTerm;
    }

    /** The member that has this one's vote in the current term, or null. */
    String votedFor() {
        return votedFor;
    }

    /** The highest term in which this member has led or accepted a leader's request. */
    long leaderTerm() {
        return leaderTerm;
    }

    // ---- roles

    Optional<LeaderState> leader() {
        return role instanceof LeaderState leader ? Optional.of(leader) : Optional.empty();
    }

    Optional<FollowerState> follower() {
        return role instanceof FollowerState follower ? Optional.of(follower) : Optional.empty();
    }

    boolean isLeader() {
        return role instanceof LeaderState;
    }

    boolean isFollower() {
        return role instanceof FollowerState;
    }

    /** Whether this member leads and has applied all entries committed before its term. */
    boolean isReadyLeader() {
        return role instanceof LeaderState leader && leader.isReady();
    }

    /** Whether the member still has this very role, and so is in the same term. */
    boolean isCurrent(RoleState state) {
        return role == state;
    }

    /** A new term, in which this member votes for itself. */
    CandidateState becomeCandidate() {
        currentTerm++;
        votedFor = context.localId();
        CandidateState candidate = new CandidateState();
        role = candidate;
        return candidate;
    }

    LeaderState becomeLeader() {
        leaderTerm = currentTerm;
        LeaderState leader = new LeaderState(currentTerm, context.nowMs());
        role = leader;
        return leader;
    }

    /**
     * Follows; the leader of before stays known to a member that followed already.
     *
     * @return whether the term is a newer one, so that term and vote must be saved
     */
    boolean becomeFollower(long term) {
        boolean isNewerTerm = term > currentTerm;
        if (isNewerTerm) {
            currentTerm = term;
            votedFor = null;
        }
        if (!isFollower()) {
            role = new FollowerState();
        }
        return isNewerTerm;
    }

    /** Gives this member's vote in the current term to a candidate, unless another one has it. */
    boolean grantVote(String candidateId) {
        if (votedFor != null && !votedFor.equals(candidateId)) {
            return false;
        }
        votedFor = candidateId;
        return true;
    }

    // ---- leaders

    /** A follower has accepted a request of the current term's leader. */
    void onLeaderRequest(RaftRequest.LeaderHeader header) {
        if (role instanceof FollowerState follower) {
            follower.onLeaderRequest(header.leaderId(), header.controlAddress());
        }
        lastLeaderId = header.leaderId();
        lastLeaderContactMs = context.nowMs();
        leaderTerm = currentTerm;
    }

    /** The leader as far as this member has heard, itself included. */
    Optional<String> leaderId() {
        if (isLeader()) {
            return Optional.of(context.localId());
        }
        return follower().flatMap(FollowerState::leaderId);
    }

    /** When another member last led this one. */
    long lastLeaderContactMs() {
        return lastLeaderContactMs;
    }

    /** When a member counts as last heard from by a leader that has just been elected. */
    long lastContactBeforeElectionMs(String memberId, long nowMs) {
        return memberId.equals(lastLeaderId) ? Math.min(nowMs, lastLeaderContactMs) : nowMs;
    }

    /** Whether this member leads, or has heard from the leader within an election's time. */
    boolean hasRecentLeader() {
        return isLeader() || hasHeardLeaderWithin(context.timeouts().electionMs());
    }

    /** Whether this member leads and is ready to, or the leader has been in contact lately. */
    boolean hasLeaderContact() {
        return isReadyLeader() || hasHeardLeaderWithin(context.timeouts().contactMs());
    }

    private boolean hasHeardLeaderWithin(long durationMs) {
        return role instanceof FollowerState follower
                && follower.leaderId().isPresent()
                && context.nowMs() - lastLeaderContactMs < durationMs;
    }
}
