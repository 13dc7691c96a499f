package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.PhaseCodec;
import bramblespool.coordination.configuration.PhaseDispatcher;
import bramblespool.coordination.configuration.PhaseRelay;
import bramblespool.coordination.configuration.PhaseTimeouts;
import bramblespool.coordination.configuration.PingCodec;
import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.discovery.RegistryReader;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipPeers;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.coordination.register.RegisterService;
import bramblespool.coordination.register.RegisterTimings;
import bramblespool.coordination.register.RegisterVoters;
import bramblespool.coordination.singleton.ControllerPeers;
import bramblespool.coordination.singleton.FencingTokenCodec;
import bramblespool.coordination.singleton.FencingTokenRenewal;
import bramblespool.coordination.singleton.SingletonRoleKeys;
import bramblespool.coordination.singleton.SingletonRoles;
import bramblespool.coordination.singleton.UsageReporter;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.LeaseTimings;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.tenancy.TenantRateLimiter;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.coordination.traffic.RetryBudgetLeases;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.LeadershipConfirmation;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
import bramblespool.raft.RaftOptions;
import bramblespool.raft.RaftTimeouts;
import bramblespool.raft.StateMachine;
import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/** A helm: the cell of its zone, and a member of the agreement above the cells. */
public final class ControllerNode implements PeerTransport.RequestHandler, StateMachine {
    /** Ratios to {@code quiet}. */
    private static final int RENEWAL_DIVISOR = 6;

    private static final int CALL_TIMEOUT_DIVISOR = 10;
    private static final int JOIN_DIVISOR = 12;
    /** Ratio to {@code drain} of the time for which news heard is gathered before it is passed on. */
    private static final int GOSSIP_BATCH_DIVISOR = 100;
    /** Readings of a list within {@code drain}: time for one that fails, and for a new reader to start over. */
    private static final int REGISTRY_READ_DIVISOR = 4;
    /** Rounds of duties within one renewal. */
    private static final int ROLE_CHECKS_PER_RENEWAL = 4;

    private static final int MAX_REQUESTED_ROLES = 1000;
    /** Ratio to {@code quiet} of the lateness from which a helm counts as not keeping up. */
    private static final int LATENESS_DIVISOR = 40;
    /** Ratio to {@code apply} of the time for which words to another voter's registers are gathered. */
    private static final int REGISTER_BATCH_DIVISOR = 150;
    /** Renewals missed before a session is closed. */
    private static final double MISSED_RENEWALS_TO_CLOSE = 2.6;

    private static final class Session {
        String peerAddress;
        long incarnation;
        long sessionNumber;
        long lastRenewedMs;
        boolean isOpen;
    }

    private final Clock clock;
    private final PeerTransport transport;
    private final EventLog log;
    private Settings settings;
    private final ReplicatedState replicatedState = new ReplicatedState();
    private final GossipStore gossip;
    private final RaftNode raft;
    private final ShadowCommitCoordinator commitCoordinator;
    private final RegisterService registers;
    private final RegisterProposer registerProposer;
    private final TenantRateLimiter rateLimiter;
    private final ShardLeases shardLeases;
    /** Whether this process founded its disk: nothing was ever granted before it. */
    private final boolean hasFreshStore;
    /** The duty of reporting usage, or null where the platform wants none. */
    private final UsageReporter usageReporter;

    private boolean isAnnouncedAsVoter;
    private final PhaseRelay phaseRelay;
    /** Owners of slices that did not answer, and when. */
    private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

    private final Map<String, Session> sessions = new HashMap<>();
    private final Set<String> members = new HashSet<>();
    private final Map<String, Long> publishedEvacuations = new HashMap<>();
    private final long callTimeoutMs;
    private final SingletonRoles singletonRoles;
    private final FencingTokenRenewal tokenRenewal;
    private final OverloadDetector overloadDetector;
    private final RetryBudgetLeases retryBudgetLeases;
    /** Keys of duties that somebody has asked for; only these need a holder. */
    private final Set<String> requestedRoles = new HashSet<>();
    /** The zones' lists, where the platform keeps them; each is read by whoever holds that duty. */
    private final Map<String, RegistryReader> registryReaders = new TreeMap<>();

    private boolean isLeaving;
    private boolean isPublishScheduled;

