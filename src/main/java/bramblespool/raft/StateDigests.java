package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Digests of the state at some indices. The leader asks each member for the one at its own newest checkpoint; where they
 * differ the value of a majority holds, and a member with another one never leads until it has taken a snapshot anew.
 */
final class StateDigests {
    /** Entries from one checkpoint to the next, and how many are kept. */
    static final int DIGEST_INTERVAL_ENTRIES = 32;

    private static final int MAX_DIGESTS = 8;
    /** Messages after which a member is asked again at the same checkpoint. */
    private static final int REQUERY_INTERVAL_MESSAGES = 64;

    private final RaftNode raft;
    private final TreeMap<Long, String> localDigests = new TreeMap<>();
    /** What the others hold at the newest checkpoint of this leader. */
    private final Map<String, String> reportedDigests = new HashMap<>();

    StateDigests(RaftNode raft) {
        this.raft = raft;
    }

    void add(long index, String digest) {
        // Another state is in place from this index on, or the same one was gone through again.
        localDigests.tailMap(index, true).clear();
        localDigests.put(index, digest);
        if (localDigests.size() > MAX_DIGESTS) {
            localDigests.pollFirstEntry();
        }
        reportedDigests.clear();
    }

    // ---- the leader's side

    void clearReported() {
        reportedDigests.clear();
    }

    /** Asks for the digest where it is not known yet, so that a quiet group sends nothing more for it. */
    void addQuery(FollowerProgress follower, ObjectNode request) {
        if (!localDigests.isEmpty()
                && follower.snapshotRequestedFrom < 0
                && (!reportedDigests.containsKey(follower.memberId)
                        || follower.lastSentSequence % REQUERY_INTERVAL_MESSAGES == 0)) {
            request.put("check", localDigests.lastKey());
        }
        if (follower.hasDivergedState) {
            request.put("differs", true);
        }
    }

    /** It has another state now than it had told. */
    void forgetMember(String memberId) {
        reportedDigests.remove(memberId);
    }

    void onResponse(FollowerProgress follower, JsonNode request, JsonNode response) {
        if (follower.snapshotRequestedFrom >= 0) {
            // It knows, and asks for a snapshot by itself.
            follower.hasDivergedState = false;
            reportedDigests.remove(follower.memberId);
        } else if (request.has("check")
                && response.has("state")
                && !localDigests.isEmpty()
                && request.path("check").asLong() == localDigests.lastKey()) {
            reportedDigests.put(follower.memberId, response.path("state").asText());
            compareDigests(localDigests.lastKey(), localDigests.lastEntry().getValue());
        }
    }

    private void compareDigests(long index, String localDigest) {
        Map<String, String> digests = new HashMap<>();
        boolean hasAllDigests = true;
        for (String voter : raft.voters()) {
            FollowerProgress follower = raft.replication.follower(voter);
            String digest = voter.equals(raft.localId) ? localDigest : reportedDigests.get(voter);
            if (digest != null) {
                digests.put(voter, digest);
            } else if (follower != null
                    && raft.clock.nowMs() - follower.lastContactMs < raft.timeouts.electionMs() * 2) {
                hasAllDigests = false;
            }
        }
        if (digests.values().stream()
                .anyMatch(candidate -> !candidate.equals(localDigest)
                        && raft.voterSet().hasMajority(voter -> candidate.equals(digests.get(voter))))) {
            raft.log.log(
                    Event.STATE_DIVERGED,
                    "member",
                    raft.localId,
                    "index",
                    index,
                    "cause",
                    "a majority holds another state");
            raft.markStateInconsistent();
            raft.stepDown(raft.currentTerm(), "state differs");
            return;
        }
        if (!raft.voterSet().hasMajority(voter -> localDigest.equals(digests.get(voter))) && !hasAllDigests) {
            return;
        }
        reportedDigests.forEach((memberId, digest) -> {
            FollowerProgress follower = raft.replication.follower(memberId);
            if (follower != null && !follower.hasDivergedState && !digest.equals(localDigest)) {
                follower.hasDivergedState = true;
                raft.log.log(Event.STATE_DIVERGED, "member", memberId, "index", index, "leader", raft.localId);
            }
        });
    }

    // ---- the follower's side

    /** Adds to an answer what the leader asked for. */
    void addDigest(JsonNode request, ObjectNode response) {
        String digest =
                request.has("check") ? localDigests.get(request.path("check").asLong()) : null;
        if (digest != null) {
            response.put("state", digest);
        }
    }
}
