package bramblespool.coordination.gossip;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The eventually consistent table of entries that every process has of the others. Each entry has one author, who
 * orders its versions by (incarnation, sequence); the newest wins. An update is forwarded soon after it arrives,
 * batched with others that arrive shortly after it; anti-entropy (comparison of digests) repairs what was lost. The
 * digest is a hash tree of two levels, so that a comparison costs as much as there is difference.
 *
 * <p>Confined to the event loop.
 */
public final class GossipStore {
    /**
     * A version of an entry.
     *
     * @param incarnation raised by the author above each run of its process that others remember; compared first
     * @param sequence raised by the author with each update within an incarnation
     * @param body the content; null where only the version matters
     */
    public record GossipEntry(String key, long incarnation, long sequence, JsonNode body) {
        boolean isNewerThan(GossipEntry other) {
            return other == null
                    || incarnation > other.incarnation
                    || incarnation == other.incarnation && sequence > other.sequence;
        }

        long versionHash() {
            return RendezvousHash.mix(key.hashCode() * 0x9E3779B97F4A7C15L
                    ^ incarnation * 0xC2B2AE3D27D4EB4FL
                    ^ sequence * 0x165667B19E3779F9L);
        }

        int digestBucket() {
            return (key.hashCode() * 0x9E3779B1 >>> 16) % DIGEST_BUCKETS;
        }
    }

    /** Where an update came from. */
    public enum Source {
        /** Published by this process. */
        LOCAL,
        /** Received from a sidecar or gateway. */
        PROXY,
        /** Received from a controller. */
        CONTROLLER
    }

    /** Outcome of a comparison of digests. */
    public enum ReconciliationResult {
        /** The peer did not answer, or not to the end. */
        NO_ANSWER,
        /** This process has everything that the peer has, but the peer may be behind. */
        RECONCILED,
        /** This process has everything that a controller in recent contact with the leader has. */
        CURRENT
    }

    /** Kind of the peer message that compares digests. */
    public static final String DIGEST = "digest";

    /** Kind of the peer message that carries entries; the name is that of 0.4.0. */
    private static final String UPDATES = "news";

    /** Updates that are still to be sent to one peer: the newest version of each entry. */
    private static final class Outbox {
        final Map<String, GossipEntry> pending = new LinkedHashMap<>();
        boolean isInFlight;
    }

    /** Leaves of the hash tree: with some hundreds of entries each holds few. */
    private static final int DIGEST_BUCKETS = 32;

    private final Clock clock;
    private final PeerTransport transport;
    private final long callTimeoutMs;
    private final long batchDelayMs;
    private final boolean isController;
    private final GossipPeers peers;
    private final TreeMap<String, GossipEntry> entries = new TreeMap<>();
    private final long[] bucketHashes = new long[DIGEST_BUCKETS];
    private final List<Consumer<GossipEntry>> listeners = new ArrayList<>();
    private final Map<Source, Map<String, GossipEntry>> unsentBySource = new EnumMap<>(Source.class);
    private final Map<String, Outbox> outboxes = new HashMap<>();
    private String ownKey;
    private long incarnation = 1;
    private long sequence;
    private long rootHash;
    private Runnable onIncarnationRaised = () -> {};

    /**
     * @param batchDelayMs how long received updates are collected before they are forwarded
     * @param isController whether this process is a controller
     */
    public GossipStore(
            Clock clock,
            PeerTransport transport,
            long callTimeoutMs,
            long batchDelayMs,
            boolean isController,
            GossipPeers peers) {
        this.clock = clock;
        this.transport = transport;
        this.callTimeoutMs = callTimeoutMs;
        this.batchDelayMs = batchDelayMs;
        this.isController = isController;
        this.peers = peers;
    }

    /**
     * Sets the key of the entry that this process authors.
     *
     * @param onIncarnationRaised runs when an earlier incarnation of this process was found in an update, so that the
     *     entry has to be published again
     */
    public void registerOwnKey(String key, Runnable onIncarnationRaised) {
        this.ownKey = key;
        this.onIncarnationRaised = onIncarnationRaised;
    }

    /** Adds a listener that is called with each new version of an entry, this process's own updates included. */
    public void addListener(Consumer<GossipEntry> listener) {
        listeners.add(listener);
    }

    /** This process's incarnation, at least 1. */
    public long incarnation() {
        return incarnation;
    }

    /** Raises the incarnation above one that a peer remembers: an earlier process under this name had it. */
    public void raiseIncarnation(long knownIncarnation) {
        if (knownIncarnation > incarnation) {
            incarnation = knownIncarnation + 1;
            onIncarnationRaised.run();
        }
    }