    /** {@code platform}: who keeps the list of servers, or null where they tell of themselves. */
    public ControllerNode(
            Settings settings,
            DurableStore durableStore,
            String incarnation,
            Clock clock,
            PeerTransport transport,
            PlatformClient platform,
            EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.transport = transport;
        this.log = log;
        Settings.Bounds bounds = settings.bounds();
        this.callTimeoutMs = bounds.quietPeriodMs() / CALL_TIMEOUT_DIVISOR;
        this.gossip = new GossipStore(
                clock, transport, callTimeoutMs, bounds.drainMs() / GOSSIP_BATCH_DIVISOR, true, new GossipPeers() {
                    @Override
                    public List<String> pushTargets(GossipStore.Source source) {
                        // Whoever hears a thing first tells the other cells.
                        List<String> recipients = sessionPeers();
                        if (source != GossipStore.Source.CONTROLLER) {
                            recipients.addAll(otherControllers());
                        }
                        return recipients;
                    }

                    @Override
                    public List<String> reconciliationPeers() {
                        List<String> proxies = sessionPeers();
                        return proxies.isEmpty() || clock.random() < 0.5 ? List.copyOf(otherControllers()) : proxies;
                    }

                    @Override
                    public boolean hasRecentLeaderContact() {
                        return ControllerNode.this.isInTouchWithLeader();
                    }
                });
        gossip.registerOwnKey(GossipKeys.CONTROLLER_KEY_PREFIX + settings.node(), this::publishSelf);
        gossip.addListener(this::onGossipEntry);
        this.hasFreshStore = durableStore.isEmpty() && settings.isBootstrap() && !durableStore.hasQuarantinedDatabase();
        if (durableStore.isEmpty()) {
            List<String> founders =
                    settings.seedPeers().stream().map(settings::peerAddressOf).toList();
            boolean isFounder = hasFreshStore && founders.contains(settings.peerAddress());
            durableStore.initialize(
                    isFounder ? RaftNode.FOUNDER_INCARNATION : incarnation,
                    isFounder ? List.of(RaftNode.foundingEntry(founders)) : List.of());
        }
        DurableStore.PersistentState savedState = durableStore.load();
        String memberId = settings.peerAddress() + "#" + savedState.incarnation();
        long registerRetentionMs = IdempotencyTable.retentionMs(bounds.idempotencyKeyWindowMs());
        this.registers = new RegisterService(
                new RegisterVoters(replicatedState, memberId, settings.tolerableMachineLosses() + 1),
                durableStore,
                clock,
                transport,
                new RegisterTimings(bounds.applyMs() / REGISTER_BATCH_DIVISOR, callTimeoutMs / 2, registerRetentionMs),
                log);
        this.registerProposer = registers.proposer();
        this.shardLeases = new ShardLeases(
                replicatedState,
                registerProposer,
                memberId,
                clock,
                transport,
                LeaseTimings.of(bounds.quietPeriodMs(), registerRetentionMs),
                log);
        this.rateLimiter = new TenantRateLimiter(
                clock, bounds.rateLimitWindowMs(), bounds.rateLimitExcess(), bounds.rateLimitAllowance());
        this.raft = new RaftNode(
                new RaftOptions(
                        memberId,
                        settings.controlAddress(),
                        Math.max(1, settings.seedPeers().size()),
                        settings.tolerableMachineLosses(),
                        RaftTimeouts.of(bounds.quietPeriodMs(), bounds.catchUpMs())),
                savedState,
                clock,
                transport,
                durableStore,
                this,
                log);
        this.phaseRelay = new PhaseRelay(transport, new TermGuard(log), raft::leaderTerm, this::openSessionAddress);
        this.commitCoordinator = new ShadowCommitCoordinator(
                raft,
                replicatedState,
                new PhaseDispatcher(
                        transport, settings.peerAddress(), phaseRelay, this::controllerOfProxy, raft::observeTerm),
                () -> new HashSet<>(members),
                clock,
                PhaseTimeouts.of(bounds.acknowledgementMs(), bounds.applyMs()),
                log);
        if (platform != null && settings.discovery() == Settings.Discovery.PLATFORM) {
            for (String zone : settings.zones().keySet()) {
                registryReaders.put(
                        zone,
                        new RegistryReader(
                                zone,
                                clock,
                                platform,
                                transport,
                                this::gatewayMembers,
                                bounds.drainMs() / REGISTRY_READ_DIVISOR,
                                callTimeoutMs,
                                log));
            }
        }
        this.retryBudgetLeases = new RetryBudgetLeases(clock, bounds.retryAllowance(), bounds.retryWindowMs());
        this.singletonRoles =
                new SingletonRoles(raft, replicatedState, this::roleKeys, SingletonRoleKeys.USAGE::equals);
        this.tokenRenewal = new FencingTokenRenewal(raft, singletonRoles, transport, callTimeoutMs / 2, log);
        this.usageReporter = platform == null || settings.usageReporting() == null
                ? null
                : new UsageReporter(
                        settings,
                        hasFreshStore,
                        new UsageReporter.Environment(clock, platform, log),
                        new UsageReporter.Replication(raft, replicatedState, tokenRenewal, registerProposer, gossip),
                        new ControllerPeers(transport, this::otherControllers, callTimeoutMs / 2),
                        () -> members);
        this.overloadDetector = new OverloadDetector(clock, bounds.quietPeriodMs() / LATENESS_DIVISOR, log);
    }

