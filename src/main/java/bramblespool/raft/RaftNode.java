package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Agreement among the helms: Raft with pre-vote, check-quorum, snapshots, joint consensus and leadership transfer.
 * A member is its peer address and the incarnation kept on its disk, written {@code address#incarnation}.
 */
public final class RaftNode {
    enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    /** The incarnation of a disk that took part in the founding. */
    public static final String FOUNDER_INCARNATION = "0";
    /** Entries applied, or how many times the snapshot's size they are, before the log is folded into one at a checkpoint. */
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 128;

    private static final int SNAPSHOT_SIZE_RATIO = 2;

    final String localId;
    final String controlAddress;
    final Clock clock;
    final PeerTransport transport;
    final DurableStore durableStore;
    final StateMachine stateMachine;
    final RaftTimeouts timeouts;
    final EventLog log;
    final RaftLog raftLog;
    final Election election;
    final Replication replication;
    final ReadIndex readIndex;
    final VoterLeases voterLeases;
    final MembershipChange membershipChange;
    final StateDigests stateDigests;
    final int requiredReplicas;
    /** The state here is the group's, as far as is known; and the snapshot on the disk was whole at the start. */
    private boolean isStateConsistent = true;

    private boolean isSnapshotIntact = true;

    private long currentTerm;
    private String votedFor;
    /** The highest index known to be agreed, and the highest one that the machine has had. */
    long commitIndex;

    private long lastApplied;
    Role role = Role.FOLLOWER;
    private String leaderId;
    private String leaderControlAddress;
    private long lastLeaderContactMs;
    private long joinRequestedAtMs;
    private long leaderTerm;
    private boolean isLeaderReady;
    private boolean isStopped;
    private boolean isLeaving;
    private boolean hasLeft;
    long leaderSinceMs;
    /** Who led before this member did, and when it was last heard. */
    private String previousLeaderId;

    private long previousLeaderContactMs;
    private final Map<Long, Consumer<ProposalOutcome>> pendingProposals = new HashMap<>();

    /** {@code losses}: how many disks may be lost at one time with nothing agreed lost and a majority left. */
    public RaftNode(
            String localId,
            String controlAddress,
            int founderCount,
            int tolerableLosses,
            DurableStore.PersistentState persistentState,
            Clock clock,
            PeerTransport transport,
            DurableStore durableStore,
            StateMachine stateMachine,
            RaftTimeouts timeouts,
            EventLog log) {
        this.localId = localId;
        this.controlAddress = controlAddress;
        this.clock = clock;
        this.transport = transport;
        this.durableStore = durableStore;
        this.stateMachine = stateMachine;
        this.timeouts = timeouts;
        this.log = log;
        this.requiredReplicas = tolerableLosses + 1;
        this.currentTerm = persistentState.currentTerm();
        this.votedFor = persistentState.votedFor();
        this.raftLog = new RaftLog(persistentState);
        this.lastApplied = raftLog.snapshotIndex();
        this.stateDigests = new StateDigests(this);
        if (raftLog.snapshot().data() != null) {
            String state = SnapshotChecksum.verify(raftLog.snapshot().data());
            if (state == null) {
                isStateConsistent = false;
                isSnapshotIntact = false;
                log.log(Event.SNAPSHOT_REJECTED, "index", raftLog.snapshotIndex(), "cause", "digest, at the start");
            } else {
                stateMachine.restore(state);
                stateDigests.add(
                        raftLog.snapshotIndex(),
                        SnapshotChecksum.shortDigest(raftLog.snapshot().data()));
            }
        }
        this.commitIndex =
                Math.max(raftLog.snapshotIndex(), Math.min(persistentState.commitIndex(), raftLog.lastIndex()));
        this.lastLeaderContactMs = clock.nowMs() - timeouts.electionMs();
        this.election = new Election(this);
        this.replication = new Replication(this);
        this.readIndex = new ReadIndex(this);
        this.voterLeases = new VoterLeases(this);
        this.membershipChange = new MembershipChange(this, Math.max(founderCount, 2 * tolerableLosses + 1));
    }

    public void start() {
        applyCommitted();
        tick();
    }

    /** Gives up the lead, if need be to nobody, and takes no further part. */
    public void stop() {
        isStopped = true;
        if (role == Role.LEADER) {
            stepDown(currentTerm, "stopping");
        }
    }

    /**
     * This member is to end: it campaigns no more, hands over the lead, and asks the next leader to be let go.
     * {@link #hasLeft} tells when it may go.
     */
    public void leave() {
        isLeaving = true;
        requestRemoval();
    }

    /** Whether this member may end without the group missing it. */
    public boolean hasLeft() {
        return hasLeft;
    }

    boolean isLeaving() {
        return isLeaving;
    }

    private void requestRemoval() {
        if (isStopped || hasLeft) {
            return;
        }
        clock.schedule(timeouts.heartbeatMs(), this::requestRemoval);
        if (role == Role.LEADER) {
            return;
        }
        if (!voters().contains(localId)) {
            hasLeft = true;
        } else if (leaderId != null && !leaderId.equals(localId)) {
            transport.call(
                    addressOf(leaderId),
                    "leave",
                    newRequest(leaderId).put("id", localId),
                    timeouts.requestMs(),
                    response ->
                            hasLeft |= response != null && response.path("ok").asBoolean());
        }
    }

    /** Leadership transfer: a voter that has everything campaigns at once, and this member leads no more. */
    private void transferLeadership() {
        String successor = replication.findSuccessor();
        if (successor == null) {
            return;
        }
        ObjectNode request = newRequest(successor).put("term", currentTerm);
        membershipChange.learners().forEach(request.putArray("learners")::add);
        log.log(Event.LEADERSHIP_TRANSFERRED, "term", currentTerm, "successor", successor);
        stepDown(currentTerm, "leaving");
        transport.call(addressOf(successor), "lead", request, timeouts.requestMs(), response -> {});
    }

    public boolean isLeader() {
        return role == Role.LEADER && isLeaderReady;
    }

    /** The control address of the leader, as far as one has been heard of lately; or null. */
    public String leaderControlAddress() {
        return role == Role.LEADER
                ? isLeader() ? controlAddress : null
                : hasLeaderContact() ? leaderControlAddress : null;
    }

    public String localId() {
        return localId;
    }

    public long currentTerm() {
        return currentTerm;
    }

    /** The highest term in which this member has led or heard of who leads. */
    public long leaderTerm() {
        return leaderTerm;
    }

    public long lastApplied() {
        return lastApplied;
    }

    /** Whether this member holds entries that are not agreed yet, as far as it knows. */
    public boolean hasUnappliedEntries() {
        return raftLog.lastIndex() > lastApplied;
    }

    public String leaderId() {
        return role == Role.LEADER ? localId : leaderId;
    }

    /** The addresses of the members that answer this leader, its own among them. */
    public List<String> liveMemberAddresses() {
        List<String> addresses = new ArrayList<>();
        for (String voter : voters()) {
            FollowerProgress follower = replication.follower(voter);
            if (voter.equals(localId)
                    || follower != null && clock.nowMs() - follower.lastContactMs < timeouts.electionMs() * 2) {
                addresses.add(addressOf(voter));
            }
        }
        return addresses;
    }

    /** Whether this member leads or has lately heard from who does. */
    public boolean hasLeaderContact() {
        return isLeader()
                || role == Role.FOLLOWER
                        && leaderId != null
                        && clock.nowMs() - lastLeaderContactMs < timeouts.electionMs() * 2;
    }

    /** When a member was heard by this leader, or by this member before it led. */
    long lastContactMs(String memberId, long nowMs) {
        return role == Role.LEADER && memberId.equals(previousLeaderId)
                ? Math.min(nowMs, previousLeaderContactMs)
                : nowMs;
    }

    /** Whether this member may go on with a duty that it holds for itself alone. */
    public boolean hasLease() {
        return voterLeases.isHeld();
    }

    /** The addresses of the voters whose right may still stand, as the leader knows. */
    public List<String> leaseHolderAddresses() {
        return voterLeases.holderAddresses();
    }

    /** How far the others are, where this member leads. */
    public List<MemberProgress> memberProgress() {
        return role == Role.LEADER ? replication.memberProgress() : List.of();
    }

    /** The state here is not what the group agreed on: this member does not lead before it has taken another's. */
    void markStateInconsistent() {
        isStateConsistent = false;
    }

    boolean isStateConsistent() {
        return isStateConsistent;
    }

    /** All who have a vote, as the newest entry that names them says, agreed or not. */
    public List<String> voters() {
        return voterSet().all();
    }

    /** The voters, or the change under way from some to others. */
    public VoterSet voterSet() {
        return raftLog.voterSet();
    }

    /** The first entry of every founding member: the founders, whom all derive alike from their settings. */
    public static DurableStore.LogEntry foundingEntry(List<String> addresses) {
        return new DurableStore.LogEntry(
                1,
                0,
                LogEntryCodec.encodeVoters(VoterSet.decode(addresses.stream()
                        .sorted()
                        .map(address -> address + "#" + FOUNDER_INCARNATION)
                        .toList())));
    }

    public static String addressOf(String memberId) {
        return memberId.substring(0, memberId.indexOf('#'));
    }

    // ---- time

    private void tick() {
        if (isStopped) {
            return;
        }
        // Not in step with the others: whose time to campaign comes in one tick split the votes, again and again.
        double jitter = role == Role.LEADER ? 1 : 0.5 + clock.random();
        clock.schedule(Math.max(1, (long) (timeouts.heartbeatMs() / 2 * jitter)), this::tick);
        long nowMs = clock.nowMs();
        if (role == Role.LEADER) {
            leaderTick(nowMs);
        } else if (!isLeaving
                && election.isDue(nowMs)
                && nowMs - lastLeaderContactMs >= timeouts.electionMs()
                && voters().contains(localId)
                && isDiskHealthy()
                && isStateConsistent) {
            election.campaign(true);
        }
    }

    boolean isDiskHealthy() {
        long pendingSinceMs = durableStore.pendingSinceMs();
        return !durableStore.isFailing()
                && (pendingSinceMs < 0 || clock.nowMs() - pendingSinceMs < timeouts.electionMs());
    }

    boolean hasRecentLeader() {
        return role == Role.LEADER || leaderId != null && clock.nowMs() - lastLeaderContactMs < timeouts.electionMs();
    }

    private void leaderTick(long nowMs) {
        if (!isDiskHealthy()) {
            stepDown(currentTerm, "disk");
            return;
        }
        if (!voterSet()
                .hasMajority(
                        v -> v.equals(localId) || replication.hasContactSince(v, nowMs - timeouts.electionMs() * 2))) {
            stepDown(currentTerm, "no quorum");
            return;
        }
        readIndex.failExpired(nowMs);
        membershipChange.advance(nowMs);
        replication.replicate(false);
        if (isLeaving && isLeader() && replication.isCommittedWithout(localId)) {
            transferLeadership();
        }
    }

    // ---- roles

    void becomeCandidate() {
        currentTerm++;
        votedFor = localId;
        role = Role.CANDIDATE;
        leaderId = null;
        leaderControlAddress = null;
    }

    /** Gives its vote in the present term to that member, unless another one has it. */
    boolean grantVote(String candidate) {
        if (votedFor != null && !votedFor.equals(candidate)) {
            return false;
        }
        votedFor = candidate;
        return true;
    }

    void becomeLeader() {
        role = Role.LEADER;
        previousLeaderContactMs = lastLeaderContactMs;
        election.onLeaderKnown();
        leaderId = localId;
        leaderControlAddress = controlAddress;
        leaderSinceMs = clock.nowMs();
        leaderTerm = currentTerm;
        isLeaderReady = false;
        replication.clearFollowers();
        stateDigests.clearReported();
        log.log(Event.LEADER_ELECTED, "term", currentTerm);
        append(LogEntryCodec.encodeNoop(), outcome -> {
            if (outcome == ProposalOutcome.COMMITTED && role == Role.LEADER) {
                isLeaderReady = true;
                stateMachine.onLeadershipChanged(true);
            }
        });
    }

    void stepDown(long newTerm, String reason) {
        boolean wasLeader = role == Role.LEADER;
        boolean isNewerTerm = newTerm > currentTerm;
        if (isNewerTerm) {
            currentTerm = newTerm;
            votedFor = null;
        }
        role = Role.FOLLOWER;
        replication.clearFollowers();
        if (wasLeader) {
            log.log(Event.STEPPED_DOWN, "term", currentTerm, "cause", reason);
            leaderId = null;
            leaderControlAddress = null;
            membershipChange.clear();
            List<Consumer<ProposalOutcome>> failedProposals = new ArrayList<>(pendingProposals.values());
            pendingProposals.clear();
            List<Consumer<LeadershipConfirmation>> failedReads = readIndex.drainCallbacks();
            if (isLeaderReady) {
                isLeaderReady = false;
                stateMachine.onLeadershipChanged(false);
            }
            failedProposals.forEach(callback -> callback.accept(ProposalOutcome.LEADERSHIP_LOST));
            failedReads.forEach(callback -> callback.accept(LeadershipConfirmation.NOT_CONFIRMED));
        }
        election.postpone();
        if (isNewerTerm) {
            persist(0, List.of(), null, () -> {});
        }
    }

    // ---- log

    void persist(
            long truncateFrom,
            List<DurableStore.LogEntry> appendedEntries,
            DurableStore.Snapshot snapshot,
            Runnable onDurable) {
        durableStore.save(
                new DurableStore.Change(
                        currentTerm, votedFor, commitIndex, truncateFrom, List.copyOf(appendedEntries), snapshot),
                onDurable);
    }

    /** Proposes an entry, whose text is opaque here. */
    public void propose(String entry, Consumer<ProposalOutcome> callback) {
        if (!isLeader()) {
            callback.accept(ProposalOutcome.LEADERSHIP_LOST);
            return;
        }
        append(entry, callback);
    }

    void append(String entry, Consumer<ProposalOutcome> callback) {
        DurableStore.LogEntry newEntry = new DurableStore.LogEntry(raftLog.lastIndex() + 1, currentTerm, entry);
        raftLog.append(newEntry);
        pendingProposals.put(newEntry.index(), callback);
        long proposalTerm = currentTerm;
        persist(0, List.of(newEntry), null, () -> {
            if (currentTerm == proposalTerm && role == Role.LEADER) {
                replication.onStored(newEntry.index());
            }
        });
        replication.replicate(true);
    }

    /** Asks a majority whether this member still leads. */
    public void confirmLeadership(Consumer<LeadershipConfirmation> callback) {
        readIndex.confirmLeadership(callback);
    }

    void applyCommitted() {
        while (isSnapshotIntact && lastApplied < Math.min(commitIndex, raftLog.lastIndex())) {
            lastApplied++;
            DurableStore.LogEntry committedEntry = raftLog.get(lastApplied);
            stateMachine.apply(committedEntry.index(), committedEntry.data());
            if (lastApplied % StateDigests.DIGEST_INTERVAL_ENTRIES == 0) {
                recordStateDigest();
            }
            Consumer<ProposalOutcome> callback = pendingProposals.remove(committedEntry.index());
            if (callback != null) {
                callback.accept(ProposalOutcome.COMMITTED);
            }
        }
    }

    /** All members fold at the same indices, so that one can go on with a snapshot that another had begun to send. */
    private void recordStateDigest() {
        String snapshotData = SnapshotChecksum.addChecksum(stateMachine.snapshot());
        stateDigests.add(lastApplied, SnapshotChecksum.shortDigest(snapshotData));
        if (lastApplied - raftLog.snapshotIndex() >= SNAPSHOT_INTERVAL_ENTRIES
                || raftLog.sizeInChars(raftLog.snapshotIndex() + 1, lastApplied)
                        >= SNAPSHOT_SIZE_RATIO * snapshotData.length()) {
            takeSnapshot(snapshotData);
        }
    }

    /** Folds all that is applied, at any index. */
    void takeSnapshot() {
        takeSnapshot(SnapshotChecksum.addChecksum(stateMachine.snapshot()));
    }

    private void takeSnapshot(String snapshotData) {
        raftLog.compact(lastApplied, snapshotData);
        persist(0, List.of(), raftLog.snapshot(), () -> {});
        log.log(Event.SNAPSHOT_TAKEN, "index", raftLog.snapshotIndex());
    }

    /** Answers whether the entries behind the snapshot stay. */
    boolean restoreSnapshot(DurableStore.Snapshot snapshot, String state) {
        boolean keepsEntries = raftLog.installSnapshot(snapshot);
        commitIndex = Math.max(commitIndex, snapshot.index());
        lastApplied = snapshot.index();
        stateMachine.restore(state);
        stateDigests.add(snapshot.index(), SnapshotChecksum.shortDigest(snapshot.data()));
        isStateConsistent = true;
        isSnapshotIntact = true;
        return keepsEntries;
    }

    // ---- peers

    ObjectNode newRequest(String recipient) {
        return JsonNodeFactory.instance.objectNode().put("to", recipient).put("from", localId);
    }

    ObjectNode newResponse(boolean isAccepted) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("term", currentTerm)
                .put("ok", isAccepted)
                .put("settled", stateMachine.isSynced());
    }

    /** Serves one of the group's messages; false where the kind is another's. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        switch (kind) {
            case "vote", "append", "part", "heartbeat", "lead", "leave" -> {
                if (isStopped || !localId.equals(request.path("to").asText())) {
                    log.logOnChange(
                            Event.MESSAGE_DROPPED,
                            kind + request.path("to").asText(),
                            "kind",
                            kind,
                            "cause",
                            "not for this life");
                    callback.accept(null);
                } else if (kind.equals("vote")) {
                    if (isSnapshotIntact) {
                        election.handleVoteRequest(request, callback);
                    } else {
                        callback.accept(newResponse(false));
                    }
                } else if (kind.equals("leave")) {
                    callback.accept(newResponse(isLeader()
                            && membershipChange.requestLeave(request.path("id").asText())));
                } else if (kind.equals("lead")) {
                    if (request.path("term").asLong() == currentTerm
                            && role == Role.FOLLOWER
                            && voters().contains(localId)
                            && isDiskHealthy()
                            && isStateConsistent
                            && !isLeaving) {
                        request.path("learners").forEach(learner -> membershipChange.addLearner(learner.asText()));
                        election.campaignAfterTransfer();
                    }
                    callback.accept(newResponse(true));
                } else {
                    handleLeaderRequest(kind, request, callback);
                }
                return true;
            }
            case "join" -> {
                if (isLeader()) {
                    membershipChange.addLearner(request.path("id").asText());
                }
                callback.accept(newResponse(role == Role.LEADER));
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private void handleLeaderRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        long requestTerm = request.path("term").asLong();
        if (requestTerm < currentTerm) {
            callback.accept(newResponse(false).put("hint", raftLog.lastIndex()));
            return;
        }
        if (requestTerm > currentTerm || role != Role.FOLLOWER) {
            stepDown(requestTerm, "another leads");
        }
        leaderId = request.path("from").asText();
        previousLeaderId = leaderId;
        leaderControlAddress = request.path("control").asText();
        lastLeaderContactMs = clock.nowMs();
        leaderTerm = currentTerm;
        election.postpone();
        election.onLeaderKnown();
        voterLeases.onLeaderRequest(leaderId, request);
        if (request.path("differs").asBoolean() && isStateConsistent) {
            log.log(Event.STATE_DIVERGED, "member", localId, "index", lastApplied, "leader", leaderId);
            isStateConsistent = false;
        }
        Consumer<ObjectNode> respond = response -> {
            stateDigests.addDigest(request, response);
            if (!isStateConsistent) {
                response.put("renew", raftLog.snapshotIndex());
            }
            callback.accept(response);
        };
        switch (kind) {
            case "part" -> replication.handleChunk(request, respond);
            case "heartbeat" -> {
                // It says nothing of the disk; but whoever has none that works is not to be counted on.
                if (isDiskHealthy()) {
                    respond.accept(newResponse(true));
                } else {
                    callback.accept(null);
                }
            }
            default -> {
                if (isSnapshotIntact) {
                    replication.handleAppendRequest(request, respond);
                } else {
                    respond.accept(newResponse(false).put("hint", 0));
                }
            }
        }
    }

    /** Somebody has heard of a leader in that term: a leader in a lower one is none any more. */
    public void observeTerm(long newerTerm) {
        if (newerTerm > currentTerm && role == Role.LEADER) {
            stepDown(newerTerm, "a higher term was heard of");
        }
    }

    /**
     * Asks to be taken in where nobody who leads feeds this member: it is new, or was replaced while it was away and cannot
     * know that.
     */
    public void requestJoin(Iterable<String> addresses) {
        if (isStopped || isLeaving || role == Role.LEADER || hasRecentLeader()) {
            return;
        }
        if (!voters().contains(localId)) {
            log.logOnChange(Event.JOIN_REQUESTED, localId, "member", localId);
        } else if (clock.nowMs() - Math.max(lastLeaderContactMs, joinRequestedAtMs) < timeouts.absentMs() * 2) {
            // Most likely there is just nobody who leads.
            return;
        }
        joinRequestedAtMs = clock.nowMs();
        for (String address : addresses) {
            if (!address.equals(addressOf(localId))) {
                transport.call(
                        address,
                        "join",
                        JsonNodeFactory.instance.objectNode().put("id", localId),
                        timeouts.requestMs(),
                        ignored -> {});
            }
        }
    }
}
