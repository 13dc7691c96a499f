package bramblespool.coordination.membership;

import bramblespool.coordination.configuration.ConfigurationFreshness;
import bramblespool.coordination.configuration.TermGuard;
import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.singleton.ClusterClock;
import bramblespool.coordination.singleton.UsageCodec;
import bramblespool.coordination.singleton.UsageCounter;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/** A side's session with one helm, by which it is a member: with the one of its zone, or with another while that is silent. */
public final class ControllerSession {
    /** Renewals without an answer before the side turns to another helm. */
    private static final int MAX_MISSED_RENEWALS = 2;
    /** How much sooner than at the next renewal a side without a session tries again, at first and in the end. */
    private static final int INITIAL_RETRY_DIVISOR = 12;

    private static final int FINAL_RETRY_DIVISOR = 3;
    /** After so many renewals elsewhere the helm of the own zone is tried again. */
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
    /** Numbers this side's sessions: the higher one holds. */
    private long sessionNumber;

    private int missedRenewals;
    private int renewalCount;
    private int rotationIndex;
    /** The home helm that was tried while the session was elsewhere: it is tried at once when first heard of. */
    private String lastLocalControllerTried;

    private boolean hasRaisedNumber;
    private boolean isRetryScheduled;
    private long retryDelayMs;

    /** What runs began here, where somebody wants to know; goes with each renewal. */
    private final UsageCounter usageCounter;

    private final ClusterClock clusterClock;
    private String usageReceiver;

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

    public boolean isOpen() {
        return isOpen;
    }

    /** The helm it has a session with, or seeks one with; null before the first. */
    public String controller() {
        return controller;
    }

    /** To be called once in each renewal. */
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

    public void close() {
        if (controller != null) {
            transport.call(controller, "session", newRequest(controller, sessionNumber, true), callTimeoutMs, a -> {});
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

    /** The helm of the own zone; where that is unknown or silent the others in turn, each side in an order of its own. */
    private void selectController() {
        String localController = localController();
        List<String> controllers = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings.get()));
        if (localController != null && !localController.equals(controller)) {
            lastLocalControllerTried = localController;
            controller = localController;
        } else if (!controllers.isEmpty()) {
            controllers.sort(Comparator.comparingLong(
                    h -> RendezvousHash.weight(settings.get().node(), h)));
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
     * Without a session nothing is known for sure: the next helm is asked soon, but less and less so, for helms that are
     * slow to answer are made slower by being asked.
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

    /** The helm has the sums as they were told, and says what time most have. */
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
            // An earlier process had a session of a higher number: above that it is taken at once.
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

    /** The helm here hears nothing of who leads, and may be cut off: another one is asked as well. */
    private void reconcileWithAnotherController() {
        List<String> others = new ArrayList<>(EndpointDirectory.controllerAddresses(gossip, settings.get()));
        others.remove(controller);
        if (!others.isEmpty()) {
            String other = others.get((int) (clock.random() * others.size()));
            gossip.reconcileWith(other, result -> freshness.onCompared(other, result));
        }
    }

    /** The session here goes on under its own number until the one at home stands. */
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
                        // It may stand there all the same, and lapse: the session here must outrank that.
                        sessionNumber = nextNumber + 1;
                    }
                });
    }
}
