package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who the voters are, and how the leader comes from those there are to those that are wanted: by joint consensus, so that
 * one change swaps members, and on its way needs no more of the living than the groups before and after it.
 */
final class MembershipChange {
    /** How many times {@code absent} a new voter may take to settle before the group goes on without waiting for it. */
    private static final int SYNC_TIMEOUT_RATIO = 4;

    private final RaftNode raft;
    private final int targetVoterCount;
    /** Members that have asked to be taken in, or to be let go, and when they last did. */
    private final Map<String, Long> learnerSeenMs = new HashMap<>();

    private final Map<String, Long> leaverSeenMs = new HashMap<>();
    /** Voters that have not settled, and since when. */
    private final Map<String, Long> unsyncedSinceMs = new HashMap<>();

    MembershipChange(RaftNode raft, int targetVoterCount) {
        this.raft = raft;
        this.targetVoterCount = targetVoterCount;
    }

    Set<String> learners() {
        return learnerSeenMs.keySet();
    }

    void addLearner(String memberId) {
        learnerSeenMs.put(memberId, raft.clock.nowMs());
    }

    void clear() {
        learnerSeenMs.clear();
        leaverSeenMs.clear();
        unsyncedSinceMs.clear();
    }

    /**
     * A member wants to go. True once it may: all that is agreed lies on as many other disks as are wanted, and its place is
     * taken or nobody stands ready to take it.
     */
    boolean requestLeave(String memberId) {
        long nowMs = raft.clock.nowMs();
        leaverSeenMs.put(memberId, nowMs);
        if (raft.voterSet().isJoint()) {
            return false;
        }
        boolean hasReplacement = readyLearners(nowMs).stream().anyMatch(learner -> !learner.equals(memberId))
                || nowMs - raft.leaderSinceMs < raft.timeouts.electionMs();
        return !raft.voters().contains(memberId) || !hasReplacement && raft.replication.isCommittedWithout(memberId);
    }

    /** One change at a time towards the wanted voters. */
    void advance(long nowMs) {
        learnerSeenMs
                .entrySet()
                .removeIf(learner -> nowMs - Math.max(learner.getValue(), lastContactMs(learner.getKey()))
                        > raft.timeouts.absentMs() * 2);
        leaverSeenMs.values().removeIf(seenMs -> nowMs - seenMs > raft.timeouts.absentMs());
        if (!raft.isLeader() || raft.raftLog.hasVotersEntryAfter(raft.commitIndex)) {
            return;
        }
        VoterSet voterSet = raft.voterSet();
        unsyncedSinceMs.keySet().retainAll(voterSet.all());
        // A new voter first reads what only the others hold: one change more, and no majority might have it. All are
        // looked at,
        // for each has a time of its own.
        if (voterSet.all().stream().filter(voter -> isUnsynced(voter, nowMs)).count() > 0) {
            return;
        }
        if (voterSet.isJoint()) {
            raft.append(LogEntryCodec.encodeVoters(VoterSet.decode(voterSet.newVoters())), outcome -> {});
            return;
        }
        List<String> nextVoters = targetVoters(voterSet.all(), nowMs);
        if (!nextVoters.equals(voterSet.all()) && hasLiveQuorum(VoterSet.decode(nextVoters), nowMs)) {
            nextVoters.stream()
                    .filter(voter -> !voterSet.contains(voter))
                    .forEach(voter -> raft.log.log(Event.VOTER_ADDED, "member", voter));
            voterSet.all().stream()
                    .filter(voter -> !nextVoters.contains(voter))
                    .forEach(voter -> raft.log.log(Event.VOTER_REMOVED, "member", voter));
            raft.append(LogEntryCodec.encodeVoters(voterSet.transitionTo(nextVoters)), outcome -> {});
        }
    }

    /** The voters that are wanted now: each that is gone or leaves gives way to a spare one, as far as there are some. */
    private List<String> targetVoters(List<String> voters, long nowMs) {
        List<String> result = new ArrayList<>(voters);
        List<String> replacements = readyLearners(nowMs);
        List<String> outgoing = new ArrayList<>(lostVoters(voters, nowMs));
        voters.stream()
                .filter(voter ->
                        leaverSeenMs.containsKey(voter) && !voter.equals(raft.localId) && !outgoing.contains(voter))
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

    private long lastContactMs(String memberId) {
        FollowerProgress follower = raft.replication.follower(memberId);
        return follower == null ? 0 : follower.lastContactMs;
    }

    /** Learners that could be voters now; those at the address of a voter first, for that one's disk is gone. */
    private List<String> readyLearners(long nowMs) {
        List<String> result = new ArrayList<>();
        for (String learner : learnerSeenMs.keySet()) {
            if (!raft.voters().contains(learner) && !leaverSeenMs.containsKey(learner) && isCaughtUp(learner, nowMs)) {
                result.add(
                        raft.voters().stream().anyMatch(voter -> isSameAddress(voter, learner)) ? 0 : result.size(),
                        learner);
            }
        }
        return result;
    }

    /** Voters whose disk is gone, for another one answers at their address, or that have been silent for too long. */
    private List<String> lostVoters(List<String> voters, long nowMs) {
        List<String> replaced = new ArrayList<>();
        List<String> absent = new ArrayList<>();
        for (String voter : voters) {
            long silentMs = nowMs - lastContactMs(voter);
            if (voter.equals(raft.localId)) {
                continue;
            }
            if (silentMs > raft.timeouts.electionMs()
                    && (voters.stream().anyMatch(other -> isSameAddress(other, voter) && isCaughtUp(other, nowMs))
                            || learnerSeenMs.keySet().stream()
                                    .anyMatch(
                                            learner -> isSameAddress(learner, voter) && isCaughtUp(learner, nowMs)))) {
                replaced.add(voter);
            } else if (silentMs > raft.timeouts.absentMs() && nowMs - raft.leaderSinceMs > raft.timeouts.electionMs()) {
                absent.add(voter);
            }
        }
        replaced.addAll(absent);
        return replaced;
    }

    private static boolean isSameAddress(String firstId, String secondId) {
        return !firstId.equals(secondId) && RaftNode.addressOf(firstId).equals(RaftNode.addressOf(secondId));
    }

    /** Whether those that answer can agree on things as that group. */
    private boolean hasLiveQuorum(VoterSet voterSet, long nowMs) {
        return voterSet.hasQuorum(voter -> isCaughtUp(voter, nowMs), raft.requiredReplicas);
    }

    private boolean isUnsynced(String memberId, long nowMs) {
        FollowerProgress follower = raft.replication.follower(memberId);
        boolean lacksState = memberId.equals(raft.localId)
                ? !raft.stateMachine.isSynced()
                : follower != null && nowMs - follower.lastContactMs < raft.timeouts.electionMs() && !follower.isSynced;
        if (!lacksState) {
            unsyncedSinceMs.remove(memberId);
            return false;
        }
        return nowMs - unsyncedSinceMs.computeIfAbsent(memberId, i -> nowMs)
                < raft.timeouts.absentMs() * SYNC_TIMEOUT_RATIO;
    }

    private boolean isCaughtUp(String memberId, long nowMs) {
        if (memberId.equals(raft.localId)) {
            return true;
        }
        FollowerProgress follower = raft.replication.follower(memberId);
        return follower != null
                && follower.matchIndex >= raft.commitIndex
                && nowMs - follower.lastContactMs < raft.timeouts.electionMs();
    }
}
