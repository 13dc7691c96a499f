package bramblespool.coordination.membership;

import bramblespool.coordination.configuration.ConfigurationFreshness;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.singleton.UsageCodec;
import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * A proxy's session with one controller, which makes it a member: with the controller of its own zone, or with another
 * one while that does not answer. Also carries usage counts to the controller and the cluster's time back. Confined to
 * the event loop.
 */
public final class ControllerSession {
    /** Consecutive renewals without an answer after which another controller is selected. */
    private static final int MAX_MISSED_RENEWALS = 2;
    /** First delay of the backoff without a session, as a divisor of the renewal interval. */
    private static final int INITIAL_RETRY_DIVISOR = 12;
    /** Longest delay of that backoff, as a divisor of the renewal interval. */
    private static final int FINAL_RETRY_DIVISOR = 3;
    /** Renewals with a controller of another zone after which the own zone's is tried again. */
    private static final int LOCAL_ZONE_RETRY_RENEWALS = 10;

    private final Supplier<Settings> settings;
    private final GossipStore gossip;
    private final TermGuard termGuard;
    private final ConfigurationFreshness freshness;
    private final Clock clock;
    private final PeerTransport transport;
    private final long callTimeoutMs;
    private final long renewalIntervalMs;
    private final EventLog log;
    private String controller;
    private boolean isOpen;
    /** Numbers this proxy's sessions: the session with the highest number is valid. */
    private long sessionNumber;

    private int missedRenewals;
    private int renewalCount;
    private int rotationIndex;
    /** The own zone's controller as last tried; a new one is tried as soon as it is known. */
    private String lastLocalControllerTried;

    private boolean hasRaisedNumber;
    private boolean isRetryScheduled;
    private long retryDelayMs;

    /** Counts of executed requests, sent with each renewal; null without usage reporting. */
    private final UsageCounter usageCounter;

    private final ClusterClock clusterClock;
    private String usageReceiver;

    /**
     * @param usageCounter null where usage reporting is off
     * @param callTimeoutMs time-out of a call to a controller
     */
    public ControllerSession(
            Supplier<Settings> settings,
            GossipStore gossip,
            TermGuard termGuard,
            ConfigurationFreshness freshness,
            UsageCounter usageCounter,
            ClusterClock clusterClock,
            Clock clock,
            PeerTransport transport,
            long callTimeoutMs,
            long renewalIntervalMs,
            EventLog log) {
        this.settings = settings;
        this.gossip = gossip;
        this.termGuard = termGuard;
        this.freshness = freshness;
        this.usageCounter = usageCounter;
        this.clusterClock = clusterClock;
        this.clock = clock;
        this.transport = transport;
        this.callTimeoutMs = callTimeoutMs;
        this.renewalIntervalMs = renewalIntervalMs;
        this.log = log;
    }

    /** Whether a controller has confirmed the session and not missed the last renewals. */
    public boolean isOpen() {
        return isOpen;
    }

    /** The peer address of the controller with which a session is open or being opened; null before the first. */
    public String controller() {
        return controller;
    }

    /** Renews the session or opens one; to be called once in each renewal interval. */
    public void renew() {
        if (controller == null || missedRenewals >= MAX_MISSED_RENEWALS) {
            if (isOpen) {
                log.log(Event.SESSION_LOST, "controller", controller);
                isOpen = false;
            }
            selectController();
        } else {
            renewalCount++;
            String localController = localController();
            if (localController != null
                    && !localController.equals(controller)
                    && (!localController.equals(lastLocalControllerTried)
                            || renewalCount % LOCAL_ZONE_RETRY_RENEWALS == 0
                            || !isOpen)) {
                lastLocalControllerTried = localController;
                tryLocalController(localController);
            }
        }
        if (controller != null) {
            sendRenewal();
        }
    }

    /** Tells the controller that this proxy leaves; best effort. */
    public void close() {
        if (controller != null) {
            transport.call(
                    controller, "session", newRequest(controller, sessionNumber, true), callTimeoutMs, response -> {});
        }
    }

    private String localController() {
        for (GossipStore.GossipEntry entry : gossip.entriesWithPrefix(GossipKeys.CONTROLLER_KEY_PREFIX)) {
            if (!entry.body().path("gone").asBoolean()
                    && entry.body().path("zone").asText().equals(settings.get().zone())) {
                return entry.body().path("peer").asText();
            }
        }
        return null;
    }

