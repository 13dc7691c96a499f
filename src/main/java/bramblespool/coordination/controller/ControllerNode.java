package bramblespool.coordination.controller;

import bramblespool.coordination.answer.AnswerCodec;
import bramblespool.coordination.answer.AnswerReplica;
import bramblespool.coordination.configuration.PhaseCodec;
import bramblespool.coordination.configuration.PhaseDispatcher;
import bramblespool.coordination.configuration.PhaseRelay;
import bramblespool.coordination.configuration.PhaseTimeouts;
import bramblespool.coordination.configuration.PingCodec;
import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterService;
import bramblespool.coordination.singleton.FencingTokenCodec;
import bramblespool.coordination.tenancy.AdmissionCodec;
import bramblespool.coordination.tenancy.BucketCodec;
import bramblespool.coordination.tenancy.BucketLeaseTimings;
import bramblespool.coordination.tenancy.BucketLender;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.time.TimeCodec;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.state.AnswerStore;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A controller: the controller of its zone, and a member of the group that agrees on configurations, evacuations and
 * singleton roles. This class builds the parts, connects them and starts their timers; what they do stands with them.
 *
 * <p>Confined to the event loop; it may be built and started on another thread before the loop has work.
 */
public final class ControllerNode implements PeerTransport.RequestHandler {
    /** Ratio to {@code quiet} of the time-out of a call to another daemon. */
    private static final int CALL_TIMEOUT_DIVISOR = 10;
    /** Ratio to {@code quiet} of the pause between two attempts to join the group. */
    private static final int JOIN_DIVISOR = 12;
    /** Rounds of singleton roles within one renewal of a session. */
    private static final int ROLE_CHECKS_PER_RENEWAL = 4;
    /** Ratio to {@code quiet} of the time for which answers are gathered. */
    private static final int ANSWER_GATHER_DIVISOR = 15;
    /** Ratio to {@code quiet} of the lateness of timers from which a controller counts as overloaded. */
    private static final int LATENESS_DIVISOR = 40;

    private final LocalController local;
    private final Clock clock;
    private final GroupMember member;
    private final ZoneGossip zoneGossip;
    private final SessionRegistry sessions;
    private final ShadowCommitCoordinator commitCoordinator;
    private final ReplicatedStatePublisher publisher;
    private final OperatorRequestHandler operatorRequests;
    private final SingletonRoleScheduler roleScheduler;
    private final AnswerReplica answerReplica;
    private final boolean hasLostStore;
    private final OverloadDetector overloadDetector;
    private final PeerMessageDispatcher dispatcher;
    private final MessageLoad messageLoad;

    /** What a controller has on its disk. */
    public record Stores(DurableStore durableStore, AnswerStore answerStore) {}

    /**
     * @param newIncarnation this member's incarnation, if its store is empty and it joins a group
     * @param platform the platform's client, or null where servers report themselves and nobody wants usage reports
     */
    public ControllerNode(
            Settings settings,
            Stores stores,
            String newIncarnation,
            Clock clock,
            PeerTransport transport,
            PlatformClient platform,
            EventLog log) {
        Settings.Bounds bounds = settings.bounds();
        StoredIdentity identity = StoredIdentity.load(settings, stores.durableStore, newIncarnation);
        this.hasLostStore = identity.hasLostStore();
        ReplicatedState replicatedState = new ReplicatedState();
        this.clock = clock;
        this.local = new LocalController(settings, identity.memberId(), replicatedState);
        ControllerContext context =
                new ControllerContext(local, clock, transport, bounds.quietPeriodMs() / CALL_TIMEOUT_DIVISOR, log);
        this.member = new GroupMember(
                context,
                identity,
                stores.durableStore,
                replicatedState,
                this::publishReplicatedState,
                this::onLeadershipChanged);
        LeaderContact leaderContact = LeaderContact.of(member.raft());
        this.messageLoad = new MessageLoad(clock);
        this.overloadDetector = newOverloadDetector(log);
        this.zoneGossip = new ZoneGossip(context, this::openSessionAddresses, leaderContact, overloadDetector);
        GossipStore gossip = zoneGossip.store();
        this.sessions = new SessionRegistry(context, gossip, leaderContact);
        gossip.addListener(sessions::onGossipEntry);
        this.answerReplica = newAnswerReplica(context, stores.answerStore);
        RaftNode raft = member.raft();
        PhaseRelay phaseRelay =
                new PhaseRelay(transport, new TermGuard(log), raft::leaderTerm, sessions::peerAddressOf);
        this.commitCoordinator = newCommitCoordinator(context, phaseRelay);
        this.publisher = new ReplicatedStatePublisher(replicatedState, gossip, raft, commitCoordinator, sessions);
        this.operatorRequests = new OperatorRequestHandler(raft, replicatedState, commitCoordinator);

        this.roleScheduler =
                new SingletonRoleScheduler(context, member, zoneGossip, sessions, platform, identity.hasFreshStore());

        this.dispatcher = new PeerMessageDispatcher(log);
        registerMessages(context, phaseRelay, leaderContact);
    }

