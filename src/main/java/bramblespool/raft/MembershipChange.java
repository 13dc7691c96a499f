package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Who the voters are to be, and how the leader comes from those there are to those: by joint consensus (Raft
 * dissertation, section 4.3), so that one change swaps members, and on its way needs no more live members than the
 * groups before and after it. Confined to the event loop.
 */
final class MembershipChange {
    /** Ratio to the absence time of how long the group waits for a new voter to be synced. */
    private static final int SYNC_TIMEOUT_RATIO = 4;
    /** Ratio to the absence time after which a silent learner is forgotten. */
    private static final int LEARNER_TIMEOUT_RATIO = 2;

    private final RaftContext context;
    private final RaftLog raftLog;
    private final StateMachine stateMachine;
    private final int targetVoterCount;
    /** Members that have asked to be taken in, and when they last did. */
    private final Map<String, Long> learnerSeenMs = new HashMap<>();
    /** Voters that have asked to be removed, and when they last did. */
    private final Map<String, Long> leaverSeenMs = new HashMap<>();
    /** Voters that are not synced, and since when. */
    private final Map<String, Long> unsyncedSinceMs = new HashMap<>();

    /** @param targetVoterCount how many voters there are to be, as far as there are members enough */
    MembershipChange(RaftContext context, RaftLog raftLog, StateMachine stateMachine, int targetVoterCount) {
        this.context = context;
        this.raftLog = raftLog;
        this.stateMachine = stateMachine;
        this.targetVoterCount = targetVoterCount;
    }

    /** Members that have asked to be taken in; a leader sends them the log although they have no vote. */
    Set<String> learners() {
        return learnerSeenMs.keySet();
    }

    /** A member asks to be taken in. */
    void addLearner(String memberId) {
        learnerSeenMs.put(memberId, context.nowMs());
    }

    /** Forgets what members have asked: another one leads. */
    void clear() {
        learnerSeenMs.clear();
        leaverSeenMs.clear();
        unsyncedSinceMs.clear();
    }

    /**
     * A member asks to be removed.
     *
     * @return whether it may end: all that is committed lies on as many other disks as are required, and its place is
     *     taken or nobody is ready to take it
     */
    boolean requestLeave(LeaderState leader, String memberId) {
        long nowMs = context.nowMs();
        leaverSeenMs.put(memberId, nowMs);
        VoterSet voterSet = raftLog.voterSet();
        if (voterSet.isJoint()) {
            return false;
        }
        if (!voterSet.contains(memberId)) {
            return true;
        }
        boolean hasReplacement = readyLearners(leader, nowMs).stream().anyMatch(learner -> !learner.equals(memberId))
                || nowMs - leader.electedAtMs() < context.timeouts().electionMs();
        return !hasReplacement && leader.isCommittedWithout(memberId, raftLog, context);
    }

    /** The voters to propose next, one change at a time; empty where nothing is to change now. */
    Optional<VoterSet> nextVoterSet(LeaderState leader, long nowMs) {
        forgetSilent(leader, nowMs);
        if (!leader.isReady() || raftLog.hasVotersEntryAfter(raftLog.commitIndex())) {
            return Optional.empty();
        }
        VoterSet voterSet = raftLog.voterSet();
        if (hasUnsyncedVoter(leader, voterSet.all(), nowMs)) {
            return Optional.empty();
        }
        if (voterSet.isJoint()) {
            return Optional.of(VoterSet.decode(voterSet.newVoters()));
        }
        List<String> nextVoters = targetVoters(leader, voterSet.all(), nowMs);
        if (nextVoters.equals(voterSet.all()) || !hasLiveQuorum(leader, VoterSet.decode(nextVoters), nowMs)) {
            return Optional.empty();
        }
        logDifference(voterSet.all(), nextVoters);
        return Optional.of(voterSet.transitionTo(nextVoters));
    }

    private void forgetSilent(LeaderState leader, long nowMs) {
        long absentMs = context.timeouts().absentMs();
        learnerSeenMs
                .entrySet()
                .removeIf(learner -> nowMs - Math.max(learner.getValue(), leader.lastContactMs(learner.getKey()))
                        > absentMs * LEARNER_TIMEOUT_RATIO);
        leaverSeenMs.values().removeIf(seenMs -> nowMs - seenMs > absentMs);
    }

    /** A new voter first reads what only the others hold: one change more, and no majority might have it. */
    private boolean hasUnsyncedVoter(LeaderState leader, List<String> voters, long nowMs) {
        unsyncedSinceMs.keySet().retainAll(voters);
        boolean hasUnsynced = false;
        // All are looked at, for each has a time of its own.
        for (String voter : voters) {
            hasUnsynced |= isUnsynced(leader, voter, nowMs);
        }
        return hasUnsynced;
    }