    public void start() {
        long renewalMs = settings.bounds().quietPeriodMs() / RENEWAL_DIVISOR;
        publishSelf();
        raft.start();
        overloadDetector.start();
        registers.start();
        shardLeases.start();
        if (usageReporter != null) {
            usageReporter.start();
        }
        clock.execute(this::join);
        clock.scheduleRepeatedly(renewalMs, () -> {
            closeExpiredSessions();
            registers.sync();
            if (isAnnouncedAsVoter != replicatedState.voterSinceIndexes().containsKey(raft.localId())) {
                publishSelf();
            }
        });
        clock.scheduleRepeatedly(renewalMs, () -> {
            if (!overloadDetector.isOverloaded()) {
                gossip.reconcile();
            }
        });
        clock.scheduleRepeatedly(renewalMs / ROLE_CHECKS_PER_RENEWAL, this::checkSingletonRoles);
    }

    private void join() {
        raft.requestJoin(otherControllers());
        clock.schedule(settings.bounds().quietPeriodMs() / JOIN_DIVISOR, this::join);
    }

    /** The duties there are: those the log knows, and those that were asked for since. */
    private Set<String> roleKeys() {
        Set<String> keys = new TreeSet<>(replicatedState.singletonRoles().keySet());
        registryReaders.keySet().forEach(zone -> keys.add(SingletonRoleKeys.REGISTRY_PREFIX + zone));
        keys.addAll(requestedRoles);
        if (usageReporter != null) {
            keys.add(SingletonRoleKeys.USAGE);
        }
        return keys;
    }

    /** Leases tries of a service's slack: as its owner, or by asking the owner, or the leader to name one. */
    private void grantRetryLease(JsonNode request, Consumer<ObjectNode> callback) {
        String service = request.path("service").asText();
        ReplicatedState.SingletonRole role =
                replicatedState.singletonRoles().get(SingletonRoleKeys.RETRY_BUDGET_PREFIX + service);
        String owner =
                role == null ? raft.leaderId() == null ? null : RaftNode.addressOf(raft.leaderId()) : role.owner();
        if (settings.peerAddress().equals(owner)) {
            if (role == null && requestedRoles.size() < MAX_REQUESTED_ROLES) {
                requestedRoles.add(SingletonRoleKeys.RETRY_BUDGET_PREFIX + service);
            }
            callback.accept(JsonNodeFactory.instance
                    .objectNode()
                    .put("life", retryBudgetLeases.leaseDurationMs())
                    .put(
                            "tries",
                            role == null || !raft.hasLeaderContact()
                                    ? 0
                                    : retryBudgetLeases.grant(service, role.fencingToken())));
        } else if (owner == null || request.path("passed").asBoolean()) {
            callback.accept(null);
        } else {
            transport.call(
                    owner,
                    "lease",
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("service", service)
                            .put("passed", true),
                    callTimeoutMs / 2,
                    response -> callback.accept(response instanceof ObjectNode o ? o : null));
        }
    }