    private void registerMessages(ControllerContext context, PhaseRelay phaseRelay, LeaderContact leaderContact) {
        TenantRateLimiter rateLimiter = newRateLimiter(local.settings().bounds());
        addMessageFamilies();
        registerProxyMessages(context);
        registerAdmissionMessages(context, rateLimiter);
        registerControllerMessages(phaseRelay, leaderContact);
        registerStatus(rateLimiter);
    }

    private OverloadDetector newOverloadDetector(EventLog log) {
        long thresholdMs = local.settings().bounds().quietPeriodMs() / LATENESS_DIVISOR;
        OverloadDetector detector = new OverloadDetector(clock, thresholdMs, log);
        detector.describeLoadBy(messageLoad::describe);
        return detector;
    }

    private TenantRateLimiter newRateLimiter(Settings.Bounds bounds) {
        return new TenantRateLimiter(
                clock, bounds.rateLimitWindowMs(), bounds.rateLimitExcess(), bounds.rateLimitAllowance());
    }

    private ShadowCommitCoordinator newCommitCoordinator(ControllerContext context, PhaseRelay phaseRelay) {
        Settings.Bounds bounds = local.settings().bounds();
        RaftNode raft = member.raft();
        PhaseDispatcher phaseDispatcher = new PhaseDispatcher(
                context.transport(), local.peerAddress(), phaseRelay, sessions::controllerOf, raft::observeTerm);
        return new ShadowCommitCoordinator(
                raft,
                member.replicatedState(),
                phaseDispatcher,
                () -> new HashSet<>(sessions.members()),
                clock,
                PhaseTimeouts.of(bounds.acknowledgementMs(), bounds.applyMs()),
                context.log());
    }

    private AnswerReplica newAnswerReplica(ControllerContext context, AnswerStore answerStore) {
        Settings settings = local.settings();
        return new AnswerReplica(
                new AnswerReplica.Controllers(local.peerAddress(), zoneGossip::otherControllersByPreference),
                answerStore,
                clock,
                member.clusterClock(),
                context.transport(),
                overloadDetector::isOverloaded,
                new AnswerReplica.Options(
                        settings.tolerableMachineLosses(),
                        settings.bounds().quietPeriodMs() / ANSWER_GATHER_DIVISOR,
                        context.callTimeoutMs(),
                        IdempotencyTable.retentionMs(settings.bounds().idempotencyKeyWindowMs())));
    }

    // The parts that are built first reach those that are built later through these methods.

    private List<String> openSessionAddresses() {
        return sessions.peerAddresses();
    }

    private void publishReplicatedState() {
        publisher.publish();
    }

    private void onLeadershipChanged(boolean isLeader) {
        commitCoordinator.onLeadershipChanged(isLeader);
    }

    /** Parts with kinds of message of their own; the order is that in which they are asked, the busiest first. */
    private void addMessageFamilies() {
        dispatcher.addFamily(member.raft()::handleRequest);
        dispatcher.addFamily(member.registers()::handleRequest);
        dispatcher.addFamily(member.shardLeases()::handleRequest);
        if (roleScheduler.usageReporter() != null) {
            dispatcher.addFamily(roleScheduler.usageReporter()::handleRequest);
        }
        dispatcher.addFamily(zoneGossip::handleRequest);
    }

    /** Kinds of message by which sidecars and gateways ask something of their controller. */
    private void registerProxyMessages(ControllerContext context) {
        SessionHandler sessionHandler = new SessionHandler(sessions, roleScheduler.usageReporter());
        RetryLeaseHandler retryLeases = new RetryLeaseHandler(context, member, roleScheduler);
        ConfigurationDocuments documents = new ConfigurationDocuments(member.replicatedState());
        dispatcher.register(PeerMessageKinds.SESSION, SessionCodec.INSTANCE, sessionHandler::handle);
        dispatcher.register(PeerMessageKinds.RETRY_LEASE, RetryLeaseCodec.INSTANCE, retryLeases::handle);
        dispatcher.register(AnswerCodec.KEEP_KIND, answerReplica::handleKeep);
        dispatcher.register(AnswerCodec.FIND_KIND, answerReplica::handleFind);
        dispatcher.register(AnswerCodec.RECOVER_KIND, answerReplica::handleRecover);
        dispatcher.register(
                PeerMessageKinds.DOCUMENT,
                DocumentCodec.INSTANCE,
                (request, responder) -> documents.find(request).ifPresentOrElse(responder::respond, responder::reject));
    }

    /** Kinds of message about tokens of tenants' rate limits, the buckets that proxies hold, and idempotency keys. */
    private void registerAdmissionMessages(ControllerContext context, TenantRateLimiter rateLimiter) {
        ShardLeases shardLeases = member.shardLeases();
        BucketLender lender = new BucketLender(
                clock,
                rateLimiter,
                BucketLeaseTimings.of(local.settings().bounds().quietPeriodMs()).leaseMs());
        TokenIssuer tokenIssuer = new TokenIssuer(
                context,
                shardLeases,
                rateLimiter,
                lender,
                this::doAllVotersLendBuckets,
                () -> sessions.members().size());
        AdmissionHandler admission = new AdmissionHandler(context, member, rateLimiter, tokenIssuer, overloadDetector);
        BucketLeaseHandler bucketLeases = new BucketLeaseHandler(local, shardLeases, lender);
        dispatcher.register(AdmissionCodec.ADMIT_KIND, AdmissionCodec.INSTANCE, admission::admit);
        dispatcher.register(AdmissionCodec.TOKEN_KIND, AdmissionCodec.TOKEN_CODEC, tokenIssuer::issue);
        dispatcher.register(BucketCodec.RENEW_KIND, bucketLeases::handleRenewal);
        dispatcher.register(BucketCodec.RETURN_KIND, bucketLeases::handleReturn);
    }