    /** Whether the group should wait for a voter to be synced: not for ever, and not for one that does not answer. */
    private boolean isUnsynced(LeaderState leader, String memberId, long nowMs) {
        boolean lacksState = context.isLocal(memberId)
                ? !stateMachine.isSynced()
                : leader.hasRecentContact(memberId, nowMs, context.timeouts().electionMs())
                        && !leader.follower(memberId).orElseThrow().isSynced();
        if (!lacksState) {
            unsyncedSinceMs.remove(memberId);
            return false;
        }
        return nowMs - unsyncedSinceMs.computeIfAbsent(memberId, i -> nowMs)
                < context.timeouts().absentMs() * SYNC_TIMEOUT_RATIO;
    }

    private void logDifference(List<String> voters, List<String> nextVoters) {
        nextVoters.stream()
                .filter(voter -> !voters.contains(voter))
                .forEach(voter -> context.log().log(Event.VOTER_ADDED, "member", voter));
        voters.stream()
                .filter(voter -> !nextVoters.contains(voter))
                .forEach(voter -> context.log().log(Event.VOTER_REMOVED, "member", voter));
    }

    /** The voters that are wanted now: each that is lost or leaves gives way to a learner, as far as there are some. */
    private List<String> targetVoters(LeaderState leader, List<String> voters, long nowMs) {
        List<String> result = new ArrayList<>(voters);
        List<String> replacements = readyLearners(leader, nowMs);
        List<String> outgoing = new ArrayList<>(lostVoters(leader, voters, nowMs));
        voters.stream()
                .filter(voter ->
                        leaverSeenMs.containsKey(voter) && !context.isLocal(voter) && !outgoing.contains(voter))
                .forEach(outgoing::add);
        for (String outgoingVoter : outgoing) {
            if (result.size() > targetVoterCount) {
                result.remove(outgoingVoter);
            } else if (!replacements.isEmpty()) {
                result.set(result.indexOf(outgoingVoter), replacements.remove(0));
            }
        }
        while (result.size() < targetVoterCount && !replacements.isEmpty()) {
            result.add(replacements.remove(0));
        }
        return result;
    }

    /** Learners that could be voters now; those at the address of a voter first, for that one's disk is gone. */
    private List<String> readyLearners(LeaderState leader, long nowMs) {
        List<String> voters = raftLog.voterSet().all();
        List<String> result = new ArrayList<>();
        for (String learner : learnerSeenMs.keySet()) {
            if (!voters.contains(learner) && !leaverSeenMs.containsKey(learner) && isCaughtUp(leader, learner, nowMs)) {
                boolean replacesVoter = voters.stream().anyMatch(voter -> isSameAddress(voter, learner));
                result.add(replacesVoter ? 0 : result.size(), learner);
            }
        }
        return result;
    }

    /** Voters whose disk is gone, for another one answers at their address, or that have been silent for too long. */
    private List<String> lostVoters(LeaderState leader, List<String> voters, long nowMs) {
        long electionMs = context.timeouts().electionMs();
        long absentMs = context.timeouts().absentMs();
        List<String> replaced = new ArrayList<>();
        List<String> absent = new ArrayList<>();
        for (String voter : voters) {
            if (context.isLocal(voter)) {
                continue;
            }
            long silentMs = nowMs - leader.lastContactMs(voter);
            if (silentMs > electionMs && isReplaced(leader, voters, voter, nowMs)) {
                replaced.add(voter);
            } else if (silentMs > absentMs && nowMs - leader.electedAtMs() > electionMs) {
                absent.add(voter);
            }
        }
        replaced.addAll(absent);
        return replaced;
    }

    /** Whether another incarnation answers at the voter's address. */
    private boolean isReplaced(LeaderState leader, List<String> voters, String voter, long nowMs) {
        Predicate<String> replacesVoter = other -> isSameAddress(other, voter) && isCaughtUp(leader, other, nowMs);
        return voters.stream().anyMatch(replacesVoter)
                || learnerSeenMs.keySet().stream().anyMatch(replacesVoter);
    }

    private static boolean isSameAddress(String firstId, String secondId) {
        return !firstId.equals(secondId) && RaftNode.addressOf(firstId).equals(RaftNode.addressOf(secondId));
    }

    /** Whether the members that answer could commit entries as that group. */
    private boolean hasLiveQuorum(LeaderState leader, VoterSet voterSet, long nowMs) {
        return voterSet.hasQuorum(voter -> isCaughtUp(leader, voter, nowMs), context.requiredReplicas());
    }

    /** Whether the member answers and has all that is committed on its disk. */
    private boolean isCaughtUp(LeaderState leader, String memberId, long nowMs) {
        return context.isLocal(memberId)
                || leader.matchIndex(memberId) >= raftLog.commitIndex()
                        && leader.hasRecentContact(
                                memberId, nowMs, context.timeouts().electionMs());
    }
}
