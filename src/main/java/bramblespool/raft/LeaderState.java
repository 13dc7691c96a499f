package bramblespool.raft;

import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A leader in one term: the progress of the other members, the proposals not committed yet and the reads not
 * confirmed yet. Confined to the event loop.
 */
final class LeaderState implements RoleState {
    private final long term;
    private final long electedAtMs;
    private final ReadIndex readIndex = new ReadIndex();
    private final Map<String, FollowerProgress> followers = new LinkedHashMap<>();
    private final Map<Long, Consumer<ProposalOutcome>> pendingProposals = new HashMap<>();
    private boolean isReady;

    LeaderState(long term, long electedAtMs) {
        this.term = term;
        this.electedAtMs = electedAtMs;
    }

    long term() {
        return term;
    }

    long electedAtMs() {
        return electedAtMs;
    }

    ReadIndex readIndex() {
        return readIndex;
    }

    /** Whether the first entry of this term is committed, and so everything committed before it is applied here. */
    boolean isReady() {
        return isReady;
    }

    void markReady() {
        isReady = true;
    }

    // ---- proposals

    /** Keeps the callback until the entry at this index is committed or the leadership is lost. */
    void addProposal(long index, Consumer<ProposalOutcome> callback) {
        pendingProposals.put(index, callback);
    }

    /** The entry at this index is committed and applied. */
    void completeProposal(long index) {
        Consumer<ProposalOutcome> callback = pendingProposals.remove(index);
        if (callback != null) {
            callback.accept(ProposalOutcome.COMMITTED);
        }
    }

    /** Takes out all that is pending, for the caller to end. */
    List<Consumer<ProposalOutcome>> drainProposals() {
        List<Consumer<ProposalOutcome>> callbacks = new ArrayList<>(pendingProposals.values());
        pendingProposals.clear();
        return callbacks;
    }

    // ---- followers

    /** Forgets the followers that are not among these. */
    void retainFollowers(Collection<String> memberIds) {
        followers.keySet().removeIf(memberId -> !memberIds.contains(memberId));
    }

    /**
     * The progress of that member, which begins now if it is a new one.
     *
     * @param nextIndex the first index to send to a new one
     * @param lastContactMs when a new one counts as last heard from
     */
    FollowerProgress getOrAddFollower(String memberId, long nextIndex, long lastContactMs) {
        return followers.computeIfAbsent(memberId, id -> new FollowerProgress(id, nextIndex, lastContactMs));
    }

    Optional<FollowerProgress> follower(String memberId) {
        return Optional.ofNullable(followers.get(memberId));
    }

    Collection<FollowerProgress> followers() {
        return followers.values();
    }

    /** Whether this progress is still the member's: not if it was removed and added again. */
    boolean isCurrent(FollowerProgress follower) {
        return followers.get(follower.memberId()) == follower;
    }

    /** The highest index known to be on that member's disk; 0 where nothing is known. */
    long matchIndex(String memberId) {
        FollowerProgress follower = followers.get(memberId);
        return follower == null ? 0 : follower.matchIndex();
    }

    /** When the last request that the member has answered was sent; 0 where there is none. */
    long lastAckedSendMs(String memberId) {
        FollowerProgress follower = followers.get(memberId);
        return follower == null ? 0 : follower.lastAckedSendMs();
    }

    /** When the member last answered; 0 where nothing is known of it. */
    long lastContactMs(String memberId) {
        FollowerProgress follower = followers.get(memberId);
        return follower == null ? 0 : follower.lastContactMs();
    }

    /** Whether the member has answered after that time. */
    boolean hasContactSince(String memberId, long sinceMs) {
        FollowerProgress follower = followers.get(memberId);
        return follower != null && follower.lastContactMs() > sinceMs;
    }

    /** Whether the member has answered within the time before now. */
    boolean hasRecentContact(String memberId, long nowMs, long withinMs) {
        FollowerProgress follower = followers.get(memberId);
        return follower != null && nowMs - follower.lastContactMs() < withinMs;
    }

    /** The highest index that lies on the disks of a majority, and on as many as are required. */
    long replicatedIndex(RaftLog raftLog, RaftContext context) {
        return raftLog.voterSet()
                .quorumValue(
                        voter -> context.isLocal(voter) ? raftLog.durableIndex() : matchIndex(voter),
                        context.requiredReplicas());
    }

    /** Whether all that is committed lies on as many disks as are required without that member's. */
    boolean isCommittedWithout(String memberId, RaftLog raftLog, RaftContext context) {
        List<String> others = raftLog.voterSet().all().stream()
                .filter(voter -> !voter.equals(memberId))
                .toList();
        long replicaCount = others.stream()
                .filter(voter ->
                        (context.isLocal(voter) ? raftLog.durableIndex() : matchIndex(voter)) >= raftLog.commitIndex())
                .count();
        return replicaCount >= Math.min(context.requiredReplicas(), others.size());
    }

    /** A voter that holds the whole log and answers. */
    Optional<String> findSuccessor(VoterSet voterSet, long lastIndex, long nowMs, long electionMs) {
        return voterSet.all().stream()
                .filter(voter -> followers.containsKey(voter)
                        && matchIndex(voter) == lastIndex
                        && hasRecentContact(voter, nowMs, electionMs))
                .findFirst();
    }
}