    private boolean doAllVotersLendBuckets() {
        Set<String> voters = new HashSet<>();
        member.replicatedState().voterSinceIndexes().keySet().forEach(voter -> voters.add(RaftNode.addressOf(voter)));
        return zoneGossip.allLendBuckets(voters);
    }

    /** Kinds of message that other controllers send; any daemon may ask whether this one answers. */
    private void registerControllerMessages(PhaseRelay phaseRelay, LeaderContact leaderContact) {
        dispatcher.register(
                PingCodec.KIND,
                (body, callback) -> callback.accept(PingCodec.encodeControllerResponse(leaderContact.isRecent())));
        dispatcher.register(TimeCodec.KIND, member.clockSynchronizer()::handleRequest);
        dispatcher.register(FencingTokenCodec.KIND, roleScheduler.tokenRenewal()::handleRequest);
        dispatcher.register(PhaseCodec.RELAY_KIND, phaseRelay::handleRequest);
    }

    private void registerStatus(TenantRateLimiter rateLimiter) {
        StatusReporter statusReporter = new StatusReporter(
                local,
                new StatusReporter.Sources(
                        member,
                        commitCoordinator,
                        rateLimiter,
                        roleScheduler.usageReporter(),
                        overloadDetector,
                        zoneGossip.store(),
                        sessions));
        dispatcher.register(
                PeerMessageKinds.STATUS,
                (body, callback) -> callback.accept(ControllerStatusCodec.encode(statusReporter.report())));
    }

    /** Starts the parts and their timers; to be called once. */
    public void start() {
        long renewalMs = local.settings().bounds().quietPeriodMs() / SessionRegistry.RENEWAL_DIVISOR;
        zoneGossip.publishSelf();
        member.raft().start();
        overloadDetector.start();
        member.clockSynchronizer().synchronize();
        member.registers().start();
        member.shardLeases().start();
        answerReplica.start();
        if (hasLostStore) {
            answerReplica.recover(local.settings().bounds().catchUpMs());
        }
        roleScheduler.start();
        clock.execute(this::join);
        clock.scheduleRepeatedly(renewalMs, () -> {
            sessions.closeExpired();
            member.registers().sync();
            zoneGossip.publishVoterChange();
        });
        clock.scheduleRepeatedly(renewalMs, zoneGossip::reconcile);
        clock.scheduleRepeatedly(renewalMs / ROLE_CHECKS_PER_RENEWAL, roleScheduler::check);
    }

    private void join() {
        member.raft().requestJoin(zoneGossip.otherControllers());
        clock.schedule(local.settings().bounds().quietPeriodMs() / JOIN_DIVISOR, this::join);
    }

    @Override
    public void handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback) {
        messageLoad.measure(kind, () -> dispatcher.handleRequest(kind, body, callback));
    }

    /** Replaces or amends the configuration, as the leader. */
    public void submitChange(OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> callback) {
        operatorRequests.submitChange(change, callback);
    }

    /** Evacuates a zone, or ends that, as the leader. */
    public void evacuate(String zone, boolean isEvacuated, Consumer<EvacuationOutcome> callback) {
        operatorRequests.evacuate(zone, isEvacuated, callback);
    }

    /** Reads the newest version, as the leader. */
    public void readConfiguration(Consumer<ConfigurationReadResult> callback) {
        operatorRequests.readConfiguration(callback);
    }

    /** Takes settings that have changed in the file; bounds that were computed at the start stay. */
    public void updateSettings(Settings newSettings) {
        local.updateSettings(newSettings);
    }

    /** Starts to leave: hands over the lead and the vote, and has the proxies turn elsewhere. */
    public void leave() {
        local.startLeaving();
        zoneGossip.publishSelf();
        member.raft().leave();
    }

    /** Whether the process may end without the group missing this controller. */
    public boolean hasLeft() {
        return member.raft().hasLeft();
    }

    /** Takes no further part. */
    public void stop() {
        member.raft().stop();
    }

    /** The replicated state, to read. */
    public ReplicatedState replicatedState() {
        return member.replicatedState();
    }

    /** This controller's member of the group. */
    public RaftNode raft() {
        return member.raft();
    }

    /** The leader's part of the shadow commit. */
    public ShadowCommitCoordinator commitCoordinator() {
        return commitCoordinator;
    }

    /** This controller's part in the registers. */
    public RegisterService registers() {
        return member.registers();
    }

    /** Proposes values for registers. */
    public RegisterProposer registerProposer() {
        return member.registers().proposer();
    }
}
