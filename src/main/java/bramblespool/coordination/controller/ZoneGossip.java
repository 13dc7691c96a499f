package bramblespool.coordination.controller;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipPeers;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.coordination.membership.EndpointDirectory;
import bramblespool.coordination.traffic.OverloadDetector;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A zone controller's gossip: its store, its own entry, and who gets what. A controller passes everything on to the
 * proxies with sessions here; what did not come from a controller goes to the other controllers as well, so that
 * whoever learns a thing first tells the other zones. An overloaded controller lets anti-entropy wait. Confined to the
 * event loop.
 */
final class ZoneGossip implements GossipPeers {
    /** Ratio to {@code drain} of the time for which received updates are gathered before they are passed on. */
    private static final int GOSSIP_BATCH_DIVISOR = 100;
    /** In this share of its rounds, anti-entropy goes to another controller rather than to a proxy. */
    private static final double CONTROLLER_RECONCILE_SHARE = 0.5;

    private final LocalController local;
    private final Clock clock;
    private final Supplier<List<String>> sessionAddresses;
    private final LeaderContact leaderContact;
    private final OverloadDetector overloadDetector;
    private final GossipStore store;
    private boolean isAnnouncedAsVoter;

    /** @param sessionAddresses peer addresses of the proxies with an open session here, in a new list each time */
    ZoneGossip(
            ControllerContext context,
            Supplier<List<String>> sessionAddresses,
            LeaderContact leaderContact,
            OverloadDetector overloadDetector) {
        this.local = context.local();
        this.clock = context.clock();
        this.sessionAddresses = sessionAddresses;
        this.leaderContact = leaderContact;
        this.overloadDetector = overloadDetector;
        this.store = new GossipStore(
                clock,
                context.transport(),
                context.callTimeoutMs(),
                local.settings().bounds().drainMs() / GOSSIP_BATCH_DIVISOR,
                true,
                this);
        store.registerOwnKey(GossipKeys.CONTROLLER_KEY_PREFIX + local.settings().node(), this::publishSelf);
    }

    GossipStore store() {
        return store;
    }

    @Override
    public List<String> pushTargets(GossipStore.Source source) {
        List<String> targets = sessionAddresses.get();
        if (source != GossipStore.Source.CONTROLLER) {
            targets.addAll(otherControllers());
        }
        return targets;
    }

    @Override
    public List<String> reconciliationPeers() {
        List<String> proxies = sessionAddresses.get();
        return proxies.isEmpty() || clock.random() < CONTROLLER_RECONCILE_SHARE
                ? List.copyOf(otherControllers())
                : proxies;
    }

    @Override
    public boolean hasRecentLeaderContact() {
        return leaderContact.isRecent();
    }

    /** The other controllers' peer addresses, those of other zones first, then in an order of this one's own. */
    List<String> otherControllersByPreference() {
        Set<String> sameZone = new HashSet<>();
        for (GossipStore.GossipEntry entry : store.entriesWithPrefix(GossipKeys.CONTROLLER_KEY_PREFIX)) {
            if (GossipPayloadCodec.decodeZone(entry.body())
                    .equals(local.settings().zone())) {
                sameZone.add(GossipPayloadCodec.decodePeerAddress(entry.body()));
            }
        }
        List<String> ordered = new ArrayList<>(otherControllers());
        ordered.sort(Comparator.comparing((String address) -> sameZone.contains(address))
                .thenComparing(RendezvousHash.heaviestFirst(local.peerAddress())));
        return ordered;
    }

    /** The peer addresses of the other controllers, as far as gossip and the settings name them. */
    Set<String> otherControllers() {
        Set<String> controllers = EndpointDirectory.controllerAddresses(store, local.settings());
        controllers.remove(local.peerAddress());
        return controllers;
    }

    /** Whether all of these controllers have announced that they know of token buckets that proxies hold. */
    boolean allLendBuckets(Collection<String> peerAddresses) {
        Set<String> lending = new HashSet<>();
        for (GossipStore.GossipEntry entry : store.entriesWithPrefix(GossipKeys.CONTROLLER_KEY_PREFIX)) {
            if (GossipPayloadCodec.decodeLendsBuckets(entry.body())) {
                lending.add(GossipPayloadCodec.decodePeerAddress(entry.body()));
            }
        }
        return lending.containsAll(peerAddresses);
    }

    /** Publishes this controller's own entry. */
    void publishSelf() {
        isAnnouncedAsVoter = local.isVoter();
        store.publish(GossipPayloadCodec.encodeController(local.settings(), local.isLeaving(), isAnnouncedAsVoter));
    }

    /** Publishes this controller's own entry once more where the last one says otherwise of its vote. */
    void publishVoterChange() {
        if (isAnnouncedAsVoter != local.isVoter()) {
            publishSelf();
        }
    }

    /** One round of anti-entropy with a peer chosen at random. */
    void reconcile() {
        if (!overloadDetector.isOverloaded()) {
            store.reconcile();
        }
    }

    /** Serves the messages of gossip; false where the kind is another's. */
    boolean handleRequest(String kind, JsonNode body, Consumer<ObjectNode> callback) {
        if (overloadDetector.isOverloaded() && kind.equals(GossipStore.DIGEST)) {
            // The peer will ask again; the messages that wait behind this one cannot.
            callback.accept(null);
            return true;
        }
        return store.handleRequest(kind, body, callback);
    }
}
