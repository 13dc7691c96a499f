package bramblespool.coordination.dataplane;

import bramblespool.coordination.configuration.ConfigurationFreshness;
import bramblespool.coordination.configuration.PhaseCodec;
import bramblespool.coordination.configuration.PhaseHandler;
import bramblespool.coordination.configuration.PingCodec;
import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.discovery.AssignedEndpoints;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.membership.ControllerSession;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.singleton.ClusterClock;
import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.singleton.UsageWindows;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.traffic.RetryBudget;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.Heartbeat;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A data plane daemon's part in the control plane: its session, its news, its side of the shadow commit, its gates. A
 * weft has one gate, to the server on its machine; a hem those of the servers it is steward of.
 */
public final class DataPlaneNode implements PeerTransport.RequestHandler {
    /** To how many near peers own news is passed on at once, besides the cell. */
    private static final int GOSSIP_FANOUT = 2;
    /** Once in so many rounds news is compared with anybody, not with a near peer. */
    private static final int CROSS_ZONE_RECONCILE_ROUNDS = 8;
    /** How many tries at fetching a document fit into {@code apply}: it may be large and the link narrow. */
    private static final int FETCH_ATTEMPTS = 3;
    /** Ratio to {@code drain} of the time for which news heard is gathered before it is passed on. */
    private static final int GOSSIP_BATCH_DIVISOR = 100;
    /** Ratios to {@code quiet}. */
    private static final int RENEWAL_DIVISOR = 6;

    private static final int CALL_TIMEOUT_DIVISOR = 10;
    /** For this part of its last time a daemon that is to end goes on taking work for its servers. */
    private static final double SHUTDOWN_SERVING_SHARE = 0.6;

    /** Answers kept for repeats take at most this part of the machine's memory. */
    private static final int RESPONSE_CACHE_DIVISOR = 24;

    private final Clock clock;
    private final PeerTransport transport;
    private final EventLog log;
    private Settings settings;
    public final GossipStore gossip;
    public final EndpointDirectory endpointDirectory;
    public final ShadowCommitParticipant shadowCommit;
    public final ServerAdmissions admissions = new ServerAdmissions();
    /** A weft's one gate; null in a hem. */
    public final ServerAdmission serverAdmission;
    /** A hem's servers; null in a weft. */
    private final AssignedEndpoints assignedEndpoints;

    public final RetryBudget retryBudget;
    public final AdmissionClient admissionClient;
    public final IdempotencyTable idempotencyTable;
    /** What runs began at the gates here, by tenant; null where nobody wants to know. */
    public final UsageCounter usageCounter;
    /** This side and its life, as its claims name it. */
    private final String claimOwner;

    private final ControllerSession controllerSession;
    private final TermGuard termGuard;
    private final PhaseHandler phaseHandler;
    private final ConfigurationFreshness freshness;
    private boolean hasLoggedUnconfirmed;
    private final long callTimeoutMs;
    private boolean hasLeft;
    private boolean isShuttingDown;
    private boolean isFetching;
    private final Set<String> pendingPings = new LinkedHashSet<>();
    private long lastRenewalMs;

