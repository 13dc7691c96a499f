package bramblespool.coordination.dataplane;

import bramblespool.coordination.configuration.ConfigurationFreshness;
import bramblespool.coordination.configuration.PhaseCodec;
import bramblespool.coordination.configuration.PhaseHandler;
import bramblespool.coordination.configuration.PingCodec;
import bramblespool.coordination.configuration.ShadowCommitParticipant;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.discovery.AssignedEndpoints;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipPeers;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.membership.ControllerSession;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.singleton.UsageWindows;
import bramblespool.coordination.tenancy.AdmissionClient;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.RequestAdmission;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.coordination.traffic.AdmissionSettings;
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
 * A proxy's part in the control plane: wires its gossip, its session with a controller, its role in the shadow commit
 * and its server admissions, and answers peer messages. A sidecar has one admission, for the server on its machine; a
 * gateway has those of the servers assigned to it. Confined to the event loop.
 */
public final class DataPlaneNode implements PeerTransport.RequestHandler {
    /** Proxies of the own zone to which own updates are pushed, besides the controller. */
    private static final int GOSSIP_FANOUT = 2;
    /** One in so many rounds of anti-entropy is with a peer of any zone, the others with one of the own zone. */
    private static final int CROSS_ZONE_RECONCILE_ROUNDS = 8;
    /** Attempts to fetch a document that fit into {@code apply}: it may be large and the link slow. */
    private static final int FETCH_ATTEMPTS = 3;
    /** Received updates are collected for {@code drain} divided by this before they are forwarded. */
    private static final int GOSSIP_BATCH_DIVISOR = 100;
    /** The session's renewal interval is {@code quiet} divided by this. */
    private static final int RENEWAL_DIVISOR = 6;
    /** The time-out of a peer call is {@code quiet} divided by this. */
    private static final int CALL_TIMEOUT_DIVISOR = 10;
    /** Fraction of the shutdown time in which the proxy still admits requests to its servers. */
    private static final double SHUTDOWN_SERVING_SHARE = 0.6;

    private final Clock clock;
    private final PeerTransport transport;
    private final EventLog log;
    private Settings settings;
    /** Entries known of other processes. */
    public final GossipStore gossip;
    /** The endpoints to choose from. */
    public final EndpointDirectory endpointDirectory;
    /** The versions of the routing configuration that are installed here. */
    public final ShadowCommitParticipant shadowCommit;
    /** The admissions of this proxy's servers. */
    public final ServerAdmissions admissions = new ServerAdmissions();
    /** A sidecar's one admission; null in a gateway. */
    public final ServerAdmission serverAdmission;
    /** A gateway's servers; null in a sidecar. */
    private final AssignedEndpoints assignedEndpoints;
    /** This proxy's budget of retries. */
    public final RetryBudget retryBudget;
    /** Asks controllers for rate-limit tokens and claims of idempotency keys. */
    public final AdmissionClient admissionClient;
    /** The operations whose idempotency keys this proxy has claimed. */
    public final IdempotencyTable idempotencyTable;
    /** Admits requests by their tenants' limits and their keys. */
    public final RequestAdmission requestAdmission;
    /** Requests executed at this proxy's servers, by tenant; null without usage reporting. */
    public final UsageCounter usageCounter;

    private final ProxyTenancy tenancy;
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

