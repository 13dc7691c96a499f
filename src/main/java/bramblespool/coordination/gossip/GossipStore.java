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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What every daemon knows of the others. Each item has one author, who orders its versions by (life, sequence);
 * the newest wins. A change is passed on at once, gathered with others that come close behind it; comparing digests
 * mends what was missed. The digest is a tree of two levels, so that a comparison costs what differs.
 */
public final class GossipStore {
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

    /** Whom an item came from. */
    public enum Source {
        LOCAL,
        PROXY,
        CONTROLLER
    }

    /** Whom a daemon tells of what it has just learned, and with whom it compares what it knows. */
    public interface GossipPeers {
        Collection<String> pushTargets(Source source);

        List<String> reconciliationPeers();

        /** Whether this daemon is a helm that lately heard from who leads: then its news is of late too. */
        default boolean hasRecentLeaderContact() {
            return false;
        }
    }

    /** What came of a comparison. */
    public enum ReconciliationResult {
        /** Nobody answered, or not to the end. */
        NO_ANSWER,
        /** Nothing is lacking here that the other knows, but the other may be behind. */
        RECONCILED,
        /** Nothing is lacking here that a helm in touch knows. */
        CURRENT
    }

    /** The kind of message that compares what two daemons know. */
    public static final String DIGEST = "digest";

    /** What one other daemon is still to be told. */
    private static final class Outbox {
        final Map<String, GossipEntry> pending = new LinkedHashMap<>();
        boolean isInFlight;
    }

    /** Leaves of the digest: with some hundreds of items few stand in one. */
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

    /** {@code gatherMs}: how long changes heard of are gathered before they are passed on; {@code cell}: in a helm. */
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

    /** Says which item this daemon itself authors, and what to do when an earlier life of it is heard of. */
    public void registerOwnKey(String key, Runnable onIncarnationRaised) {
        this.ownKey = key;
        this.onIncarnationRaised = onIncarnationRaised;
    }

    public void addListener(Consumer<GossipEntry> listener) {
        listeners.add(listener);
    }

    public long incarnation() {
        return incarnation;
    }

    /** Somebody remembers a life of this daemon that came after the present one: an earlier process had it. */
    public void raiseIncarnation(long knownIncarnation) {
        if (knownIncarnation > incarnation) {
            incarnation = knownIncarnation + 1;
            onIncarnationRaised.run();
        }
    }

    public GossipEntry get(String key) {
        return entries.get(key);
    }

    /** The items whose keys begin so. */
    public Collection<GossipEntry> entriesWithPrefix(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    public String rootHash() {
        return Long.toHexString(rootHash);
    }

    /** Publishes this daemon's own item. */
    public void publish(ObjectNode body) {
        apply(new GossipEntry(ownKey, incarnation, ++sequence, body), Source.LOCAL);
    }

    /** Publishes an item whose order is given from outside, such as the agreed log's. */
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
        if (targets.isEmpty()) {
            return;
        }
        for (String address : targets) {
            send(address, updates);
        }
    }

    /** Tells one daemon of these items, whoever else it may hear them from. */
    public void send(String address, Collection<GossipEntry> updates) {
        Outbox outbox = outboxes.computeIfAbsent(address, t -> new Outbox());
        updates.forEach(i -> outbox.pending.put(i.key, i));
        flush(address, outbox);
    }

    /**
     * One message is under way to each daemon; what comes meanwhile waits and goes as one, the newest of each item. So
     * whoever is slow gets fewer messages with more in each, and nothing piles up on the way to it.
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
        transport.call(address, "news", message, callTimeoutMs, answer -> {
            outbox.isInFlight = false;
            flush(address, outbox);
        });
    }

    private ObjectNode newMessage() {
        return JsonNodeFactory.instance.objectNode().put("cell", isController);
    }

    /** One round of mending with somebody chosen by chance. */
    public void reconcile() {
        List<String> candidates = peers.reconciliationPeers();
        if (!candidates.isEmpty()) {
            reconcileWith(candidates.get((int) (clock.random() * candidates.size())));
        }
    }

    /** Compares digests with one daemon and exchanges what either lacks. */
    public void reconcileWith(String address) {
        reconcileWith(address, x -> {});
    }

    /** Compares, and says what came of it once what was lacking has been taken. */
    public void reconcileWith(String address, Consumer<ReconciliationResult> callback) {
        ObjectNode request = newMessage().put("hash", rootHash());
        ArrayNode hashes = request.putArray("branches");
        for (long h : bucketHashes) {
            hashes.add(shortHash(h));
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
            for (Iterator<Map.Entry<String, JsonNode>> remoteEntries = remoteDigest.fields();
                    remoteEntries.hasNext(); ) {
                Map.Entry<String, JsonNode> remoteEntry = remoteEntries.next();
                if (versionOnly(remoteEntry.getKey(), remoteEntry.getValue())
                        .isNewerThan(entries.get(remoteEntry.getKey()))) {
                    wanted.add(remoteEntry.getKey());
                }
            }
            if (!toSend.isEmpty() || !wanted.isEmpty()) {
                transport.call(address, "news", reply, callTimeoutMs, returned -> {
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

    public boolean serve(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        if (kind.equals("news")) {
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
