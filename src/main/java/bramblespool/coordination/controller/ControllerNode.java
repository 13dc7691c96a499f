package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.RaftNode;
import bramblespool.raft.RaftTimeouts;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    /** Ratio to {@code quiet} of the lateness of timers from which a controller counts as overloaded. */
    private static final int LATENESS_DIVISOR = 40;
    /** Ratio to {@code apply} of the time for which messages to another voter's registers are gathered. */
    private static final int REGISTER_BATCH_DIVISOR = 150;

    private final LocalController local;
    private final Clock clock;
    private final PeerTransport transport;
    private final ReplicatedState replicatedState = new ReplicatedState();
    private final RaftNode raft;
    private final RegisterProposer registerProposer;
    private final ShardLeases shardLeases;
    private final ZoneGossip zoneGossip;
    private final SessionRegistry sessions;
    private final ShadowCommitCoordinator commitCoordinator;
    private final ReplicatedStatePublisher publisher;
    private final OperatorRequestHandler operatorRequests;
    private final SingletonRoleScheduler roleScheduler;
    /** Null where the platform wants no usage reports. */
    private final UsageReporter usageReporter;

    private final OverloadDetector overloadDetector;
    private final PeerMessageDispatcher dispatcher;
    private final TermGuard termGuard;

    /**
     * @param newIncarnation this member's incarnation, if its store is empty and it joins a group
     * @param platform the platform's client, or null where servers report themselves and nobody wants usage reports
     */
    public ControllerNode(
            Settings settings,
            DurableStore durableStore,
            String newIncarnation,
            Clock clock,
            PeerTransport transport,
            PlatformClient platform,
            EventLog log) {
        Settings.Bounds bounds = settings.bounds();
        StoredIdentity identity = StoredIdentity.load(settings, durableStore, newIncarnation);
        this.clock = clock;
        this.transport = transport;
        this.local = new LocalController(settings, identity.memberId(), replicatedState);
        ControllerContext context =
                new ControllerContext(local, clock, transport, bounds.quietPeriodMs() / CALL_TIMEOUT_DIVISOR, log);

        this.registerProposer = newRegisterProposer(context, identity.memberId(), durableStore);
        this.shardLeases = new ShardLeases(
                replicatedState,
                registerProposer,
                identity.memberId(),
                clock,
                transport,
                bounds.quietPeriodMs(),
                IdempotencyTable.retentionMs(bounds.idempotencyKeyWindowMs()),
                log);
        TenantRateLimiter rateLimiter = new TenantRateLimiter(
                clock, bounds.rateLimitWindowMs(), bounds.rateLimitExcess(), bounds.rateLimitAllowance());
        this.raft = newRaftNode(context, identity, durableStore);
        LeaderContact leaderContact = LeaderContact.of(raft);
        this.overloadDetector = new OverloadDetector(clock, bounds.quietPeriodMs() / LATENESS_DIVISOR, log);
        this.zoneGossip = new ZoneGossip(context, this::openSessionAddresses, leaderContact, overloadDetector);
        GossipStore gossip = zoneGossip.store();
        this.sessions = new SessionRegistry(context, gossip, leaderContact);
        gossip.addListener(sessions::onGossipEntry);

        this.termGuard = new TermGuard(log);
        this.commitCoordinator = new ShadowCommitCoordinator(
                raft,
                replicatedState,
                this::runPhase,
                () -> new HashSet<>(openMembers()),
                clock,
                ShadowCommitCoordinator.PhaseTimeouts.of(bounds.acknowledgementMs(), bounds.applyMs()),
                log);
        this.publisher = new ReplicatedStatePublisher(replicatedState, gossip, raft, commitCoordinator, sessions);
        this.operatorRequests = new OperatorRequestHandler(raft, replicatedState, commitCoordinator);

        RegistryReaders registryReaders = new RegistryReaders(context, platform, gossip, sessions);
        boolean reportsUsage = platform != null && settings.usageReporting() != null;
        this.roleScheduler = new SingletonRoleScheduler(
                context, raft, replicatedState, registryReaders, zoneGossip::otherControllers, reportsUsage);
        this.usageReporter = reportsUsage ? newUsageReporter(context, platform, identity.hasFreshStore()) : null;

        this.dispatcher = new PeerMessageDispatcher(log);
        addMessageFamilies();
        registerProxyMessages(context, rateLimiter, leaderContact);
        registerControllerMessages();
        StatusReporter statusReporter = new StatusReporter(
                local,
                new StatusReporter.GroupParts(raft, replicatedState, commitCoordinator),
                new StatusReporter.TenancyParts(registerProposer, shardLeases, rateLimiter),
                usageReporter,
                overloadDetector,
                gossip,
                sessions);
        dispatcher.register(
                PeerMessageKinds.STATUS,
                (body, callback) -> callback.accept(ControllerStatusCodec.encode(statusReporter.report())));
    }

    private RegisterProposer newRegisterProposer(
            ControllerContext context, String memberId, DurableStore durableStore) {
        Settings settings = local.settings();
        Settings.Bounds bounds = settings.bounds();
        return new RegisterProposer(
                replicatedState,
                memberId,
                settings.tolerableMachineLosses() + 1,
                durableStore,
                clock,
                transport,
                bounds.applyMs() / REGISTER_BATCH_DIVISOR,
                context.callTimeoutMs() / 2,
                IdempotencyTable.retentionMs(bounds.idempotencyKeyWindowMs()),
                context.log());
    }

    private RaftNode newRaftNode(ControllerContext context, StoredIdentity identity, DurableStore durableStore) {
        Settings settings = local.settings();
        Settings.Bounds bounds = settings.bounds();
        ReplicatedStateMachine stateMachine = new ReplicatedStateMachine(
                replicatedState,
                registerProposer,
                shardLeases,
                clock,
                this::publishReplicatedState,
                this::onLeadershipChanged);
        return new RaftNode(
                identity.memberId(),
                settings.controlAddress(),
                Math.max(1, settings.seedPeers().size()),
                settings.tolerableMachineLosses(),
                identity.state(),
                clock,
                transport,
                durableStore,
                stateMachine,
                RaftTimeouts.of(bounds.quietPeriodMs(), bounds.catchUpMs()),
                context.log());
    }

    private UsageReporter newUsageReporter(ControllerContext context, PlatformClient platform, boolean hasFreshStore) {
        return new UsageReporter(
                local.settings(),
                hasFreshStore,
                clock,
                transport,
                platform,
                raft,
                replicatedState,
                roleScheduler.singletonRoles(),
                registerProposer,
                zoneGossip.store(),
                zoneGossip::otherControllers,
                sessions::members,
                context.callTimeoutMs() / 2,
                context.log());
    }

    // The parts that are built first reach those that are built later through these methods.

    private List<String> openSessionAddresses() {
        return sessions.peerAddresses();
    }

    private Set<String> openMembers() {
        return sessions.members();
    }

    private void publishReplicatedState() {
        publisher.publish();
    }

    private void onLeadershipChanged(boolean isLeader) {
        commitCoordinator.onLeadershipChanged(isLeader);
    }

    /** Parts with kinds of message of their own; the order is that in which they are asked, the busiest first. */
    private void addMessageFamilies() {
        dispatcher.addFamily(raft::handleRequest);
        dispatcher.addFamily(registerProposer::handleRequest);
        dispatcher.addFamily(shardLeases::handleRequest);
        if (usageReporter != null) {
            dispatcher.addFamily(usageReporter::handleRequest);
        }
        dispatcher.addFamily(zoneGossip::handleRequest);
    }

    /** Kinds of message that sidecars and gateways send. */
    private void registerProxyMessages(
            ControllerContext context, TenantRateLimiter rateLimiter, LeaderContact leaderContact) {
        dispatcher.register(PeerMessageKinds.SESSION, new SessionCodec(), this::handleSession);
        RetryLeaseCodec retryLeaseCodec = new RetryLeaseCodec();
        RetryLeaseHandler retryLeases =
                new RetryLeaseHandler(context, raft, replicatedState, roleScheduler, retryLeaseCodec);
        dispatcher.register(PeerMessageKinds.RETRY_LEASE, retryLeaseCodec, retryLeases::handle);
        AdmissionCodec admissionCodec = new AdmissionCodec();
        AdmissionHandler admission = new AdmissionHandler(
                context, replicatedState, shardLeases, rateLimiter, registerProposer, admissionCodec);
        dispatcher.register(PeerMessageKinds.ADMIT, admissionCodec, admission::admit);
        dispatcher.register(
                PeerMessageKinds.TOKEN,
                admissionCodec.tokenCodec(),
                (request, responder) -> responder.respond(admission.takeToken(request)));
        ConfigurationDocuments documents = new ConfigurationDocuments(replicatedState);
        dispatcher.register(
                PeerMessageKinds.DOCUMENT,
                new DocumentCodec(),
                (request, responder) -> documents.find(request).ifPresentOrElse(responder::respond, responder::reject));
        dispatcher.register(
                PeerMessageKinds.PING,
                (body, callback) ->
                        callback.accept(JsonNodeFactory.instance.objectNode().put("touch", leaderContact.isRecent())));
    }

    /** Kinds of message that other controllers send. */
    private void registerControllerMessages() {
        dispatcher.register(
                PeerMessageKinds.RAISE_FENCING_TOKEN,
                new RaiseFencingTokenCodec(),
                (request, responder) -> responder.respond(roleScheduler.raiseFencingToken(request)));
        dispatcher.register(PeerMessageKinds.PHASE_RELAY, this::relayPhase);
    }

    private void handleSession(SessionRequest request, Responder<SessionResponse> responder) {
        ObjectNode usageAcknowledgement = null;
        if (usageReporter != null && request.usage() != null) {
            usageAcknowledgement = JsonNodeFactory.instance.objectNode();
            usageReporter.onUsage(request.node(), request.usage(), usageAcknowledgement);
        }
        responder.respond(new SessionResponse(sessions.handle(request), usageAcknowledgement));
    }

    // ---- phases, through the cells

    private void runPhase(
            ObjectNode message,
            Set<String> proxies,
            long timeoutMs,
            Consumer<ShadowCommitCoordinator.Acknowledgements> callback) {
        ShadowCommitCoordinator.Acknowledgements acknowledgements =
                new ShadowCommitCoordinator.Acknowledgements(new HashSet<>(), new HashSet<>());
        if (proxies.isEmpty()) {
            callback.accept(acknowledgements);
            return;
        }
        Map<String, Set<String>> proxiesByController = new HashMap<>();
        for (String proxy : proxies) {
            sessions.controllerOf(proxy)
                    .ifPresent(controller -> proxiesByController
                            .computeIfAbsent(controller, k -> new LinkedHashSet<>())
                            .add(proxy));
        }
        int[] pending = {proxiesByController.size()};
        Consumer<JsonNode> onResponse = response -> {
            if (response != null) {
                response.path("ok").forEach(n -> acknowledgements.confirmed().add(n.asText()));
                response.path("refused")
                        .forEach(n -> acknowledgements.rejected().add(n.asText()));
                raft.observeTerm(response.path("term").asLong());
            }
            if (--pending[0] == 0) {
                callback.accept(acknowledgements);
            }
        };
        proxiesByController.forEach((controller, proxyNodes) -> {
            ObjectNode controllerMessage = message.deepCopy();
            ArrayNode proxyList = controllerMessage.putArray("wefts");
            proxyNodes.forEach(proxyList::add);
            controllerMessage.put("within", timeoutMs * 4 / 5);
            if (controller.equals(local.peerAddress())) {
                relayPhase(controllerMessage, onResponse::accept);
            } else {
                transport.call(controller, PeerMessageKinds.PHASE_RELAY, controllerMessage, timeoutMs, onResponse);
            }
        });
    }

    /** The cell's part: hands the phase to its wefts and gathers their answers. */
    private void relayPhase(JsonNode request, Consumer<ObjectNode> callback) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        ArrayNode confirmed = response.putArray("ok");
        ArrayNode rejected = response.putArray("refused");
        termGuard.observeTerm(raft.leaderTerm());
        if (!termGuard.acceptMessage("cell", request)) {
            callback.accept(response.put("term", termGuard.highestTerm()));
            return;
        }
        ObjectNode phaseMessage = ((ObjectNode) request).deepCopy();
        phaseMessage.remove(List.of("wefts", "within"));
        int[] pending = {1};
        Runnable onResponse = () -> {
            if (--pending[0] == 0) {
                callback.accept(response);
            }
        };
        for (JsonNode proxy : request.path("wefts")) {
            Optional<String> address = sessions.peerAddressOf(proxy.asText());
            if (address.isEmpty()) {
                continue;
            }
            pending[0]++;
            transport.call(
                    address.get(),
                    PeerMessageKinds.PHASE,
                    phaseMessage,
                    request.path("within").asLong(),
                    proxyResponse -> {
                        if (proxyResponse != null && proxyResponse.path("ok").asBoolean()) {
                            confirmed.add(proxy.asText());
                        } else if (proxyResponse != null
                                && proxyResponse.path("refused").asBoolean()) {
                            rejected.add(proxy.asText());
                        }
                        if (proxyResponse != null
                                && proxyResponse.path("term").asLong()
                                        > request.path("term").asLong()) {
                            termGuard.observeTerm(proxyResponse.path("term").asLong());
                            response.put("term", termGuard.highestTerm());
                        }
                        onResponse.run();
                    });
        }
        onResponse.run();
    }

    /** Starts the parts and their timers; to be called once. */
    public void start() {
        long renewalMs = local.settings().bounds().quietPeriodMs() / SessionRegistry.RENEWAL_DIVISOR;
        zoneGossip.publishSelf();
        raft.start();
        overloadDetector.start();
        registerProposer.start();
        shardLeases.start();
        if (usageReporter != null) {
            usageReporter.start();
        }
        clock.execute(this::join);
        clock.scheduleRepeatedly(renewalMs, () -> {
            sessions.closeExpired();
            registerProposer.sync();
            zoneGossip.publishVoterChange();
        });
        clock.scheduleRepeatedly(renewalMs, zoneGossip::reconcile);
        clock.scheduleRepeatedly(renewalMs / ROLE_CHECKS_PER_RENEWAL, roleScheduler::check);
    }

    private void join() {
        raft.requestJoin(zoneGossip.otherControllers());
        clock.schedule(local.settings().bounds().quietPeriodMs() / JOIN_DIVISOR, this::join);
    }

    @Override
    public void handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback) {
        dispatcher.handleRequest(kind, body, callback);
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
        raft.leave();
    }

    /** Whether the process may end without the group missing this controller. */
    public boolean hasLeft() {
        return raft.hasLeft();
    }

    /** Takes no further part. */
    public void stop() {
        raft.stop();
    }

    /** The replicated state, to read. */
    public ReplicatedState replicatedState() {
        return replicatedState;
    }

    /** This controller's member of the group. */
    public RaftNode raft() {
        return raft;
    }

    /** The leader's part of the shadow commit. */
    public ShadowCommitCoordinator commitCoordinator() {
        return commitCoordinator;
    }

    /** This controller's part in the registers. */
    public RegisterProposer registerProposer() {
        return registerProposer;
    }
}