    /**
     * The own zone's controller, or where it is unknown or silent the others in turn, in an order that differs by
     * proxy.
     */
    private void selectController() {
        String localController = localController();
        List<String> controllers = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings.get()));
        if (localController != null && !localController.equals(controller)) {
            lastLocalControllerTried = localController;
            controller = localController;
        } else if (!controllers.isEmpty()) {
            controllers.sort(RendezvousHash.heaviestFirst(settings.get().node()).reversed());
            controller = controllers.get(rotationIndex++ % controllers.size());
        }
        sessionNumber++;
        missedRenewals = 0;
        renewalCount = 0;
    }

    private void sendRenewal() {
        String address = controller;
        long sentAtMs = clock.nowMs();
        transport.call(address, "session", newRequest(address, sessionNumber, false), callTimeoutMs, response -> {
            if (response != null) {
                onUsageAcknowledged(address, sentAtMs, response);
            } else {
                freshness.onUnavailable(address);
            }
            if (!address.equals(controller)) {
                return;
            }
            if (response != null) {
                onResponse(response);
                return;
            }
            missedRenewals++;
            if (isOpen && missedRenewals >= MAX_MISSED_RENEWALS) {
                renew();
            } else if (!isOpen) {
                missedRenewals = MAX_MISSED_RENEWALS;
                scheduleRetry();
            }
        });
    }

    /**
     * Without a session the next controller is tried soon, with exponential backoff and jitter: controllers that answer
     * slowly would be slowed further by frequent attempts.
     */
    private void scheduleRetry() {
        if (isRetryScheduled) {
            return;
        }
        isRetryScheduled = true;
        retryDelayMs = Math.min(
                renewalIntervalMs / FINAL_RETRY_DIVISOR,
                Math.max(renewalIntervalMs / INITIAL_RETRY_DIVISOR, retryDelayMs * 2));
        clock.schedule((long) (retryDelayMs * (0.5 + clock.random())), () -> {
            isRetryScheduled = false;
            if (!isOpen) {
                renew();
            }
        });
    }

    private ObjectNode newRequest(String address, long requestedNumber, boolean isClosing) {
        ObjectNode request = JsonNodeFactory.instance
                .objectNode()
                .put("node", settings.get().node())
                .put("peer", settings.get().peerAddress())
                .put("life", gossip.incarnation())
                .put("n", requestedNumber)
                .put("hash", gossip.rootHash())
                .put("end", isClosing);
        if (usageCounter != null) {
            if (!address.equals(usageReceiver)) {
                usageCounter.resetAcknowledged();
            }
            request.set("usage", UsageCodec.encodeUpdate(usageCounter.collectUnacknowledged()));
        }
        return request;
    }

    /** The controller has taken the usage counts as sent, and returns the cluster's time. */
    private void onUsageAcknowledged(String address, long sentAtMs, JsonNode response) {
        if (usageCounter == null) {
            return;
        }
        UsageCodec.readReceipt(response).ifPresent(receipt -> {
            usageReceiver = address;
            usageCounter.acknowledge(receipt.change());
            clusterClock.setOffset(clusterClock.offsetOf(receipt.timeMs(), clock.nowMs() - sentAtMs));
        });
    }

    private void onResponse(JsonNode response) {
        missedRenewals = 0;
        retryDelayMs = 0;
        if (!response.path("ok").asBoolean()) {
            sessionNumber = Math.max(sessionNumber, response.path("n").asLong()) + 1;
            gossip.raiseIncarnation(response.path("life").asLong());
            // An earlier process had a session of a higher number: a number above that is accepted at once.
            if (!hasRaisedNumber) {
                hasRaisedNumber = true;
                sendRenewal();
            }
            return;
        }
        hasRaisedNumber = false;
        if (!isOpen) {
            isOpen = true;
            log.log(Event.SESSION_OPENED, "controller", controller);
        }
        termGuard.observeTerm(response.path("term").asLong());
        boolean hasLeaderContact = response.path("touch").asBoolean(true);
        String address = controller;
        if (!response.path("same").asBoolean()) {
            gossip.reconcileWith(address, result -> freshness.onCompared(address, result));
        } else {
            freshness.onCompared(
                    address,
                    hasLeaderContact
                            ? GossipStore.ReconciliationResult.CURRENT
                            : GossipStore.ReconciliationResult.RECONCILED);
        }
        if (!hasLeaderContact) {
            freshness.onUnavailable(address);
            reconcileWithAnotherController();
        }
    }

    /** This controller has no contact with the leader and may be partitioned: another one is asked as well. */
    private void reconcileWithAnotherController() {
        List<String> others = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings.get()));
        others.remove(controller);
        if (!others.isEmpty()) {
            String other = others.get((int) (clock.random() * others.size()));
            gossip.reconcileWith(other, result -> freshness.onCompared(other, result));
        }
    }

    /**
     * Opens a session with the own zone's controller; the present one continues under its number until that succeeds.
     */
    private void tryLocalController(String localController) {
        long nextNumber = sessionNumber + 1;
        String previousController = controller;
        transport.call(
                localController, "session", newRequest(localController, nextNumber, false), callTimeoutMs, response -> {
                    if (!previousController.equals(controller) || sessionNumber >= nextNumber) {
                        return;
                    }
                    if (response != null && response.path("ok").asBoolean()) {
                        sessionNumber = nextNumber;
                        controller = localController;
                        onResponse(response);
                    } else {
                        // It may have been opened all the same and will expire: the present session needs a higher
                        // number.
                        sessionNumber = nextNumber + 1;
                    }
                });
    }
}