    public DataPlaneNode(Settings settings, Clock clock, PeerTransport transport, EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.transport = transport;
        this.log = log;
        Settings.Bounds bounds = settings.bounds();
        this.callTimeoutMs = bounds.quietPeriodMs() / CALL_TIMEOUT_DIVISOR;
        this.gossip = new GossipStore(
                clock,
                transport,
                callTimeoutMs,
                bounds.drainMs() / GOSSIP_BATCH_DIVISOR,
                false,
                new GossipStore.GossipPeers() {
                    @Override
                    public Set<String> pushTargets(GossipStore.Source source) {
                        return selectPushTargets(source);
                    }

                    @Override
                    public List<String> reconciliationPeers() {
                        return selectPeers();
                    }
                });
        this.claimOwner = settings.peerAddress() + " " + Long.toHexString((long) (clock.random() * (1L << 52)));
        ClusterClock clusterClock = new ClusterClock(clock);
        this.usageCounter = settings.usageReporting() == null
                ? null
                : new UsageCounter(clusterClock, claimOwner, UsageWindows.of(settings.usageReporting()));
        this.termGuard = new TermGuard(log);
        this.freshness = new ConfigurationFreshness(
                () -> EndpointDirectory.controllerAddresses(gossip, this.settings),
                this::newestEpoch,
                gossip,
                transport,
                callTimeoutMs,
                log);
        this.controllerSession = new ControllerSession(
                () -> this.settings,
                gossip,
                termGuard,
                freshness,
                usageCounter,
                clusterClock,
                clock,
                transport,
                callTimeoutMs,
                bounds.quietPeriodMs() / RENEWAL_DIVISOR,
                log);
        this.endpointDirectory = new EndpointDirectory(
                clock, settings.node(), settings.zone(), bounds.quietPeriodMs() / 3, admissions::load);
        this.shadowCommit = new ShadowCommitParticipant(clock, bounds.applyMs() * 2 / 5, log);
        this.phaseHandler = new PhaseHandler(termGuard, shadowCommit, this::onVersionMismatch);
        if (settings.isEdge()) {
            this.serverAdmission = null;
            this.assignedEndpoints = new AssignedEndpoints(
                    clock,
                    ServerAdmission.AdmissionSettings.forRegistry(settings),
                    admissions,
                    this::publishOwnEntry,
                    log);
        } else {
            this.serverAdmission = new ServerAdmission(
                    clock,
                    ServerAdmission.AdmissionSettings.forHeartbeats(settings),
                    settings.applicationAddress(),
                    settings.serviceName(),
                    this::publishOwnEntry,
                    log);
            this.assignedEndpoints = null;
            admissions.add(serverAdmission);
        }
        this.retryBudget = new RetryBudget(bounds.retryRatio(), bounds.retryAllowance());
        this.idempotencyTable = new IdempotencyTable(
                clock,
                claimOwner,
                IdempotencyTable.retentionMs(bounds.idempotencyKeyWindowMs()),
                responseCacheBytes(settings));
        this.admissionClient = new AdmissionClient(
                clock,
                transport,
                () -> EndpointDirectory.voterAddresses(gossip, this.settings),
                bounds.quietPeriodMs());
        gossip.registerOwnKey(GossipKeys.PROXY_KEY_PREFIX + settings.node(), this::publishOwnEntry);
        gossip.addListener(this::onGossipUpdate);
        shadowCommit.onChange(this::onConfigurationChange);
    }

    private static long responseCacheBytes(Settings settings) {
        long memoryMb = settings.memoryMb() > 0 ? settings.memoryMb() : 256;
        return memoryMb * (1 << 20) / RESPONSE_CACHE_DIVISOR;
    }

    public void start() {
        long renewalIntervalMs = settings.bounds().quietPeriodMs() / RENEWAL_DIVISOR;
        publishOwnEntry();
        controllerSession.renew();
        clock.scheduleRepeatedly(renewalIntervalMs, () -> {
            long nowMs = clock.nowMs();
            if (lastRenewalMs > 0 && nowMs - lastRenewalMs > renewalIntervalMs * 3) {
                log.log(Event.PROCESS_PAUSED, "pausedMs", nowMs - lastRenewalMs);
                admissions.onProcessPaused();
            }
            lastRenewalMs = nowMs;
            admissions.check();
            controllerSession.renew();
            catchUp();
            logUnconfirmed();
            retryBudget.takeExhaustedServices().forEach(this::requestRetryLease);
        });
        clock.scheduleRepeatedly(renewalIntervalMs * 2, gossip::reconcile);
    }

    public void updateSettings(Settings newSettings) {
        settings = newSettings;
    }

    public boolean isReady() {
        return !hasLeft
                && !isShuttingDown
                && shadowCommit.realConfiguration() != null
                && freshness.mayServe(shadowCommit.epoch())
                && endpointDirectory.hasAvailableServer();
    }

    private void logUnconfirmed() {
        if (!hasLoggedUnconfirmed && !freshness.isConfirmed() && isReady()) {
            hasLoggedUnconfirmed = true;
            log.log(Event.CONFIGURATION_UNCONFIRMED, "epoch", shadowCommit.epoch());
        }
    }

    public boolean hasSession() {
        return controllerSession.isOpen();
    }

    public String controller() {
        return controllerSession.controller();
    }

    // ---- news

    private void publishOwnEntry() {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("peer", settings.peerAddress())
                .put("inbound", settings.inboundAddress())
                .put("zone", settings.zone())
                .put("gone", hasLeft);
        body.set("doors", admissions.describeEndpoints(hasLeft));
        gossip.publish(body);
    }