    /** Creates the node; nothing is sent before {@link #start}. */
    public DataPlaneNode(Settings settings, Clock clock, PeerTransport transport, EventLog log) {
        this.settings = settings;
        this.clock = clock;
        this.transport = transport;
        this.log = log;
        Settings.Bounds bounds = settings.bounds();
        this.callTimeoutMs = bounds.quietPeriodMs() / CALL_TIMEOUT_DIVISOR;
        this.gossip = new GossipStore(
                clock, transport, callTimeoutMs, bounds.drainMs() / GOSSIP_BATCH_DIVISOR, false, new GossipPeers() {
                    @Override
                    public Set<String> pushTargets(GossipStore.Source source) {
                        return selectPushTargets(source);
                    }

                    @Override
                    public List<String> reconciliationPeers() {
                        return selectPeers();
                    }
                });
        String processId = settings.peerAddress() + " " + Long.toHexString((long) (clock.random() * (1L << 52)));
        ClusterClock clusterClock = new ClusterClock(clock);
        this.usageCounter = settings.usageReporting() == null
                ? null
                : new UsageCounter(clusterClock, processId, UsageWindows.of(settings.usageReporting()));
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
                    clock, AdmissionSettings.forRegistry(settings), admissions, this::publishOwnEntry, log);
        } else {
            this.serverAdmission = new ServerAdmission(
                    clock,
                    AdmissionSettings.forHeartbeats(settings),
                    settings.applicationAddress(),
                    settings.serviceName(),
                    this::publishOwnEntry,
                    log);
            this.assignedEndpoints = null;
            admissions.add(serverAdmission);
        }
        this.retryBudget = new RetryBudget(bounds.retryRatio(), bounds.retryAllowance());
        this.tenancy = new ProxyTenancy(
                settings,
                processId,
                new ProxyTenancy.KnownControllers(
                        () -> EndpointDirectory.voterAddresses(gossip, this.settings),
                        () -> EndpointDirectory.controllerAddresses(gossip, this.settings),
                        this::answerControllers),
                clock,
                transport,
                log);
        this.idempotencyTable = tenancy.idempotencyTable();
        this.admissionClient = tenancy.admissionClient();
        this.requestAdmission = tenancy.requestAdmission();
        gossip.registerOwnKey(GossipKeys.PROXY_KEY_PREFIX + settings.node(), this::publishOwnEntry);
        gossip.addListener(this::onGossipUpdate);
        shadowCommit.onChange(this::onConfigurationChange);
    }

    /** Publishes the own entry, opens the session and starts the timers. */
    public void start() {
        long renewalIntervalMs = settings.bounds().quietPeriodMs() / RENEWAL_DIVISOR;
        publishOwnEntry();
        controllerSession.renew();
        tenancy.start();
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

    /** Takes reloaded settings; parameters that were passed on at construction stay as they were. */
    public void updateSettings(Settings newSettings) {
        settings = newSettings;
    }

    /** The answer to the readiness check: a confirmed configuration and a server that can be reached. */
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

    /** Whether a session with a controller is open. */
    public boolean hasSession() {
        return controllerSession.isOpen();
    }

    /** The peer address of the session's controller; null before the first. */
    public String controller() {
        return controllerSession.controller();
    }

    // ---- gossip

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
     * A controller forwards updates to all proxies with a session and to the other controllers. So with a session, only
     * updates that the controller may not have are pushed to it, and own updates to a few proxies of the own zone
     * besides. Without a session, every update is pushed to a few proxies of the own zone and one of any zone.
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

    /** Peers for anti-entropy: mostly of the own zone, because traffic between zones has a cost. */
    private List<String> selectPeers() {
        List<String> sameZone = endpointDirectory.peerAddresses(true);
        if (!sameZone.isEmpty() && clock.random() * CROSS_ZONE_RECONCILE_ROUNDS > 1) {
            return sameZone;
        }
        List<String> peers = endpointDirectory.peerAddresses(false);
        peers.addAll(EndpointDirectory.controllerAddresses(gossip, settings));
        return peers;
    }

    // ---- retry allowance

    /** Leases retries of a service's allowance for later requests. */
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
                        // Counted from the request at the earliest, as the owner counts.
                        retryBudget.addLease(
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

    /** The number of the newest version known by gossip. */
    private long newestEpoch() {
        GossipStore.GossipEntry configurationEntry = gossip.get(GossipKeys.CONFIGURATION_KEY);
        return configurationEntry == null
                ? 0
                : configurationEntry.body().path("epoch").asLong();
    }

    /** Compares the version in force here with the decided one known by gossip, and acts on the difference. */
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
            // The commit is in progress; if its messages do not arrive, the decided version is fetched all the same.
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
        // Other controllers have the document where this session's does not; proxies of the own zone may be as far
        // behind as this one. Without a session all controllers may be down, and each silent one costs a time-out,
        // while a proxy without the document answers at once.
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
                                    "not the requested document");
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

    /** Takes the version mark of a received request: a caller that still tags with an older version gets an update. */
    public void onVersionMark(String callerNode, String versionMark) {
        if (callerNode == null || !shadowCommit.isTagOfOlderVersion(versionMark) || shadowCommit.isTagging()) {
            return;
        }
        EndpointDirectory.Proxy proxy = endpointDirectory.findProxy(callerNode);
        if (proxy != null && proxy.address != null && clock.nowMs() - proxy.lastUpdateSentMs > callTimeoutMs) {
            proxy.lastUpdateSentMs = clock.nowMs();
            gossip.reconcileWith(proxy.address);
        }
    }

    /** A peer rejected a request because of its version mark or route: one of the two may be behind. */
    public void onVersionMismatch() {
        if (controller() != null && !isFetching) {
            gossip.reconcileWith(controller());
        }
    }

    // ---- peers

    /** Checks a proxy that has not answered for some time; it is suspected where the ping fails. */
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
        if (gossip.handleRequest(kind, request, callback) || tenancy.handleRequest(kind, request, callback)) {
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
            case "status" -> callback.accept(describeStatus());
            default -> {
                log.logOnChange(Event.MESSAGE_DROPPED, kind, "kind", kind, "cause", "unknown");
                callback.accept(null);
            }
        }
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
                .put("sides", endpointDirectory.proxyCount());
        tenancy.describe(status);
        var servers = status.putArray("servers");
        admissions.serverIds().forEach(servers::add);
        if (shadowCommit.shadowConfiguration() != null) {
            status.put("shadow", shadowCommit.shadowConfiguration().epoch());
        }
        return status;
    }

    // ---- heartbeats and shutdown

    /** Takes a heartbeat of a sidecar's server; returns null where it is acknowledged, else its fault. */
    public String onHeartbeat(Heartbeat heartbeat) {
        return serverAdmission.onHeartbeat(heartbeat);
    }

    /**
     * Starts a graceful shutdown: not ready from now on, so that no new clients arrive, but other proxies may send
     * requests to its healthy servers for some more time, because only this proxy can reach them.
     */
    public void shutDownGracefully(long timeoutMs) {
        isShuttingDown = true;
        tenancy.beginShutdown();
        clock.schedule((long) (timeoutMs * SHUTDOWN_SERVING_SHARE), this::leave);
    }

    /** Whether this proxy has announced that it leaves; requests that still arrive are rejected. */
    public boolean hasLeft() {
        return hasLeft;
    }

    /** Whether answers wait that no controller has a copy of yet. */
    public boolean hasUncopiedAnswers() {
        return tenancy.hasUncopiedAnswers();
    }

    /** The controllers that keep copies of answers: the session's first, which is mostly in the own zone. */
    private List<String> answerControllers() {
        Set<String> ordered = new LinkedHashSet<>();
        if (hasSession()) {
            ordered.add(controller());
        }
        List<String> others = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings));
        others.sort(RendezvousHash.heaviestFirst(settings.peerAddress()));
        ordered.addAll(others);
        return List.copyOf(ordered);
    }

    /** Announces that this proxy leaves, and ends the session. */
    public void leave() {
        hasLeft = true;
        publishOwnEntry();
        controllerSession.close();
    }
}
