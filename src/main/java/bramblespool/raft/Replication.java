package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** How entries and snapshots come from the leader to the others, and when they are agreed. */
final class Replication {
    private static final int MAX_ENTRIES_PER_REQUEST = 64;

    private final RaftNode raft;
    private final Map<String, FollowerProgress> followers = new LinkedHashMap<>();
    /** The highest index of this member's own log that is on its disk. */
    private long durableIndex;
    /** What comes to this follower in parts, or null. */
    private ChunkAssembler chunkAssembler;

    Replication(RaftNode raft) {
        this.raft = raft;
        this.durableIndex = raft.raftLog.lastIndex();
    }

    FollowerProgress follower(String memberId) {
        return followers.get(memberId);
    }

    /** The highest index known to be on that member's disk. */
    private long matchIndex(String memberId) {
        FollowerProgress follower = followers.get(memberId);
        return follower == null ? 0 : follower.matchIndex;
    }

    /** When that was sent which the member has answered last. */
    long lastAckedSendMs(String memberId) {
        FollowerProgress follower = followers.get(memberId);
        return follower == null ? 0 : follower.lastAckedSendMs;
    }

    /** Whether the member has answered since then. */
    boolean hasContactSince(String memberId, long sinceMs) {
        FollowerProgress follower = followers.get(memberId);
        return follower != null && follower.lastContactMs > sinceMs;
    }

    void clearFollowers() {
        followers.clear();
    }

    // ---- the leader's side

    void replicate(boolean isImmediate) {
        if (raft.role != RaftNode.Role.LEADER) {
            return;
        }
        List<String> recipients = new ArrayList<>(raft.voters());
        raft.membershipChange.learners().forEach(learner -> {
            if (!recipients.contains(learner)) {
                recipients.add(learner);
            }
        });
        recipients.remove(raft.localId);
        followers.keySet().removeIf(memberId -> !recipients.contains(memberId));
        long nowMs = raft.clock.nowMs();
        for (String memberId : recipients) {
            FollowerProgress follower = followers.computeIfAbsent(
                    memberId, i -> new FollowerProgress(i, raft.raftLog.lastIndex() + 1, raft.lastContactMs(i, nowMs)));
            if (!follower.isRequestInFlight) {
                if (isImmediate
                        || follower.nextIndex <= raft.raftLog.lastIndex()
                        || follower.matchIndex < follower.nextIndex - 1
                        || nowMs - follower.lastAckedSendMs >= raft.timeouts.heartbeatMs()) {
                    sendNext(follower);
                }
            } else {
                follower.shouldSendAgain |= isImmediate;
                if (follower.isPayloadInFlight
                        && nowMs - Math.max(follower.inFlightSinceMs, follower.lastHeartbeatSentMs)
                                >= raft.timeouts.heartbeatMs()) {
                    sendHeartbeat(follower, nowMs);
                }
            }
        }
    }

    private void sendNext(FollowerProgress follower) {
        chooseTransfer(follower);
        long nowMs = raft.clock.nowMs();
        // Whoever is silent is first asked whether it is there.
        boolean isSilent = nowMs - follower.lastContactMs > raft.timeouts.electionMs() * 2;
        ObjectNode request = newFollowerRequest(follower);
        if (follower.transfer != null) {
            sendChunk(follower, request, isSilent || !follower.transfer.isOffsetKnown ? 0 : follower.chunkChars());
        } else {
            sendEntries(follower, request, isSilent ? 0 : follower.chunkChars());
        }
    }

    private ObjectNode newFollowerRequest(FollowerProgress follower) {
        ObjectNode request = raft.newRequest(follower.memberId)
                .put("term", raft.currentTerm())
                .put("control", raft.controlAddress)
                .put("n", ++follower.lastSentSequence)
                .put("answered", follower.lastAnsweredSequence)
                .put("right", raft.voterLeases.isGranting());
        raft.stateDigests.addQuery(follower, request);
        return request;
    }

