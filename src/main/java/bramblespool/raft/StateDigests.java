package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import bramblespool.state.VoterSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Digests of the state at some indices. The leader asks each member for the one at its own newest checkpoint; where
 * they differ the value of a majority holds, and a member with another one never leads until it has taken a snapshot
 * anew. Confined to the event loop.
 */
final class StateDigests {
    /** What comparing the members' digests has shown. */
    enum Comparison {
        /** Nothing against this leader's state; followers with another one are marked. */
        LOCAL_STATE_HOLDS,
        /** A majority holds another state than this leader. */
        LOCAL_STATE_DIVERGED
    }

    /** Entries from one checkpoint to the next. */
    static final int DIGEST_INTERVAL_ENTRIES = 32;

    private static final int MAX_DIGESTS = 8;
    /** Requests after which a member is asked again for the same checkpoint. */
    private static final int REQUERY_INTERVAL_REQUESTS = 64;

    private final RaftContext context;
    private final RaftLog raftLog;
    private final TreeMap<Long, String> localDigests = new TreeMap<>();
    /** What the other members hold at this leader's newest checkpoint. */
    private final Map<String, String> reportedDigests = new HashMap<>();

    StateDigests(RaftContext context, RaftLog raftLog) {
        this.context = context;
        this.raftLog = raftLog;
    }

    /** The state after the entry of this index has this digest, as {@link SnapshotChecksum#shortDigest} gives it. */
    void add(long index, String digest) {
        // Another state is in place from this index on, or the same one was gone through again.
        localDigests.tailMap(index, true).clear();
        localDigests.put(index, digest);
        if (localDigests.size() > MAX_DIGESTS) {
            localDigests.pollFirstEntry();
        }
        reportedDigests.clear();
    }

    /** The digest at this index, where it is kept. */
    Optional<String> digestAt(long index) {
        return Optional.ofNullable(localDigests.get(index));
    }

    // ---- the leader's part

    /** Forgets what members have reported to an earlier leadership. */
    void clearReported() {
        reportedDigests.clear();
    }

    /** A member's state has been replaced since it reported. */
    void forgetMember(String memberId) {
        reportedDigests.remove(memberId);
    }

    /** For which index to ask, where the digest is not known yet: a quiet group sends nothing more for this. */
    OptionalLong queryFor(FollowerProgress follower) {
        boolean isDue = !reportedDigests.containsKey(follower.memberId())
                || follower.lastSentSequence() % REQUERY_INTERVAL_REQUESTS == 0;
        return !localDigests.isEmpty() && !follower.needsSnapshot() && isDue
                ? OptionalLong.of(localDigests.lastKey())
                : OptionalLong.empty();
    }

    /**
     * Takes what an answer says of a follower's state.
     *
     * @param queriedIndex the index for which the answered request asked
     */
    Comparison onResponse(
            LeaderState leader, FollowerProgress follower, OptionalLong queriedIndex, Optional<String> digest) {
        if (follower.needsSnapshot()) {
            // It knows, and asks for a snapshot by itself.
            follower.clearDivergedState();
            reportedDigests.remove(follower.memberId());
        } else if (queriedIndex.isPresent()
                && digest.isPresent()
                && !localDigests.isEmpty()
                && queriedIndex.getAsLong() == localDigests.lastKey()) {
            reportedDigests.put(follower.memberId(), digest.get());
            return compare(leader);
        }
        return Comparison.LOCAL_STATE_HOLDS;
    }

    private Comparison compare(LeaderState leader) {
        VoterSet voterSet = raftLog.voterSet();
        long index = localDigests.lastKey();
        String localDigest = localDigests.lastEntry().getValue();
        Map<String, String> digests = new HashMap<>();
        boolean hasAllDigests = true;
        for (String voter : voterSet.all()) {
            String digest = context.isLocal(voter) ? localDigest : reportedDigests.get(voter);
            if (digest != null) {
                digests.put(voter, digest);
            } else if (leader.hasRecentContact(
                    voter, context.nowMs(), context.timeouts().contactMs())) {
                hasAllDigests = false;
            }
        }
        if (digests.values().stream()
                .anyMatch(candidate -> !candidate.equals(localDigest)
                        && voterSet.hasMajority(voter -> candidate.equals(digests.get(voter))))) {
            context.log().log(
                    Event.STATE_DIVERGED,
                    "member",
                    context.localId(),
                    "index",
                    index,
                    "cause",
                    "a majority holds another state");
            return Comparison.LOCAL_STATE_DIVERGED;
        }
        if (hasAllDigests || voterSet.hasMajority(voter -> localDigest.equals(digests.get(voter)))) {
            markDiverged(leader, index, localDigest);
        }
        return Comparison.LOCAL_STATE_HOLDS;
    }

    private void markDiverged(LeaderState leader, long index, String localDigest) {
        reportedDigests.forEach((memberId, digest) -> leader.follower(memberId).ifPresent(follower -> {
            if (!follower.hasDivergedState() && !digest.equals(localDigest)) {
                follower.markDivergedState();
                context.log().log(
                        Event.STATE_DIVERGED, "member", memberId, "index", index, "leader", context.localId());
            }
        }));
    }
}