    // ---- admission of requests: tokens and claims

    /** A side asks for a token of its tenant's, for the claim of a register, or both; the token first. */
    private void admit(JsonNode request, Consumer<ObjectNode> callback) {
        if (!request.has("tenant")) {
            claimIdempotencyKey(request, JsonNodeFactory.instance.objectNode(), callback);
            return;
        }
        Consumer<ObjectNode> withToken = token -> {
            if ("go".equals(token.path("verdict").asText())) {
                claimIdempotencyKey(request, token, callback);
            } else {
                callback.accept(token);
            }
        };
        shardLeases.markRequested();
        String shard = request.path("slice").asText();
        String owner = shardLeases.ownerOf(shard);
        if (shardLeases.fencingToken(shard) >= 0
                || owner == null
                || clock.nowMs() - unresponsiveSinceMs.getOrDefault(owner, -callTimeoutMs) < callTimeoutMs) {
            withToken.accept(orFallbackToken(takeToken(request), request));
            return;
        }
        ObjectNode forwarded = JsonNodeFactory.instance
                .objectNode()
                .put("slice", shard)
                .put("tenant", request.path("tenant").asText())
                .put("epoch", request.path("epoch").asLong())
                .put("rate", request.path("rate").asDouble())
                .put("burst", request.path("burst").asDouble());
        transport.call(
                owner, "token", forwarded, Math.max(1, request.path("within").asLong() / 3), response -> {
                    if (response == null) {
                        unresponsiveSinceMs.put(owner, clock.nowMs());
                    }
                    // One that is merely slow is not asked about: that would make it slower.
                    if (response != null && response.path("verdict").asText().equals("none")) {
                        shardLeases.onWrongOwner(shard);
                    }
                    withToken.accept(orFallbackToken(response instanceof ObjectNode o ? o : noVerdict(), request));
                });
    }

    private static ObjectNode noVerdict() {
        return JsonNodeFactory.instance.objectNode().put("verdict", "none");
    }

    /** Where nobody can say for the owner, a voter grants its part of what the rule allows beyond the limit. */
    private ObjectNode orFallbackToken(ObjectNode token, JsonNode request) {
        if (!"none".equals(token.path("verdict").asText())
                || isLeaving
                || !replicatedState.voterSinceIndexes().containsKey(raft.localId())) {
            return token;
        }
        // One more than there are, for a change of voters that has not been heard of here.
        boolean isGranted = rateLimiter.takeFallbackToken(
                request.path("tenant").asText(),
                replicatedState.voterSinceIndexes().size() + 1,
                request.path("rate").asDouble(),
                request.path("burst").asDouble());
        return isGranted ? JsonNodeFactory.instance.objectNode().put("verdict", "go") : token;
    }

