package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.VoterSet;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A member of a consensus group: Raft with pre-vote, check-quorum, snapshots, joint consensus and leadership transfer
 * (Diego Ongaro, "Consensus: Bridging Theory and Practice", 2014; sections named in this package are of it). A member
 * is its peer address and the incarnation kept on its disk, written {@code address#incarnation}.
 *
 * <p>This class wires the parts and runs their timer. {@link QuorumState} owns term, vote and role, {@link RaftLog}
 * the log, {@link LogApplier} what is applied of it; {@link LeaderState} what exists only while this member leads.
 * Requests of other members come in by {@link RequestDispatcher}. Confined to the event loop, from the first request
 * or timer on.
 */
public final class RaftNode {
    /** The incarnation of a disk that took part in the founding. */
    public static final String FOUNDER_INCARNATION = "0";

    private static final char INCARNATION_SEPARATOR = '#';
    private static final long FOUNDING_INDEX = 1;
    private static final long FOUNDING_TERM = 0;
    /** Ticks in a heartbeat's interval. */
    private static final int TICKS_PER_HEARTBEAT = 2;
    /** The least part of a tick's interval after which one that does not lead ticks again. */
    private static final double MIN_JITTER = 0.5;

    private final RaftContext context;
    private final RaftLog raftLog;
    private final QuorumState quorum;
    private final RaftStorage storage;
    private final LogApplier applier;
    private final ElectionTimer electionTimer;
    private final MembershipChange membershipChange;
    private final RoleTransitions roles;
    private final VoterLeases voterLeases;
    private final LogReplicator replicator;
    private final Election election;
    private final LocalMembership localMembership;
    private final CandidateEligibility eligibility;
    private final LeadershipTransfer leadershipTransfer;
    private final RequestDispatcher dispatcher;
    /** The thread of the first request or timer; only assertions read it. */
    private Thread eventLoopThread;

    /**
     * Restores the state machine from the disk.
     *
     * @param persistentState what the durable store held at the start
     */
    public RaftNode(
            RaftOptions options,
            DurableStore.PersistentState persistentState,
            Clock clock,
            PeerTransport peerTransport,
            DurableStore durableStore,
            StateMachine stateMachine,
            EventLog log) {
        context = new RaftContext(
                options.localId(),
                options.controlAddress(),
                options.requiredReplicas(),
                clock,
                options.timeouts(),
                log);
        raftLog = new RaftLog(persistentState);
        quorum = new QuorumState(context, persistentState);
        storage = new RaftStorage(durableStore, context, quorum, raftLog);
        StateDigests stateDigests = new StateDigests(context, raftLog);
        applier = new LogApplier(context, quorum, raftLog, storage, stateMachine, stateDigests);
        electionTimer = new ElectionTimer(context);
        membershipChange = new MembershipChange(context, raftLog, stateMachine, options.targetVoterCount());
        roles = new RoleTransitions(
                context, quorum, storage, electionTimer, membershipChange, stateDigests, stateMachine);
        RaftTransport transport = new RaftTransport(peerTransport);
        voterLeases = new VoterLeases(context, quorum, raftLog);
        replicator = new LogReplicator(
                context,
                quorum,
                raftLog,
                storage,
                applier,
                membershipChange,
                new LeaderRequests(context, quorum, transport, roles, applier, voterLeases, stateDigests));
        election = new Election(context, quorum, raftLog, transport, storage, roles, this::onElected);
        localMembership = new LocalMembership(context, quorum, raftLog, transport);
        eligibility = new CandidateEligibility(context, raftLog, storage, applier, localMembership);
        leadershipTransfer =
                new LeadershipTransfer(context, quorum, raftLog, transport, roles, membershipChange, localMembership);
        dispatcher = newDispatcher(stateMachine, stateDigests);
    }

    private RequestDispatcher newDispatcher(StateMachine stateMachine, StateDigests stateDigests) {
        ResponseFactory responses = new ResponseFactory(quorum, raftLog, stateMachine);
        FollowerWriter writer = new FollowerWriter(context, quorum, raftLog, storage, responses);
        AppendHandler appendHandler = new AppendHandler(raftLog, storage, applier, writer, responses);
        return new RequestDispatcher(
                context,
                localMembership,
                new VoteHandler(quorum, raftLog, storage, applier, roles, electionTimer, responses),
                new LeaderRequestHandler(
                        storage,
                        roles,
                        voterLeases,
                        new StateReports(context, raftLog, applier, stateDigests),
                        appendHandler,
                        new ChunkHandler(context, raftLog, applier, appendHandler, writer, responses),
                        responses),
                new MembershipHandler(quorum, membershipChange, eligibility, election, responses));
    }

    // ---- life cycle

    /** Applies what is known to be committed, and takes part from now on. */
    public void start() {
        applier.applyCommitted();
        scheduleTick();
        tickOnce();
    }

    /** Gives up the lead, if need be to nobody, and takes no further part. */
    public void stop() {
        localMembership.stop();
        if (quorum.isLeader()) {
            roles.stepDown(quorum.currentTerm(), "stopping");
        }
    }

    /**
     * Prepares this member's end: it starts no more elections, hands over the lead, and asks the next leader to be
     * removed. {@link #hasLeft} says when it may end.
     */
    public void leave() {
        localMembership.leave();
    }

    /** Whether this member may end without the group missing it. */
    public boolean hasLeft() {
        return localMembership.hasLeft();
    }

    /**
     * Asks whoever leads at one of these addresses to take this member in, where no leader sends to it: it is new, or
     * was replaced while it was away and cannot know that.
     */
    public void requestJoin(Iterable<String> addresses) {
        localMembership.requestJoin(addresses);
    }

    // ---- proposals and reads

    /**
     * Proposes an entry.
     *
     * @param entry any text; the state machine gets it as it is
     * @param callback called once, at once where this member does not lead
     */
    public void propose(String entry, Consumer<ProposalOutcome> callback) {
        assert isOnEventLoop() : "proposed off the event loop";
        Optional<LeaderState> leader = quorum.leader().filter(LeaderState::isReady);
        if (leader.isPresent()) {
            replicator.append(leader.get(), entry, callback);
        } else {
            callback.accept(ProposalOutcome.LEADERSHIP_LOST);
        }
    }

    /** Asks a majority whether this member still leads; the callback is called once, at once where it does not. */
    public void confirmLeadership(Consumer<LeadershipConfirmation> callback) {
        assert isOnEventLoop() : "asked off the event loop";
        Optional<LeaderState> leader = quorum.leader().filter(LeaderState::isReady);
        if (leader.isPresent()) {
            replicator.confirmLeadership(leader.get(), callback);
        } else {
            callback.accept(LeadershipConfirmation.NOT_CONFIRMED);
        }
    }

    // ---- other members

    /**
     * Serves one of the group's requests.
     *
     * @param callback takes the answer, or null where there is none
     * @return false where the kind is not the group's
     */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        assert isOnEventLoop() : "served off the event loop";
        return dispatcher.handleRequest(kind, request, callback);
    }

    /** Somebody has heard of a leader in that term: this member leads no more if its own term is lower. */
    public void observeTerm(long term) {
        if (term > quorum.currentTerm() && quorum.isLeader()) {
            roles.stepDown(term, "a higher term was heard of");
        }
    }

    // ---- state

    /** This member's id. */
    public String localId() {
        return context.localId();
    }

    /** This member's current term. */
    public long currentTerm() {
        return quorum.currentTerm();
    }

    /** The highest term in which this member has led or heard from the leader. */
    public long leaderTerm() {
        return quorum.leaderTerm();
    }

    /** Whether this member leads and has applied all entries committed before its term. */
    public boolean isLeader() {
        return quorum.isReadyLeader();
    }

    /** The leader's id as far as this member has heard, its own where it leads; or null. */
    public String leaderId() {
        return quorum.leaderId().orElse(null);
    }

    /** Where the leader serves operators, if this member leads and is ready to or has heard from it lately; or null. */
    public String leaderControlAddress() {
        if (quorum.isLeader()) {
            return quorum.isReadyLeader() ? context.controlAddress() : null;
        }
        return quorum.hasLeaderContact() ? quorum.follower().orElseThrow().leaderControlAddress() : null;
    }

    /** Whether this member leads or has lately heard from who does. */
    public boolean hasLeaderContact() {
        return quorum.hasLeaderContact();
    }

    /** The highest index that the state machine has had. */
    public long lastApplied() {
        return applier.lastApplied();
    }

    /** Whether this member holds entries that it does not know to be committed. */
    public boolean hasUnappliedEntries() {
        return raftLog.lastIndex() > applier.lastApplied();
    }

    /** The ids of all who have a vote, as the newest entry that names them says, committed or not. */
    public List<String> voters() {
        return voterSet().all();
    }

    /** The voters, or the change under way from some to others. */
    public VoterSet voterSet() {
        return raftLog.voterSet();
    }

    /** The addresses of the voters that answer this leader, its own among them. */
    public List<String> liveMemberAddresses() {
        long withinMs = context.timeouts().contactMs();
        List<String> addresses = new ArrayList<>();
        for (String voter : voters()) {
            if (context.isLocal(voter)
                    || quorum.leader()
                            .filter(leader -> leader.hasRecentContact(voter, context.nowMs(), withinMs))
                            .isPresent()) {
                addresses.add(addressOf(voter));
            }
        }
        return addresses;
    }

    /** Whether this member holds a lease, and may go on with what it does alone. */
    public boolean hasLease() {
        return voterLeases.isHeld();
    }

    /**
     * The addresses of the voters whose lease may still stand, as the leader knows; none where this member does not
     * lead.
     */
    public List<String> leaseHolderAddresses() {
        return quorum.leader().map(voterLeases::holderAddresses).orElse(List.of());
    }

    /** How far the others are, where this member leads. */
    public List<MemberProgress> memberProgress() {
        List<MemberProgress> result = new ArrayList<>();
        quorum.leader()
                .ifPresent(leader -> leader.followers()
                        .forEach(follower ->
                                result.add(follower.toMemberProgress(raftLog.lastIndex(), context.nowMs()))));
        return result;
    }

    /**
     * The first entry on the disk of every founding member: the founders, whom all derive alike from their settings.
     */
    public static DurableStore.LogEntry foundingEntry(List<String> addresses) {
        List<String> founders = addresses.stream()
                .sorted()
                .map(address -> address + INCARNATION_SEPARATOR + FOUNDER_INCARNATION)
                .toList();
        return new DurableStore.LogEntry(
                FOUNDING_INDEX, FOUNDING_TERM, LogEntryCodec.encodeVoters(VoterSet.decode(founders)));
    }

    /** The peer address of a member. */
    public static String addressOf(String memberId) {
        return memberId.substring(0, memberId.indexOf(INCARNATION_SEPARATOR));
    }

    // ---- timer

    private void tick() {
        assert isOnEventLoop() : "ticked off the event loop";
        if (localMembership.isStopped()) {
            return;
        }
        scheduleTick();
        tickOnce();
    }

    private void scheduleTick() {
        // Not in step with the others: those whose time for an election comes in one tick split the votes again and
        // again.
        double jitter = quorum.isLeader() ? 1 : MIN_JITTER + context.clock().random();
        long intervalMs = context.timeouts().heartbeatMs() / TICKS_PER_HEARTBEAT;
        context.clock().schedule(Math.max(1, (long) (intervalMs * jitter)), this::tick);
    }

    private void tickOnce() {
        long nowMs = context.nowMs();
        Optional<LeaderState> leader = quorum.leader();
        if (leader.isPresent()) {
            leaderTick(leader.get(), nowMs);
        } else if (electionTimer.isDue(nowMs)
                && nowMs - quorum.lastLeaderContactMs() >= context.timeouts().electionMs()
                && eligibility.isEligible()) {
            election.startPreVote();
        }
    }

    /** A leader that has lost its disk or the majority steps down (check-quorum, section 6.2). */
    private void leaderTick(LeaderState leader, long nowMs) {
        if (!storage.isHealthy()) {
            roles.stepDown(quorum.currentTerm(), "disk");
            return;
        }
        long sinceMs = nowMs - context.timeouts().contactMs();
        if (!voterSet().hasMajority(voter -> context.isLocal(voter) || leader.hasContactSince(voter, sinceMs))) {
            roles.stepDown(quorum.currentTerm(), "no quorum");
            return;
        }
        leader.readIndex().failExpired(nowMs, context.timeouts().electionMs());
        membershipChange
                .nextVoterSet(leader, nowMs)
                .ifPresent(voters -> replicator.append(leader, LogEntryCodec.encodeVoters(voters), outcome -> {}));
        replicator.replicateDue();
        leadershipTransfer.transferIfLeaving(leader);
    }

    /** Appends the entry that commits those of former terms with it. */
    private void onElected(LeaderState leader) {
        replicator.append(leader, LogEntryCodec.encodeNoop(), outcome -> {
            if (outcome == ProposalOutcome.COMMITTED) {
                roles.onLeaderReady(leader);
            }
        });
    }

    private boolean isOnEventLoop() {
        if (eventLoopThread == null) {
            eventLoopThread = Thread.currentThread();
        }
        return eventLoopThread == Thread.currentThread();
    }
}