    /** What goes to it next: a snapshot where entries are gone or are more than that, or an entry too large for one message. */
    private void chooseTransfer(FollowerProgress follower) {
        RaftLog raftLog = raft.raftLog;
        if (follower.transfer != null
                && follower.transfer.entry != null
                && (follower.snapshotRequestedFrom >= 0
                        || follower.nextIndex != follower.transfer.lastIndex()
                        || raftLog.termAt(follower.nextIndex) != follower.transfer.entry.term())) {
            follower.transfer = null;
        }
        if (follower.transfer != null
                && follower.transfer.snapshot != null
                && (!follower.transfer.isOffsetKnown
                        || raft.clock.nowMs() - follower.lastContactMs > raft.timeouts.absentMs())) {
            follower.transfer = null;
        }
        if (follower.transfer != null) {
            // One that is under way is finished, also when a newer one is there: else it might never end.
            return;
        }
        if (follower.snapshotRequestedFrom >= 0
                && (raftLog.snapshotIndex() < follower.snapshotRequestedFrom || raftLog.snapshotIndex() == 0)) {
            raft.takeSnapshot();
        }
        if (follower.snapshotRequestedFrom >= 0
                || follower.nextIndex <= raftLog.precedingIndex()
                || follower.nextIndex <= raftLog.snapshotIndex()
                        && raftLog.sizeInChars(follower.nextIndex, raftLog.snapshotIndex())
                                > raftLog.snapshot().data().length()) {
            follower.transfer = new ChunkedTransfer(raftLog.snapshot());
        } else if (follower.nextIndex <= raftLog.lastIndex()
                && raftLog.get(follower.nextIndex).data().length() > follower.chunkChars()) {
            follower.transfer = new ChunkedTransfer(raftLog.get(follower.nextIndex));
        }
    }

    private void sendEntries(FollowerProgress follower, ObjectNode request, int maxChars) {
        RaftLog raftLog = raft.raftLog;
        long previousIndex = follower.nextIndex - 1;
        long lastSentIndex = previousIndex;
        request.put("prevIndex", previousIndex)
                .put("prevTerm", raftLog.termAt(previousIndex))
                .put("commit", raft.commitIndex);
        ArrayNode entryArray = request.putArray("entries");
        int payloadChars = 0;
        while (lastSentIndex < raftLog.lastIndex()
                && lastSentIndex - previousIndex < MAX_ENTRIES_PER_REQUEST
                && payloadChars + raftLog.get(lastSentIndex + 1).data().length() <= maxChars) {
            DurableStore.LogEntry entry = raftLog.get(++lastSentIndex);
            payloadChars += entry.data().length();
            entryArray.addObject().put("term", entry.term()).put("data", entry.data());
        }
        long replicatedIndex = lastSentIndex;
        call(follower, "append", request, payloadChars, response -> {
            if (response.path("ok").asBoolean()) {
                onReplicated(follower, replicatedIndex, response);
            } else {
                follower.nextIndex = Math.max(
                        1,
                        Math.min(follower.nextIndex - 1, response.path("hint").asLong() + 1));
                follower.shouldSendAgain = true;
            }
        });
    }

    private void sendChunk(FollowerProgress follower, ObjectNode request, int maxChars) {
        ChunkedTransfer transfer = follower.transfer;
        String chunk =
                transfer.data.substring(transfer.offset, Math.min(transfer.data.length(), transfer.offset + maxChars));
        request.put("id", transfer.transferId)
                .put("index", transfer.lastIndex())
                .put("size", transfer.data.length())
                .put("offset", transfer.offset)
                .put("data", chunk);
        if (transfer.snapshot != null) {
            request.put("lastTerm", transfer.snapshot.term());
            ArrayNode voterArray = request.putArray("voters");
            transfer.snapshot.voters().forEach(voterArray::add);
        } else {
            request.put("prevIndex", follower.nextIndex - 1)
                    .put("prevTerm", raft.raftLog.termAt(follower.nextIndex - 1))
                    .put("entryTerm", transfer.entry.term())
                    .put("commit", raft.commitIndex);
        }
        call(follower, "part", request, chunk.length(), response -> {
            follower.shouldSendAgain = true;
            if (!response.path("ok").asBoolean()) {
                follower.transfer = null;
                if (response.has("hint")) {
                    follower.nextIndex = Math.max(
                            1,
                            Math.min(
                                    follower.nextIndex - 1,
                                    response.path("hint").asLong() + 1));
                }
            } else if (response.has("have")) {
                follower.snapshotsSent += transfer.isOffsetKnown ? 0 : 1;
                transfer.isOffsetKnown = true;
                transfer.offset = Math.max(
                        0,
                        Math.min(transfer.data.length(), response.path("have").asInt()));
            } else {
                follower.transfer = null;
                if (transfer.snapshot != null) {
                    follower.hasDivergedState = false;
                    raft.stateDigests.forgetMember(follower.memberId);
                }
                onReplicated(follower, transfer.lastIndex(), response);
            }
        });
    }