    /** The newest known version, or null. */
    public GossipEntry get(String key) {
        return entries.get(key);
    }

    /** A live view of the entries whose keys have the prefix, ordered by key. */
    public Collection<GossipEntry> entriesWithPrefix(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    /** The digest of all entries, in hexadecimal; equal digests mean equal contents. */
    public String rootHash() {
        return Long.toHexString(rootHash);
    }

    /** Publishes a new version of this process's own entry. */
    public void publish(ObjectNode body) {
        apply(new GossipEntry(ownKey, incarnation, ++sequence, body), Source.LOCAL);
    }

    /** Publishes an entry whose version is determined elsewhere, such as by its position in the replicated log. */
    public void publish(String key, long entryIncarnation, long entrySequence, ObjectNode body) {
        apply(new GossipEntry(key, entryIncarnation, entrySequence, body), Source.LOCAL);
    }

    private void apply(GossipEntry entry, Source source) {
        GossipEntry previous = entries.get(entry.key);
        if (!entry.isNewerThan(previous)) {
            return;
        }
        entries.put(entry.key, entry);
        long change = (previous == null ? 0 : previous.versionHash()) ^ entry.versionHash();
        rootHash ^= change;
        bucketHashes[entry.digestBucket()] ^= change;
        Map<String, GossipEntry> unsent = unsentBySource.computeIfAbsent(source, s -> new LinkedHashMap<>());
        if (unsent.isEmpty()) {
            clock.schedule(source == Source.LOCAL ? 0 : batchDelayMs, () -> forward(source));
        }
        unsent.put(entry.key, entry);
        for (Consumer<GossipEntry> listener : listeners) {
            listener.accept(entry);
        }
    }

    private void forward(Source source) {
        List<GossipEntry> updates = List.copyOf(unsentBySource.get(source).values());
        unsentBySource.get(source).clear();
        Set<String> targets = new LinkedHashSet<>(peers.pushTargets(source));
        targets.forEach(address -> send(address, updates));
    }

    /** Sends these entries to one peer, whether or not others send them too. */
    public void send(String address, Collection<GossipEntry> updates) {
        Outbox outbox = outboxes.computeIfAbsent(address, t -> new Outbox());
        updates.forEach(entry -> outbox.pending.put(entry.key, entry));
        flush(address, outbox);
    }

    /**
     * At most one message is in flight to each peer; updates that arrive meanwhile are sent as one batch afterwards,
     * the newest version of each entry. A slow peer gets fewer and larger messages, and no backlog builds up.
     */
    private void flush(String address, Outbox outbox) {
        if (outbox.isInFlight) {
            return;
        }
        if (outbox.pending.isEmpty()) {
            outboxes.remove(address);
            return;
        }
        ObjectNode message = newMessage();
        writeEntries(message, outbox.pending.values());
        outbox.pending.clear();
        outbox.isInFlight = true;
        transport.call(address, UPDATES, message, callTimeoutMs, answer -> {
            outbox.isInFlight = false;
            flush(address, outbox);
        });
    }

    private ObjectNode newMessage() {
        return JsonNodeFactory.instance.objectNode().put("cell", isController);
    }

    /** One round of anti-entropy with a peer drawn at random. */
    public void reconcile() {
        List<String> candidates = peers.reconciliationPeers();
        if (!candidates.isEmpty()) {
            reconcileWith(candidates.get((int) (clock.random() * candidates.size())));
        }
    }

    /** Compares digests with one peer and exchanges the entries that either lacks. */
    public void reconcileWith(String address) {
        reconcileWith(address, result -> {});
    }

    /** Compares digests; the callback runs exactly once, after the missing entries have been merged. */
    public void reconcileWith(String address, Consumer<ReconciliationResult> callback) {
        ObjectNode request = newMessage().put("hash", rootHash());
        ArrayNode hashes = request.putArray("branches");
        for (long bucketHash : bucketHashes) {
            hashes.add(shortHash(bucketHash));
        }
        transport.call(address, DIGEST, request, callTimeoutMs, response -> {
            if (response == null) {
                callback.accept(ReconciliationResult.NO_ANSWER);
                return;
            }
            ReconciliationResult result =
                    response.path("touch").asBoolean() ? ReconciliationResult.CURRENT : ReconciliationResult.RECONCILED;
            if (response.path("same").asBoolean()) {
                callback.accept(result);
                return;
            }
            boolean[] isDifferent = new boolean[DIGEST_BUCKETS];
            response.path("open").forEach(n -> isDifferent[Math.floorMod(n.asInt(), DIGEST_BUCKETS)] = true);
            JsonNode remoteDigest = response.path("digest");
            List<GossipEntry> toSend = new ArrayList<>();
            for (GossipEntry entry : entries.values()) {
                JsonNode remoteVersion = remoteDigest.path(entry.key);
                if (isDifferent[entry.digestBucket()]
                        && (!remoteVersion.isArray() || entry.isNewerThan(versionOnly(entry.key, remoteVersion)))) {
                    toSend.add(entry);
                }
            }
            ObjectNode reply = newMessage();
            writeEntries(reply, toSend);
            ArrayNode wanted = reply.putArray("want");
            remoteDigest.fields().forEachRemaining(remote -> {
                if (versionOnly(remote.getKey(), remote.getValue()).isNewerThan(entries.get(remote.getKey()))) {
                    wanted.add(remote.getKey());
                }
            });
            if (!toSend.isEmpty() || !wanted.isEmpty()) {
                transport.call(address, UPDATES, reply, callTimeoutMs, returned -> {
                    if (returned != null) {
                        merge(returned);
                    }
                    callback.accept(returned == null ? ReconciliationResult.NO_ANSWER : result);
                });
            } else {
                callback.accept(result);
            }
        });
    }

    private static String shortHash(long hash) {
        return Integer.toHexString((int) (hash ^ hash >>> 32));
    }

    private static GossipEntry versionOnly(String key, JsonNode version) {
        return new GossipEntry(key, version.path(0).asLong(), version.path(1).asLong(), null);
    }

    private static void writeEntries(ObjectNode message, Collection<GossipEntry> updates) {
        var array = message.putArray("items");
        for (GossipEntry entry : updates) {
            array.addObject()
                    .put("key", entry.key)
                    .put("life", entry.incarnation)
                    .put("seq", entry.sequence)
                    .set("body", entry.body);
        }
    }

    /**
     * Applies the entries of a message. An entry about this process from an earlier incarnation raises the incarnation
     * and is otherwise ignored.
     */
    public void merge(JsonNode message) {
        Source source = message.path("cell").asBoolean() ? Source.CONTROLLER : Source.PROXY;
        for (JsonNode node : message.path("items")) {
            GossipEntry entry = new GossipEntry(
                    node.path("key").asText(),
                    node.path("life").asLong(),
                    node.path("seq").asLong(),
                    node.path("body"));
            if (entry.key.isEmpty() || !entry.body.isObject()) {
                continue;
            }
            if (entry.key.equals(ownKey)) {
                GossipEntry ownEntry = entries.get(ownKey);
                if (entry.incarnation > incarnation
                        || entry.incarnation == incarnation && (ownEntry == null || entry.isNewerThan(ownEntry))) {
                    incarnation = entry.incarnation + 1;
                    onIncarnationRaised.run();
                }
                continue;
            }
            apply(entry, source);
        }
    }

    /**
     * Answers a peer message of gossip; returns false, without a call of the callback, where the kind is not of gossip.
     */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (kind.equals(UPDATES)) {
            merge(request);
            ObjectNode response = newMessage();
            List<GossipEntry> wanted = new ArrayList<>();
            for (JsonNode key : request.path("want")) {
                GossipEntry entry = entries.get(key.asText());
                if (entry != null) {
                    wanted.add(entry);
                }
            }
            if (!wanted.isEmpty()) {
                writeEntries(response, wanted);
            }
            callback.accept(response);
            return true;
        }
        if (!kind.equals(DIGEST)) {
            return false;
        }
        ObjectNode response = newMessage();
        if (peers.hasRecentLeaderContact()) {
            response.put("touch", true);
        }
        if (rootHash().equals(request.path("hash").asText())) {
            callback.accept(response.put("same", true));
            return true;
        }
        ArrayNode openBuckets = response.putArray("open");
        ObjectNode digest = response.putObject("digest");
        boolean[] isDifferent = new boolean[DIGEST_BUCKETS];
        for (int bucket = 0; bucket < DIGEST_BUCKETS; bucket++) {
            isDifferent[bucket] = !shortHash(bucketHashes[bucket])
                    .equals(request.path("branches").path(bucket).asText());
            if (isDifferent[bucket]) {
                openBuckets.add(bucket);
            }
        }
        for (GossipEntry entry : entries.values()) {
            if (isDifferent[entry.digestBucket()]) {
                digest.putArray(entry.key).add(entry.incarnation).add(entry.sequence);
            }
        }
        callback.accept(response);
        return true;
    }
}