    /** Takes a token as the owner of the tenant's slice; where nobody owns it, or nobody that is heard, this helm takes it. */
    private ObjectNode takeToken(JsonNode request) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        String shard = request.path("slice").asText();
        long fencingToken = isLeaving ? -1 : shardLeases.fencingToken(shard);
        if (fencingToken < 0) {
            if (!isLeaving && shardLeases.ownerOf(shard) == null) {
                shardLeases.acquire(shard);
            }
            return response.put("verdict", "none");
        }
        long waitMs = rateLimiter.takeToken(
                request.path("tenant").asText(),
                shardLeases.ownershipTerm(shard),
                shardLeases.isFirstOwnership(shard),
                request.path("epoch").asLong(),
                request.path("rate").asDouble(),
                request.path("burst").asDouble());
        response.put("owner", settings.peerAddress()).put("fence", fencingToken);
        return waitMs == 0
                ? response.put("verdict", "go")
                : response.put("verdict", "over").put("wait", waitMs);
    }

    private void claimIdempotencyKey(JsonNode request, ObjectNode response, Consumer<ObjectNode> callback) {
        if (!request.path("register").isTextual()) {
            callback.accept(response.put("verdict", "go"));
            return;
        }
        registerProposer.compareAndSet(
                request.path("register").asText(),
                request.path("claim").asText(),
                request.path("instead").isTextual() ? request.path("instead").asText() : null,
                Math.max(1, request.path("within").asLong() * 4 / 5),
                result -> {
                    if (result instanceof RegisterResult.Chosen) {
                        response.put("verdict", "go");
                    } else if (result instanceof RegisterResult.Conflict conflict) {
                        response.put("verdict", "held").put("stands", conflict.currentValue());
                    } else {
                        response.put("verdict", "none");
                    }
                    callback.accept(response);
                });
    }

    private void checkSingletonRoles() {
        singletonRoles.assignRoles();
        boolean hasLeader = raft.hasLeaderContact();
        registryReaders.forEach((zone, reader) -> {
            ReplicatedState.SingletonRole role =
                    replicatedState.singletonRoles().get(SingletonRoleKeys.REGISTRY_PREFIX + zone);
            reader.setOwnership(
                    hasLeader && !isLeaving && role != null && role.owner().equals(settings.peerAddress()),
                    role == null ? 0 : role.fencingToken());
            reader.setLeaderless(
                    !hasLeader && !isLeaving && isSuccessionCandidate(SingletonRoleKeys.REGISTRY_PREFIX + zone));
            reader.check();
        });
    }

    /** Whether this helm is among the first in line for a key: so many that one of them is left after the losses to be borne. */
    private boolean isSuccessionCandidate(String key) {
        long ownWeight = RendezvousHash.weight(key, settings.peerAddress());
        return otherControllers().stream()
                        .filter(controller -> RendezvousHash.weight(key, controller) > ownWeight)
                        .count()
                <= settings.tolerableMachineLosses();
    }

    /** The hems whose sessions stand. */
    private List<RegistryReader.Gateway> gatewayMembers() {
        List<RegistryReader.Gateway> gateways = new ArrayList<>();
        for (String node : members) {
            GossipStore.GossipEntry entry = gossip.get(GossipKeys.PROXY_KEY_PREFIX + node);
            if (entry == null || entry.body().path("gone").asBoolean()) {
                continue;
            }
            Set<String> heldServers = new HashSet<>();
            for (JsonNode endpoint : entry.body().path("doors")) {
                for (String id : endpoint.path("servers").asText().split(" ")) {
                    heldServers.add(id);
                }
            }
            gateways.add(new RegistryReader.Gateway(
                    node,
                    entry.incarnation(),
                    entry.body().path("peer").asText(),
                    entry.body().path("zone").asText(),
                    heldServers));
        }
        return gateways;
    }

    public void updateSettings(Settings newSettings) {
        settings = newSettings;
    }

    public ReplicatedState replicatedState() {
        return replicatedState;
    }

    public RaftNode raft() {
        return raft;
    }

    public ShadowCommitCoordinator commitCoordinator() {
        return commitCoordinator;
    }

    public RegisterProposer registerProposer() {
        return registerProposer;
    }

    /** This controller's part in the registers. */
    public RegisterService registers() {
        return registers;
    }

    private void publishSelf() {
        isAnnouncedAsVoter = replicatedState.voterSinceIndexes().containsKey(raft == null ? "" : raft.localId());
        gossip.publish(JsonNodeFactory.instance
                .objectNode()
                .put("peer", settings.peerAddress())
                .put("control", settings.controlAddress())
                .put("zone", settings.zone())
                .put("gone", isLeaving)
                .put("voter", isAnnouncedAsVoter));
    }

    private void onGossipEntry(GossipStore.GossipEntry entry) {
        if (entry.key().startsWith(GossipKeys.SESSION_KEY_PREFIX)) {
            String node = entry.key().substring(GossipKeys.SESSION_KEY_PREFIX.length());
            if (entry.body().path("open").asBoolean()) {
                members.add(node);
            } else {
                members.remove(node);
            }
            if (!entry.body().path("helm").asText().equals(settings.peerAddress())) {
                sessions.remove(node);
            }
        }
    }

    private Set<String> otherControllers() {
        Set<String> controllers = EndpointDirectory.controllerAddresses(gossip, settings);
        controllers.remove(settings.peerAddress());
        return controllers;
    }

    private List<String> sessionPeers() {
        List<String> peers = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.isOpen) {
                peers.add(session.peerAddress);
            }
        }
        return peers;
    }

    // ---- sessions

    private ObjectNode handleSession(JsonNode request) {
        String node = request.path("node").asText();
        long incarnation = request.path("life").asLong();
        long sessionNumber = request.path("n").asLong();
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        GossipStore.GossipEntry knownEntry = gossip.get(GossipKeys.SESSION_KEY_PREFIX + node);
        Session session = sessions.get(node);
        boolean isRenewal = session != null
                && session.isOpen
                && session.incarnation == incarnation
                && session.sessionNumber == sessionNumber;
        if (usageReporter != null && request.has("usage")) {
            usageReporter.onUsage(node, request.path("usage"), response);
        }
        if (request.path("end").asBoolean()) {
            if (isRenewal) {
                closeSession(node, session);
            }
            return response.put("ok", true).put("same", true);
        }
        if (!isRenewal) {
            if (knownEntry != null
                    && (knownEntry.incarnation() > incarnation
                            || knownEntry.incarnation() == incarnation && knownEntry.sequence() >= sessionNumber * 2)) {
                return response.put("ok", false)
                        .put("life", knownEntry.incarnation())
                        .put("n", knownEntry.sequence() / 2);
            }
            session = new Session();
            session.peerAddress = request.path("peer").asText();
            session.incarnation = incarnation;
            session.sessionNumber = sessionNumber;
            session.isOpen = true;
            sessions.put(node, session);
            log.log(Event.SESSION_OPENED, "proxy", node);
            publishSession(node, session);
        }
        session.lastRenewedMs = clock.nowMs();
        boolean isInTouch = isInTouchWithLeader();
        if (isInTouch) {
            response.put("term", raft.leaderTerm());
        }
        return response.put("ok", true)
                .put("touch", isInTouch)
                .put("same", gossip.rootHash().equals(request.path("hash").asText()));
    }

    /** Whether this helm's news is of late: it hears who leads, or a majority has lately answered it. */
    private boolean isInTouchWithLeader() {
        return raft.hasLeaderContact() && (!raft.isLeader() || raft.hasLease());
    }

    private void publishSession(String node, Session session) {
        gossip.publish(
                GossipKeys.SESSION_KEY_PREFIX + node,
                session.incarnation,
                session.sessionNumber * 2 + (session.isOpen ? 0 : 1),
                JsonNodeFactory.instance
                        .objectNode()
                        .put("helm", settings.peerAddress())
                        .put("weft", session.peerAddress)
                        .put("open", session.isOpen));
    }

    private void closeSession(String node, Session session) {
        session.isOpen = false;
        log.log(Event.SESSION_CLOSED, "proxy", node);
        publishSession(node, session);
    }

    private void closeExpiredSessions() {
        long limitMs = (long) (settings.bounds().quietPeriodMs() / RENEWAL_DIVISOR * MISSED_RENEWALS_TO_CLOSE);
        long nowMs = clock.nowMs();
        Map.copyOf(sessions).forEach((node, session) -> {
            if (session.isOpen && nowMs - session.lastRenewedMs > limitMs) {
                closeSession(node, session);
            }
        });
    }

    // ---- phases, by way of the zone controllers

    private Optional<String> openSessionAddress(String node) {
        Session session = sessions.get(node);
        return session != null && session.isOpen ? Optional.of(session.peerAddress) : Optional.empty();
    }

    private Optional<String> controllerOfProxy(String node) {
        return Optional.ofNullable(gossip.get(GossipKeys.SESSION_KEY_PREFIX + node))
                .map(entry -> entry.body().path("helm").asText());
    }

    // ---- what is agreed

    @Override
    public void apply(long index, String entry) {
        long previousVotersChangedIndex = replicatedState.votersChangedIndex();
        replicatedState.apply(index, ReplicatedEntryCodec.decode(entry));
        schedulePublish();
        if (replicatedState.votersChangedIndex() != previousVotersChangedIndex) {
            // The group changes no further until whoever is new has read what the others hold.
            clock.execute(registers::sync);
            shardLeases.onVotersChanged();
        }
    }

    @Override
    public String snapshot() {
        return ReplicatedStateSnapshotCodec.encode(replicatedState.snapshot());
    }

    @Override
    public void restore(String snapshot) {
        replicatedState.restore(ReplicatedStateSnapshotCodec.decode(snapshot));
        shardLeases.onVotersChanged();
        schedulePublish();
    }

    @Override
    public boolean isSynced() {
        return registers.isSynced();
    }

    @Override
    public void onLeadershipChanged(boolean leads) {
        commitCoordinator.onLeadershipChanged(leads);
    }

    /** Several entries applied at once are told of once: only where they end counts. */
    private void schedulePublish() {
        if (!isPublishScheduled) {
            isPublishScheduled = true;
            clock.execute(() -> {
                isPublishScheduled = false;
                publish();
            });
        }
    }

    /** Tells in the news what the ledger holds. */
    private void publish() {
        if (replicatedState.current().epoch() > 0) {
            gossip.publish(
                    GossipKeys.CONFIGURATION_KEY,
                    replicatedState.current().epoch(),
                    replicatedState.phase().ordinal(),
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("epoch", replicatedState.current().epoch())
                            .put(
                                    "stamp",
                                    RoutingConfiguration.stampOf(
                                            replicatedState.current().compressedDocument()))
                            .put("old", replicatedState.previous().epoch())
                            .put("phase", replicatedState.phase().name()));
        }
        notifyUnconfirmed();
        replicatedState.evacuations().forEach((zone, evacuation) -> {
            if (publishedEvacuations.getOrDefault(zone, 0L) < evacuation.index()) {
                publishedEvacuations.put(zone, evacuation.index());
                gossip.publish(
                        GossipKeys.EVACUATION_KEY_PREFIX + zone,
                        evacuation.index(),
                        0,
                        JsonNodeFactory.instance.objectNode().put("on", evacuation.isEvacuated()));
            }
        });
    }

    /** The cell of a side that has not confirmed may be cut off: the leader tells such a side itself. */
    private void notifyUnconfirmed() {
        GossipStore.GossipEntry configurationEntry = gossip.get(GossipKeys.CONFIGURATION_KEY);
        if (!raft.isLeader() || configurationEntry == null) {
            return;
        }
        for (String node : commitCoordinator.unconfirmed()) {
            GossipStore.GossipEntry sessionEntry = gossip.get(GossipKeys.SESSION_KEY_PREFIX + node);
            if (sessionEntry != null && members.contains(node)) {
                gossip.send(sessionEntry.body().path("weft").asText(), List.of(configurationEntry));
            }
        }
    }

    // ---- the operator

    public void submitChange(OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> callback) {
        if (!raft.isLeader()) {
            callback.accept(OperatorRequest.Result.unknown("not the leader"));
            return;
        }
        commitCoordinator.submit(change, outcome -> callback.accept(outcome.toResult()));
    }

    public void evacuate(String zone, boolean isEvacuated, Consumer<Boolean> callback) {
        ReplicatedState.Evacuation current = replicatedState.evacuations().get(zone);
        // What is proposed and not agreed yet may be the opposite.
        if (raft.isLeader()
                && !raft.hasUnappliedEntries()
                && (current == null ? !isEvacuated : current.isEvacuated() == isEvacuated)) {
            raft.confirmLeadership(confirmation -> callback.accept(confirmation == LeadershipConfirmation.CONFIRMED));
            return;
        }
        raft.propose(
                ReplicatedEntryCodec.encode(new ReplicatedEntry.EvacuationChanged(zone, isEvacuated)),
                outcome -> callback.accept(outcome == ProposalOutcome.COMMITTED));
    }

    /** The newest version, confirmed by a majority; null where that fails. */
    public void readConfiguration(Consumer<ReplicatedState.Version> callback) {
        raft.confirmLeadership(confirmation ->
                callback.accept(confirmation == LeadershipConfirmation.CONFIRMED ? replicatedState.current() : null));
    }

    // ---- peers

    @Override
    public void handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (raft.handleRequest(kind, request, callback)
                || registers.handleRequest(kind, request, callback)
                || shardLeases.handleRequest(kind, request, callback)
                || usageReporter != null && usageReporter.handleRequest(kind, request, callback)) {
            return;
        }
        if (overloadDetector.isOverloaded() && kind.equals(GossipStore.DIGEST)) {
            // Whoever compares will ask again; what waits behind it cannot.
            callback.accept(null);
            return;
        }
        if (gossip.handleRequest(kind, request, callback)) {
            return;
        }
        switch (kind) {
            case "session" -> callback.accept(handleSession(request));
            case "lease" -> grantRetryLease(request, callback);
            case "admit" -> admit(request, callback);
            case "token" -> callback.accept(takeToken(request));
            case FencingTokenCodec.KIND -> tokenRenewal.handleRequest(request, callback);
            case PhaseCodec.RELAY_KIND -> phaseRelay.handleRequest(request, callback);
            case "doc" ->
                callback.accept(findDocument(
                        request.path("epoch").asLong(), request.path("stamp").asText()));
            case PingCodec.KIND -> callback.accept(PingCodec.encodeControllerResponse(isInTouchWithLeader()));
            case "status" -> callback.accept(status());
            default -> {
                log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
                callback.accept(null);
            }
        }
    }

    private ObjectNode findDocument(long epoch, String stamp) {
        for (ReplicatedState.Version version : List.of(replicatedState.current(), replicatedState.previous())) {
            if (version.epoch() == epoch
                    && version.compressedDocument() != null
                    && (stamp.isEmpty() || stamp.equals(RoutingConfiguration.stampOf(version.compressedDocument())))) {
                return JsonNodeFactory.instance.objectNode().put("doc", version.compressedDocument());
            }
        }
        return null;
    }

    private ObjectNode status() {
        ObjectNode status = JsonNodeFactory.instance
                .objectNode()
                .put("role", "helm")
                .put("node", settings.node())
                .put("zone", settings.zone())
                .put("self", raft.localId())
                .put("term", raft.currentTerm())
                .put("leader", raft.leaderId())
                .put("leads", raft.isLeader())
                .put("epoch", replicatedState.current().epoch())
                .put("phase", replicatedState.phase().name())
                .put("applied", raft.lastApplied())
                .put("late", overloadDetector.latenessMs())
                .put("strained", overloadDetector.isOverloaded());
        ArrayNode voters = status.putArray("voters");
        raft.voters().forEach(voters::add);
        ArrayNode followers = status.putArray("followers");
        raft.memberProgress()
                .forEach(follower -> followers
                        .addObject()
                        .put("member", follower.memberId())
                        .put("match", follower.matchIndex())
                        .put("behind", follower.entriesBehind())
                        .put("sent", follower.transferredChars())
                        .put("size", follower.transferChars())
                        .put("snapshots", follower.snapshotsSent())
                        .put("silentMs", follower.silentMs())
                        .put("differs", follower.hasDivergedState()));
        ArrayNode unconfirmed = status.putArray("unconfirmed");
        commitCoordinator.unconfirmed().forEach(unconfirmed::add);
        ObjectNode evacuations = status.putObject("evacuations");
        replicatedState.evacuations().forEach((z, e) -> evacuations.put(z, e.isEvacuated()));
        ObjectNode roleOwners = status.putObject("duties");
        replicatedState.singletonRoles().forEach((key, role) -> roleOwners.put(key, role.owner()));
        status.put("slices", shardLeases.ownedCount()).put("slicesInAll", AdmissionClient.SHARD_COUNT);
        status.put("registers", registers.registerCount())
                .put("rounds", registerProposer.proposalRounds())
                .put("unsure", registerProposer.unknownOutcomes())
                .put("settled", registers.isSynced());
        if (usageReporter != null) {
            status.set("usage", usageReporter.status());
        }
        ObjectNode overLimit = status.putObject("overLimit");
        rateLimiter.deniedCounts().forEach(overLimit::put);
        ObjectNode proxies = status.putObject("sides");
        for (GossipStore.GossipEntry entry : gossip.entriesWithPrefix(GossipKeys.PROXY_KEY_PREFIX)) {
            String node = entry.key().substring(GossipKeys.PROXY_KEY_PREFIX.length());
            ObjectNode proxy = entry.body().deepCopy();
            proxies.set(node, proxy.put("member", members.contains(node)));
        }
        return status;
    }

    /** Leaves the group's work: hands over the lead and its place, and tells its wefts to turn elsewhere. */
    public void leave() {
        isLeaving = true;
        publishSelf();
        raft.leave();
    }

    /** Whether the group can go on without this helm as well as with it. */
    public boolean hasLeft() {
        return raft.hasLeft();
    }

    /** Takes no further part. */
    public void stop() {
        raft.stop();
    }
}