    /** Sends one message with so much in it, and takes what every answer tells before what this one does. */
    private void call(
            FollowerProgress follower,
            String kind,
            ObjectNode request,
            int payloadChars,
            Consumer<JsonNode> onResponse) {
        long sentAtMs = raft.clock.nowMs();
        follower.isRequestInFlight = true;
        follower.shouldSendAgain = false;
        follower.isPayloadInFlight = payloadChars > 0;
        follower.inFlightSinceMs = sentAtMs;
        long requestTerm = raft.currentTerm();
        raft.transport.call(
                RaftNode.addressOf(follower.memberId),
                kind,
                request,
                follower.requestTimeoutMs(raft.timeouts, payloadChars, kind.equals("part")),
                response -> {
                    follower.isRequestInFlight = false;
                    if (response == null) {
                        follower.onTimeout(payloadChars);
                    } else if (hasContactSince(follower, requestTerm, request, sentAtMs, response)) {
                        if (!response.has("stored")) {
                            follower.onAnswered(raft.clock.nowMs() - sentAtMs, payloadChars, raft.timeouts);
                        }
                        onResponse.accept(response);
                        raft.readIndex.completeConfirmed();
                        if (raft.role == RaftNode.Role.LEADER
                                && followers.get(follower.memberId) == follower
                                && (follower.shouldSendAgain
                                        || follower.nextIndex <= raft.raftLog.lastIndex()
                                        || !raft.readIndex.isEmpty())) {
                            sendNext(follower);
                        }
                    }
                });
    }

    private boolean hasContactSince(
            FollowerProgress follower, long requestTerm, ObjectNode request, long sentAtMs, JsonNode response) {
        if (raft.role != RaftNode.Role.LEADER
                || raft.currentTerm() != requestTerm
                || followers.get(follower.memberId) != follower) {
            return false;
        }
        if (response.path("term").asLong() > raft.currentTerm()) {
            raft.stepDown(response.path("term").asLong(), "newer term");
            return false;
        }
        follower.lastContactMs = raft.clock.nowMs();
        follower.lastAnsweredSequence =
                Math.max(follower.lastAnsweredSequence, request.path("n").asLong());
        follower.isSynced = response.path("settled").asBoolean();
        follower.lastAckedSendMs = Math.max(follower.lastAckedSendMs, sentAtMs);
        follower.snapshotRequestedFrom = response.path("renew").asLong(-1);
        raft.stateDigests.onResponse(follower, request, response);
        return raft.role == RaftNode.Role.LEADER;
    }

    /** A heartbeat beside a message that takes long to cross a slow link or to reach a slow disk. */
    private void sendHeartbeat(FollowerProgress follower, long nowMs) {
        follower.lastHeartbeatSentMs = nowMs;
        long requestTerm = raft.currentTerm();
        ObjectNode request = newFollowerRequest(follower);
        raft.transport.call(
                RaftNode.addressOf(follower.memberId), "heartbeat", request, raft.timeouts.requestMs(), response -> {
                    if (response != null && hasContactSince(follower, requestTerm, request, nowMs, response)) {
                        raft.readIndex.completeConfirmed();
                    }
                });
    }

    /** It holds everything up to an index, and has it on its disk as well unless it says how far that is. */
    private void onReplicated(FollowerProgress follower, long upToIndex, JsonNode response) {
        follower.matchIndex = Math.max(
                follower.matchIndex, Math.min(upToIndex, response.path("stored").asLong(upToIndex)));
        follower.nextIndex = Math.max(follower.matchIndex, upToIndex) + 1;
        if (follower.matchIndex >= raft.commitIndex) {
            follower.snapshotsSent = 0;
        }
        advanceCommitIndex();
    }

    List<MemberProgress> memberProgress() {
        long nowMs = raft.clock.nowMs();
        List<MemberProgress> result = new ArrayList<>();
        for (FollowerProgress follower : followers.values()) {
            ChunkedTransfer transfer = follower.transfer;
            result.add(new MemberProgress(
                    follower.memberId,
                    follower.matchIndex,
                    raft.raftLog.lastIndex() - follower.matchIndex,
                    transfer == null ? 0 : transfer.offset,
                    transfer == null ? 0 : transfer.data.length(),
                    follower.snapshotsSent,
                    nowMs - follower.lastContactMs,
                    follower.hasDivergedState || follower.snapshotRequestedFrom >= 0));
        }
        return result;
    }