    private void onGossipUpdate(GossipStore.GossipEntry entry) {
        endpointDirectory.onUpdate(entry);
        retryBudget.setProxyCount(endpointDirectory.proxyCount());
        if (entry.key().equals(GossipKeys.EVACUATION_KEY_PREFIX + settings.zone())) {
            log.log(
                    Event.ZONE_EVACUATION_CHANGED,
                    "zone",
                    settings.zone(),
                    "evacuated",
                    entry.body().path("on").asBoolean());
            admissions.setEvacuated(entry.body().path("on").asBoolean());
        } else if (entry.key().equals(GossipKeys.CONFIGURATION_KEY)) {
            catchUp();
        }
    }

    /**
     * A cell tells all its sides and the other cells, so with a session only what the cell may not have heard goes to
     * it, and the own news to a few near peers besides. Without one, everything goes to a few near peers and a far one.
     */
    private Set<String> selectPushTargets(GossipStore.Source source) {
        Set<String> targets = new LinkedHashSet<>();
        if (hasSession()) {
            if (source != GossipStore.Source.CONTROLLER) {
                targets.add(controller());
            }
            if (source == GossipStore.Source.LOCAL) {
                addRandom(endpointDirectory.peerAddresses(true), GOSSIP_FANOUT, targets);
            }
        } else {
            addRandom(endpointDirectory.peerAddresses(true), GOSSIP_FANOUT, targets);
            addRandom(endpointDirectory.peerAddresses(false), 1, targets);
        }
        return targets;
    }

