package bramblespool.raft;

import bramblespool.raft.RaftRequest.LeaderHeader;
import bramblespool.state.DurableStore;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The leader's replication of its log to the other members: one request in flight to each, with entries or a chunk of
 * what is too large for one (Raft dissertation, sections 3.5 and 5.3), and the commit index that follows from their
 * answers. Confined to the event loop.
 */
final class LogReplicator {
    private static final int MAX_ENTRIES_PER_REQUEST = 64;

    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final LogApplier applier;
    private final MembershipChange membershipChange;
    private final LeaderRequests requests;

    LogReplicator(
            RaftContext context,
            QuorumState quorum,
            RaftLog raftLog,
            RaftStorage storage,
            LogApplier applier,
            MembershipChange membershipChange,
            LeaderRequests requests) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.storage = storage;
        this.applier = applier;
        this.membershipChange = membershipChange;
        this.requests = requests;
    }

    /**
     * Appends an entry to the leader's log, and sends it; the callback comes once it is committed or the lead is
     * lost.
     */
    void append(LeaderState leader, String data, Consumer<ProposalOutcome> callback) {
        DurableStore.LogEntry entry = new DurableStore.LogEntry(raftLog.lastIndex() + 1, leader.term(), data);
        raftLog.append(entry);
        leader.addProposal(entry.index(), callback);
        storage.append(List.of(entry), () -> {
            // A leader counts its own copy only once it is on the disk.
            if (quorum.isCurrent(leader)) {
                raftLog.markDurable(entry.index(), entry.term());
                advanceCommitIndex(leader);
            }
        });
        replicateNow();
    }

    /** Sends to every member at once, or as soon as it has answered the request in flight. */
    void replicateNow() {
        quorum.leader().ifPresent(leader -> replicate(leader, true));
    }

    /** Sends to every member to which there is something to send, or no request has gone for a heartbeat's interval. */
    void replicateDue() {
        quorum.leader().ifPresent(leader -> replicate(leader, false));
    }

    private void replicate(LeaderState leader, boolean isImmediate) {
        List<String> recipients = recipients();
        leader.retainFollowers(recipients);
        long nowMs = context.nowMs();
        for (String memberId : recipients) {
            FollowerProgress follower = leader.getOrAddFollower(
                    memberId, raftLog.lastIndex() + 1, quorum.lastContactBeforeElectionMs(memberId, nowMs));
            if (!follower.isRequestInFlight()) {
                if (isImmediate
                        || follower.hasOutstandingEntries(raftLog.lastIndex())
                        || nowMs - follower.lastAckedSendMs()
                                >= context.timeouts().heartbeatMs()) {
                    sendNext(leader, follower);
                }
                continue;
            }
            if (isImmediate) {
                follower.sendAgain();
            }
            if (follower.isHeartbeatDue(nowMs, context.timeouts().heartbeatMs())) {
                requests.sendHeartbeat(leader, follower, () -> completeReads(leader));
            }
        }
    }

    /** The voters and learners besides this member. */
    private List<String> recipients() {
        List<String> recipients = new ArrayList<>(raftLog.voterSet().all());
        membershipChange.learners().forEach(learner -> {
            if (!recipients.contains(learner)) {
                recipients.add(learner);
            }
        });
        recipients.remove(context.localId());
        return recipients;
    }

    private void sendNext(LeaderState leader, FollowerProgress follower) {
        chooseTransfer(follower);
        // Whoever is silent is first asked whether it is there.
        boolean isSilent =
                context.nowMs() - follower.lastContactMs() > context.timeouts().contactMs();
        LeaderHeader header = requests.newHeader(leader, follower);
        if (follower.transfer().isPresent()) {
            ChunkedTransfer transfer = follower.transfer().get();
            int maxChars = isSilent || !transfer.isOffsetKnown() ? 0 : follower.chunkChars();
            sendChunk(leader, follower, header, transfer, maxChars);
        } else {
            sendEntries(leader, follower, header, isSilent ? 0 : follower.chunkChars());
        }
    }

    // ---- transfers in chunks

    /**
     * Decides what goes next: a snapshot where entries are gone or are larger, or an entry too large for one request.
     */
    private void chooseTransfer(FollowerProgress follower) {
        if (follower.transfer().isPresent()
                && isObsolete(follower, follower.transfer().get())) {
            follower.endTransfer();
        }
        if (follower.transfer().isPresent()) {
            // One that is under way is finished, also when a newer one is there: else it might never end.
            return;
        }
        OptionalLong neededFrom = follower.snapshotNeededFrom();
        if (neededFrom.isPresent()
                && (raftLog.snapshotIndex() < neededFrom.getAsLong() || raftLog.snapshotIndex() == 0)) {
            applier.takeSnapshot();
        }
        if (neededFrom.isPresent() || isSnapshotCheaper(follower.nextIndex())) {
            follower.startTransfer(new ChunkedTransfer.OfSnapshot(raftLog.snapshot()));
        } else if (follower.nextIndex() <= raftLog.lastIndex()
                && raftLog.get(follower.nextIndex()).data().length() > follower.chunkChars()) {
            follower.startTransfer(new ChunkedTransfer.OfEntry(raftLog.get(follower.nextIndex())));
        }
    }

    private boolean isObsolete(FollowerProgress follower, ChunkedTransfer transfer) {
        if (transfer instanceof ChunkedTransfer.OfEntry ofEntry) {
            return follower.needsSnapshot()
                    || follower.nextIndex() != ofEntry.lastIndex()
                    || raftLog.termAt(follower.nextIndex()) != ofEntry.entryTerm();
        }
        return !transfer.isOffsetKnown()
                || context.nowMs() - follower.lastContactMs()
                        > context.timeouts().absentMs();
    }

    /**
     * Whether the entries from that index on are not held any more, or are larger than the snapshot that covers them.
     */
    private boolean isSnapshotCheaper(long nextIndex) {
        return nextIndex <= raftLog.precedingIndex()
                || nextIndex <= raftLog.snapshotIndex()
                        && raftLog.sizeInChars(nextIndex, raftLog.snapshotIndex())
                                > raftLog.snapshot().data().length();
    }

    private void sendChunk(
            LeaderState leader,
            FollowerProgress follower,
            LeaderHeader header,
            ChunkedTransfer transfer,
            int maxChars) {
        RaftRequest.Chunk chunk = transfer.nextChunk(maxChars);
        RaftRequest.FromLeader request;
        if (transfer instanceof ChunkedTransfer.OfSnapshot ofSnapshot) {
            DurableStore.Snapshot snapshot = ofSnapshot.snapshot();
            request =
                    new RaftRequest.SnapshotChunk(header, chunk, snapshot.index(), snapshot.term(), snapshot.voters());
        } else {
            long previousIndex = follower.nextIndex() - 1;
            request = new RaftRequest.EntryChunk(
                    header,
                    chunk,
                    transfer.lastIndex(),
                    ((ChunkedTransfer.OfEntry) transfer).entryTerm(),
                    previousIndex,
                    raftLog.termAt(previousIndex),
                    raftLog.commitIndex());
        }
        send(
                leader,
                follower,
                request,
                chunk.data().length(),
                response -> onChunkResponse(leader, follower, transfer, response));
    }

    private void onChunkResponse(
            LeaderState leader, FollowerProgress follower, ChunkedTransfer transfer, RaftResponse response) {
        follower.sendAgain();
        if (!response.isAccepted()) {
            follower.endTransfer();
            if (response.progress() instanceof RaftResponse.LogMismatch mismatch) {
                follower.onLogMismatch(mismatch.lastIndexHint());
            }
        } else if (response.progress() instanceof RaftResponse.ChunkReceived received) {
            if (!transfer.isOffsetKnown()) {
                follower.onSnapshotStarted();
            }
            transfer.onReceived(received.receivedChars());
        } else {
            follower.endTransfer();
            if (transfer instanceof ChunkedTransfer.OfSnapshot) {
                requests.onStateReplaced(follower);
            }
            onReplicated(leader, follower, transfer.lastIndex(), response);
        }
    }

    // ---- entries

    private void sendEntries(LeaderState leader, FollowerProgress follower, LeaderHeader header, int maxChars) {
        long previousIndex = follower.nextIndex() - 1;
        long lastSentIndex = previousIndex;
        List<DurableStore.LogEntry> entries = new ArrayList<>();
        int payloadChars = 0;
        while (lastSentIndex < raftLog.lastIndex()
                && entries.size() < MAX_ENTRIES_PER_REQUEST
                && payloadChars + raftLog.get(lastSentIndex + 1).data().length() <= maxChars) {
            DurableStore.LogEntry entry = raftLog.get(++lastSentIndex);
            payloadChars += entry.data().length();
            entries.add(entry);
        }
        long replicatedIndex = lastSentIndex;
        RaftRequest.LogSegment segment = new RaftRequest.LogSegment(
                previousIndex, raftLog.termAt(previousIndex), raftLog.commitIndex(), entries);
        send(leader, follower, new RaftRequest.Append(header, segment), payloadChars, response -> {
            if (response.isAccepted()) {
                onReplicated(leader, follower, replicatedIndex, response);
            } else {
                // Without a hint it starts over from the first entry.
                follower.onLogMismatch(
                        response.progress() instanceof RaftResponse.LogMismatch mismatch
                                ? mismatch.lastIndexHint()
                                : 0);
                follower.sendAgain();
            }
        });
    }

    /** Sends one request; what any answer reports is handled before what this one does. */
    private void send(
            LeaderState leader,
            FollowerProgress follower,
            RaftRequest.FromLeader request,
            int payloadChars,
            Consumer<RaftResponse> onResponse) {
        requests.send(leader, follower, request, payloadChars, response -> {
            onResponse.accept(response);
            completeReads(leader);
            if (quorum.isCurrent(leader)
                    && leader.isCurrent(follower)
                    && (follower.shouldSendAgain()
                            || follower.nextIndex() <= raftLog.lastIndex()
                            || !leader.readIndex().isEmpty())) {
                sendNext(leader, follower);
            }
        });
    }

    private void onReplicated(LeaderState leader, FollowerProgress follower, long upToIndex, RaftResponse response) {
        OptionalLong durableIndex = response.progress() instanceof RaftResponse.PartiallyDurable partial
                ? OptionalLong.of(partial.durableIndex())
                : OptionalLong.empty();
        follower.onReplicated(upToIndex, durableIndex, raftLog.commitIndex());
        advanceCommitIndex(leader);
    }

    /** Only entries of the leader's own term are committed by counting copies (section 3.6.2). */
    private void advanceCommitIndex(LeaderState leader) {
        long replicatedIndex = leader.replicatedIndex(raftLog, context);
        if (replicatedIndex > raftLog.commitIndex() && raftLog.termAt(replicatedIndex) == leader.term()) {
            raftLog.advanceCommitIndex(replicatedIndex);
            applier.applyCommitted();
            replicateNow();
        }
    }

    // ---- reads

    /** Asks a majority whether this member still leads; the callback comes from a later answer or from a time-out. */
    void confirmLeadership(LeaderState leader, Consumer<LeadershipConfirmation> callback) {
        leader.readIndex().add(context.nowMs(), callback);
        if (!completeReads(leader)) {
            replicateNow();
        }
    }

    private boolean completeReads(LeaderState leader) {
        return leader.readIndex().completeConfirmed(raftLog.voterSet(), context.localId(), leader::lastAckedSendMs);
    }
}