    /** Own entries are on the disk. */
    void onStored(long index) {
        durableIndex = Math.max(durableIndex, index);
        advanceCommitIndex();
    }

    /** Whether all that is agreed lies on as many disks as are wanted without that member's. */
    boolean isCommittedWithout(String memberId) {
        List<String> others =
                raft.voters().stream().filter(voter -> !voter.equals(memberId)).toList();
        long replicaCount = others.stream()
                .filter(voter -> (voter.equals(raft.localId) ? durableIndex : matchIndex(voter)) >= raft.commitIndex)
                .count();
        return replicaCount >= Math.min(raft.requiredReplicas, others.size());
    }

    /** A voter that has all of this leader's log, or null. */
    String findSuccessor() {
        for (String voter : raft.voters()) {
            FollowerProgress follower = followers.get(voter);
            if (follower != null
                    && follower.matchIndex == raft.raftLog.lastIndex()
                    && raft.clock.nowMs() - follower.lastContactMs < raft.timeouts.electionMs()) {
                return voter;
            }
        }
        return null;
    }

    private void advanceCommitIndex() {
        long quorumIndex = raft.voterSet()
                .quorumValue(
                        voter -> voter.equals(raft.localId) ? durableIndex : matchIndex(voter), raft.requiredReplicas);
        if (quorumIndex > raft.commitIndex && raft.raftLog.termAt(quorumIndex) == raft.currentTerm()) {
            raft.commitIndex = quorumIndex;
            raft.applyCommitted();
            replicate(true);
        }
    }

    // ---- the follower's side

    void handleAppendRequest(JsonNode request, Consumer<ObjectNode> callback) {
        List<DurableStore.LogEntry> receivedEntries = new ArrayList<>();
        long index = request.path("prevIndex").asLong();
        for (JsonNode node : request.path("entries")) {
            receivedEntries.add(new DurableStore.LogEntry(
                    ++index, node.path("term").asLong(), node.path("data").asText()));
        }
        appendEntries(request, receivedEntries, callback);
    }

    private void appendEntries(
            JsonNode request, List<DurableStore.LogEntry> receivedEntries, Consumer<ObjectNode> callback) {
        RaftLog raftLog = raft.raftLog;
        long previousIndex = request.path("prevIndex").asLong();
        if (previousIndex > raftLog.lastIndex()
                || previousIndex >= raftLog.snapshotIndex()
                        && raftLog.termAt(previousIndex)
                                != request.path("prevTerm").asLong()) {
            callback.accept(raft.newResponse(false).put("hint", Math.min(raftLog.lastIndex(), previousIndex - 1)));
            return;
        }
        List<DurableStore.LogEntry> appendedEntries = new ArrayList<>();
        long truncateFrom = 0;
        for (DurableStore.LogEntry entry : receivedEntries) {
            long index = entry.index();
            if (index <= raftLog.snapshotIndex()) {
                continue;
            }
            if (index <= raftLog.lastIndex() && raftLog.termAt(index) != entry.term()) {
                truncateFrom = index;
                durableIndex = Math.min(durableIndex, index - 1);
                raftLog.truncateFrom(index);
            }
            if (index > raftLog.lastIndex()) {
                raftLog.append(entry);
                appendedEntries.add(entry);
            }
        }
        long newCommitIndex = Math.min(request.path("commit").asLong(), previousIndex + receivedEntries.size());
        if (appendedEntries.isEmpty() && truncateFrom == 0 && raft.durableStore.pendingSinceMs() < 0) {
            callback.accept(raft.newResponse(true));
        } else {
            persistAndRespond(truncateFrom, appendedEntries, null, callback);
        }
        if (newCommitIndex > raft.commitIndex) {
            raft.commitIndex = newCommitIndex;
            raft.applyCommitted();
        }
    }