    private void addRandom(List<String> candidates, int count, Set<String> selected) {
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            selected.add(candidates.remove((int) (clock.random() * candidates.size())));
        }
    }

    /** Whom to compare news with, or ask: mostly near peers, for bytes between zones cost. */
    private List<String> selectPeers() {
        List<String> sameZone = endpointDirectory.peerAddresses(true);
        if (!sameZone.isEmpty() && clock.random() * CROSS_ZONE_RECONCILE_ROUNDS > 1) {
            return sameZone;
        }
        List<String> peers = endpointDirectory.peerAddresses(false);
        peers.addAll(EndpointDirectory.controllerAddresses(gossip, settings));
        return peers;
    }

    // ---- retry slack

    /** Asks for tries of a service's slack, for those to come. */
    private void requestRetryLease(String service) {
        if (!hasSession()) {
            return;
        }
        transport.call(
                controller(),
                "lease",
                JsonNodeFactory.instance.objectNode().put("service", service),
                callTimeoutMs,
                response -> {
                    if (response != null) {
                        // Counted from when it was asked for: the owner counts from no earlier.
                        retryBudget.leased(
                                service,
                                response.path("tries").asInt(),
                                clock.nowMs() + response.path("life").asLong() - callTimeoutMs);
                    }
                });
    }

    // ---- versions

    private void onConfigurationChange() {
        admissions.applyConfiguration(shadowCommit.realConfiguration());
    }

    /** The number of the newest version that the news tells of. */
    private long newestEpoch() {
        GossipStore.GossipEntry configurationEntry = gossip.get(GossipKeys.CONFIGURATION_KEY);
        return configurationEntry == null
                ? 0
                : configurationEntry.body().path("epoch").asLong();
    }

    /** Compares the version in force here with the one decided, as the news tells it, and acts on the difference. */
    private void catchUp() {
        GossipStore.GossipEntry configurationEntry = gossip.get(GossipKeys.CONFIGURATION_KEY);
        if (configurationEntry == null) {
            return;
        }
        long epoch = configurationEntry.body().path("epoch").asLong();
        String stamp = configurationEntry.body().path("stamp").asText();
        boolean isMarked = configurationEntry.body().path("phase").asText().equals("MARKED");
        if (epoch == shadowCommit.epoch()) {
            if (isMarked && shadowCommit.isTagging()) {
                shadowCommit.markShadowBit(epoch, stamp);
            }
            return;
        }
        if (epoch < shadowCommit.epoch()) {
            return;
        }
        boolean isSwapped =
                isMarked || configurationEntry.body().path("phase").asText().equals("SWAPPED");
        if (!isSwapped && shadowCommit.realConfiguration() != null) {
            // The commit is under way; should it not come by, the decided version is taken all the same.
            clock.schedule(settings.bounds().applyMs() / 4, () -> {
                if (shadowCommit.epoch() < epoch) {
                    fetch(epoch, stamp, false);
                }
            });
            return;
        }
        if (shadowCommit.shadowConfiguration() != null
                && shadowCommit.shadowConfiguration().matches(epoch, stamp)) {
            shadowCommit.adopt(shadowCommit.shadowConfiguration(), isMarked);
        } else {
            fetch(epoch, stamp, isMarked);
        }
    }

    private void fetch(long epoch, String stamp, boolean isMarked) {
        if (isFetching) {
            return;
        }
        List<String> sources = new ArrayList<>();
        if (hasSession()) {
            sources.add(controller());
        }
        // Other helms have it, where the own one does not; near sides may be as far behind as this one. Without a
        // session the
        // helms may all be gone, and each that is silent costs time, which one that has nothing to give does not.
        List<String> controllers = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings));
        controllers.removeAll(sources);
        Set<String> additional = new LinkedHashSet<>();
        if (!hasSession()) {
            addRandom(endpointDirectory.peerAddresses(false), 2, additional);
        }
        addRandom(controllers, 2, additional);
        addRandom(selectPeers(), 2, additional);
        sources.addAll(additional);
        isFetching = true;
        fetch(epoch, stamp, isMarked, sources, 0);
    }

    private void fetch(long epoch, String stamp, boolean isMarked, List<String> sources, int index) {
        if (index >= sources.size() || shadowCommit.epoch() >= epoch) {
            isFetching = false;
            return;
        }
        transport.call(
                sources.get(index),
                "doc",
                JsonNodeFactory.instance.objectNode().put("epoch", epoch).put("stamp", stamp),
                settings.bounds().applyMs() / FETCH_ATTEMPTS,
                response -> {
                    if (response != null && response.path("doc").isTextual()) {
                        try {
                            RoutingConfiguration fetched = RoutingConfigurationParser.parseCompressed(
                                    response.path("doc").asText());
                            if (fetched.matches(epoch, stamp)) {
                                shadowCommit.adopt(fetched, isMarked);
                                isFetching = false;
                                catchUp();
                                return;
                            }
                            log.logOnChange(
                                    Event.MESSAGE_DROPPED,
                                    "doc" + fetched.tag(),
                                    "kind",
                                    "doc",
                                    "cause",
                                    "another document");
                        } catch (InvalidConfigurationException e) {
                            log.logOnChange(
                                    Event.MESSAGE_DROPPED,
                                    "doc" + e.getMessage(),
                                    "kind",
                                    "doc",
                                    "cause",
                                    e.getMessage());
                        }
                    }
                    fetch(epoch, stamp, isMarked, sources, index + 1);
                });
    }

    /** What a call's mark tells about the weft it came from: one that still tags with an older version is told the news. */
    public void onCallerTag(String callerNode, String versionTag) {
        if (callerNode == null || !shadowCommit.isTagOfOlderVersion(versionTag) || shadowCommit.isTagging()) {
            return;
        }
        EndpointDirectory.Proxy proxy = endpointDirectory.findProxy(callerNode);
        if (proxy != null && proxy.address != null && clock.nowMs() - proxy.lastUpdateSentMs > callTimeoutMs) {
            proxy.lastUpdateSentMs = clock.nowMs();
            gossip.reconcileWith(proxy.address);
        }
    }

    /** A peer refused a call for its mark or route: one of the two may be behind. */
    public void onVersionMismatch() {
        if (controller() != null && !isFetching) {
            gossip.reconcileWith(controller());
        }
    }

    // ---- peers

    /** Asks a peer that has been silent whether it is there. */
    public void ping(EndpointDirectory.Proxy proxy) {
        if (proxy.address == null || endpointDirectory.isSuspected(proxy) || !pendingPings.add(proxy.address)) {
            return;
        }
        transport.call(proxy.address, PingCodec.KIND, PingCodec.encodeRequest(), callTimeoutMs, response -> {
            pendingPings.remove(proxy.address);
            if (response == null) {
                endpointDirectory.markSuspected(proxy);
            } else {
                proxy.lastHeardMs = clock.nowMs();
            }
        });
    }

    @Override
    public void handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (gossip.serve(kind, request, callback)) {
            return;
        }
        switch (kind) {
            case PhaseCodec.PHASE_KIND -> phaseHandler.handleRequest(request, callback);
            case "assign" ->
                callback.accept(assignedEndpoints == null ? null : assignedEndpoints.applyAssignment(request));
            case PingCodec.KIND -> callback.accept(PingCodec.encodeProxyResponse());
            case "doc" ->
                callback.accept(describeConfiguration(
                        request.path("epoch").asLong(), request.path("stamp").asText()));
            case "operation" -> callback.accept(describeOperation(request));
            case "status" -> callback.accept(describeStatus());
            default -> {
                log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
                callback.accept(null);
            }
        }
    }

    // ---- operations

    /** Tells a side that found a claim of this one in the register what came of it. */
    private ObjectNode describeOperation(JsonNode request) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        String claim = request.path("claim").asText();
        if (!claim.startsWith(claimOwner + " ")) {
            // An earlier life's: what it did nobody can say.
            return response.put("state", IdempotencyTable.State.UNKNOWN.name());
        }
        IdempotencyTable.Operation operation =
                idempotencyTable.resolveClaim(request.path("register").asText(), claim);
        if (operation == null) {
            return response.put("state", IdempotencyTable.State.GIVEN.name());
        }
        if (!operation.isSameRequest(request.path("print").asLong())) {
            return response.put("state", "DIFFERS");
        }
        response.put("state", operation.state().name());
        if (operation.response() != null) {
            response.put("code", operation.response().statusCode())
                    .put("body", operation.response().body());
            var headers = response.putArray("headers");
            operation.response().headers().forEach(headers::add);
        }
        return response;
    }

    /** Asks the side that a claim names what came of it. Null: nobody there, or it is an earlier life of this one. */
    public void queryOperation(
            String register, String claim, long fingerprint, long timeoutMs, Consumer<JsonNode> callback) {
        String address = claim.substring(0, Math.max(0, claim.indexOf(' ')));
        if (address.isEmpty() || address.equals(settings.peerAddress())) {
            callback.accept(null);
            return;
        }
        transport.call(
                address,
                "operation",
                JsonNodeFactory.instance
                        .objectNode()
                        .put("register", register)
                        .put("claim", claim)
                        .put("print", fingerprint),
                timeoutMs,
                callback);
    }

    private ObjectNode describeConfiguration(long epoch, String stamp) {
        RoutingConfiguration configuration = shadowCommit.realConfiguration();
        return configuration == null || !configuration.matches(epoch, stamp)
                ? null
                : JsonNodeFactory.instance.objectNode().put("doc", configuration.compressedDocument());
    }

    private ObjectNode describeStatus() {
        ObjectNode status = JsonNodeFactory.instance
                .objectNode()
                .put("role", assignedEndpoints == null ? "weft" : "hem")
                .put("node", settings.node())
                .put("zone", settings.zone())
                .put("epoch", shadowCommit.epoch())
                .put("tagging", shadowCommit.isTagging())
                .put("helm", controller())
                .put("session", hasSession())
                .put("ready", isReady())
                .put("term", termGuard.highestTerm())
                .put("confirmed", freshness.isConfirmed())
                .put("open", admissions.isAccepting())
                .put("load", admissions.load())
                .put("capacity", admissions.capacity())
                .put("sides", endpointDirectory.proxyCount())
                .put("operations", idempotencyTable.size())
                .put("answerBytes", idempotencyTable.storedBytes());
        var servers = status.putArray("servers");
        admissions.serverIds().forEach(servers::add);
        if (shadowCommit.shadowConfiguration() != null) {
            status.put("shadow", shadowCommit.shadowConfiguration().epoch());
        }
        return status;
    }

    // ---- the server and the end

    public String onHeartbeat(Heartbeat heartbeat) {
        return serverAdmission.onHeartbeat(heartbeat);
    }

    /**
     * To end soon: not ready from now on, so that no new clients come, but its servers are well and nobody else can
     * reach them, so others may send to them until shortly before.
     */
    public void shutDownGracefully(long timeoutMs) {
        isShuttingDown = true;
        clock.schedule((long) (timeoutMs * SHUTDOWN_SERVING_SHARE), this::leave);
    }

    /** Whether it has told that it is gone: what is sent here all the same is refused. */
    public boolean hasLeft() {
        return hasLeft;
    }

    /** Leaves: no more work comes here, and the session ends. */
    public void leave() {
        hasLeft = true;
        publishOwnEntry();
        controllerSession.close();
    }
}