    /**
     * Answers when all this is on the disk, and what was handed to it before. Where that takes long it answers how far the
     * disk is, so that a slow disk is not taken for a slow link, and what follows need not wait for it; unless the disk
     * hangs, for then this member is not to be counted on.
     */
    private void persistAndRespond(
            long truncateFrom,
            List<DurableStore.LogEntry> appendedEntries,
            DurableStore.Snapshot snapshot,
            Consumer<ObjectNode> callback) {
        long requestTerm = raft.currentTerm();
        ObjectNode response = raft.newResponse(true);
        Clock.Timer[] earlyResponseTimer = new Clock.Timer[1];
        boolean[] isAnswered = {false};
        raft.persist(truncateFrom, appendedEntries, snapshot, () -> {
            long lastIndex = snapshot != null
                    ? snapshot.index()
                    : appendedEntries.isEmpty()
                            ? 0
                            : appendedEntries.get(appendedEntries.size() - 1).index();
            long lastTerm = snapshot != null
                    ? snapshot.term()
                    : appendedEntries.isEmpty()
                            ? 0
                            : appendedEntries.get(appendedEntries.size() - 1).term();
            // It may have been cut off again, and another be in its place.
            if (lastIndex > 0
                    && (lastIndex <= raft.raftLog.snapshotIndex() || raft.raftLog.termAt(lastIndex) == lastTerm)) {
                durableIndex = Math.max(durableIndex, lastIndex);
            }
            if (!isAnswered[0]) {
                isAnswered[0] = true;
                if (earlyResponseTimer[0] != null) {
                    earlyResponseTimer[0].cancel();
                }
                callback.accept(response);
            }
        });
        earlyResponseTimer[0] = raft.clock.schedule(raft.timeouts.heartbeatMs() / 2, () -> {
            if (!isAnswered[0] && raft.currentTerm() == requestTerm && raft.isDiskHealthy()) {
                isAnswered[0] = true;
                callback.accept(response.put("stored", durableIndex));
            }
        });
    }

    void handleChunk(JsonNode request, Consumer<ObjectNode> callback) {
        long index = request.path("index").asLong();
        boolean isSnapshotChunk = !request.has("entryTerm");
        if (isSnapshotChunk && index <= raft.commitIndex && raft.isStateConsistent()) {
            chunkAssembler = null;
            persistAndRespond(0, List.of(), null, callback);
            return;
        }
        if (!isSnapshotChunk
                && raft.raftLog.termAt(index) == request.path("entryTerm").asLong()) {
            chunkAssembler = null;
            appendEntries(request, List.of(raft.raftLog.get(index)), callback);
            return;
        }
        String transferId = request.path("id").asText();
        String leaderId = request.path("from").asText();
        if (chunkAssembler == null || !chunkAssembler.transferId.equals(transferId)) {
            chunkAssembler = new ChunkAssembler(transferId, leaderId);
        } else if (!chunkAssembler.senderId.equals(leaderId)) {
            chunkAssembler.senderId = leaderId;
            raft.log.log(
                    Event.TRANSFER_RESUMED,
                    "index",
                    index,
                    "leader",
                    leaderId,
                    "receivedChars",
                    chunkAssembler.length(),
                    "totalChars",
                    request.path("size").asInt());
        }
        chunkAssembler.add(request.path("offset").asInt(), request.path("data").asText());
        if (chunkAssembler.length() < request.path("size").asInt()) {
            callback.accept(raft.newResponse(true).put("have", chunkAssembler.length()));
            return;
        }
        String assembledData = chunkAssembler.assembled();
        chunkAssembler = null;
        if (isSnapshotChunk) {
            installSnapshot(request, assembledData, callback);
        } else {
            appendEntries(
                    request,
                    List.of(new DurableStore.LogEntry(
                            index, request.path("entryTerm").asLong(), assembledData)),
                    callback);
        }
    }

    private void installSnapshot(JsonNode request, String data, Consumer<ObjectNode> callback) {
        long index = request.path("index").asLong();
        String state = SnapshotChecksum.verify(data);
        if (state == null || index < raft.raftLog.snapshotIndex()) {
            raft.log.log(
                    Event.SNAPSHOT_REJECTED,
                    "index",
                    index,
                    "cause",
                    state == null ? "digest" : "older than what is here");
            callback.accept(raft.newResponse(false));
            return;
        }
        List<String> voters = new ArrayList<>();
        request.path("voters").forEach(voter -> voters.add(voter.asText()));
        DurableStore.Snapshot snapshot =
                new DurableStore.Snapshot(index, request.path("lastTerm").asLong(), voters, data);
        long previousSnapshotIndex = raft.raftLog.snapshotIndex();
        boolean keepsEntries = raft.restoreSnapshot(snapshot, state);
        if (!keepsEntries) {
            durableIndex = Math.min(durableIndex, previousSnapshotIndex);
        }
        raft.log.log(Event.SNAPSHOT_INSTALLED, "index", index);
        persistAndRespond(keepsEntries ? 0 : 1, List.of(), snapshot, callback);
        raft.applyCommitted();
    }
}
