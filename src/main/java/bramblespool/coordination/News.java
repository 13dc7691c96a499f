package bramblespool.coordination;

import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
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
public final class News {
    public record Item(String key, long life, long seq, JsonNode body) {
        boolean newerThan(Item o) {
            return o == null || life > o.life || life == o.life && seq > o.seq;
        }

        long hash() {
            return Rendezvous.mix(
                    key.hashCode() * 0x9E3779B97F4A7C15L ^ life * 0xC2B2AE3D27D4EB4FL ^ seq * 0x165667B19E3779F9L);
        }

        int branch() {
            return (key.hashCode() * 0x9E3779B1 >>> 16) % BRANCHES;
        }
    }

    /** Whom an item came from. */
    public enum Source {
        OWN,
        SIDE,
        CELL
    }

    /** Whom a daemon tells of what it has just learned, and with whom it compares what it knows. */
    public interface Circle {
        Collection<String> tell(Source from);

        List<String> compare();

        /** Whether this daemon is a helm that lately heard from who leads: then its news is of late too. */
        default boolean inTouch() {
            return false;
        }
    }

    /** What came of a comparison. */
    public enum Compared {
        /** Nobody answered, or not to the end. */
        SILENT,
        /** Nothing is lacking here that the other knows, but the other may be behind. */
        DONE,
        /** Nothing is lacking here that a helm in touch knows. */
        IN_TOUCH
    }

    /** The kind of message that compares what two daemons know. */
    static final String DIGEST = "digest";

    /** What one other daemon is still to be told. */
    private static final class Outbox {
        final Map<String, Item> waiting = new LinkedHashMap<>();
        boolean busy;
    }

    /** Leaves of the digest: with some hundreds of items few stand in one. */
    private static final int BRANCHES = 32;

    private final Clock clock;
    private final Wire wire;
    private final long callMs;
    private final long gatherMs;
    private final boolean cell;
    private final Circle circle;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final long[] branches = new long[BRANCHES];
    private final List<Consumer<Item>> listeners = new ArrayList<>();
    private final Map<Source, Map<String, Item>> fresh = new EnumMap<>(Source.class);
    private final Map<String, Outbox> outboxes = new HashMap<>();
    private String author;
    private long life = 1;
    private long seq;
    private long hash;
    private Runnable outlived = () -> {};

    /** {@code gatherMs}: how long changes heard of are gathered before they are passed on; {@code cell}: in a helm. */
    public News(Clock clock, Wire wire, long callMs, long gatherMs, boolean cell, Circle circle) {
        this.clock = clock;
        this.wire = wire;
        this.callMs = callMs;
        this.gatherMs = gatherMs;
        this.cell = cell;
        this.circle = circle;
    }

    /** Says which item this daemon itself authors, and what to do when an earlier life of it is heard of. */
    public void author(String key, Runnable retell) {
        this.author = key;
        this.outlived = retell;
    }

    public void listen(Consumer<Item> listener) {
        listeners.add(listener);
    }

    public long life() {
        return life;
    }

    /** Somebody remembers a life of this daemon that came after the present one: an earlier process had it. */
    public void raise(long known) {
        if (known > life) {
            life = known + 1;
            outlived.run();
        }
    }

    public Item get(String key) {
        return items.get(key);
    }

    /** The items whose keys begin so. */
    public Collection<Item> under(String prefix) {
        return items.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    public String hash() {
        return Long.toHexString(hash);
    }

    /** Publishes this daemon's own item. */
    public void tell(ObjectNode body) {
        take(new Item(author, life, ++seq, body), Source.OWN);
    }

    /** Publishes an item whose order is given from outside, such as the agreed log's. */
    public void tell(String key, long itemLife, long itemSeq, ObjectNode body) {
        take(new Item(key, itemLife, itemSeq, body), Source.OWN);
    }

    private void take(Item i, Source from) {
        Item old = items.get(i.key);
        if (!i.newerThan(old)) {
            return;
        }
        items.put(i.key, i);
        long change = (old == null ? 0 : old.hash()) ^ i.hash();
        hash ^= change;
        branches[i.branch()] ^= change;
        Map<String, Item> of = fresh.computeIfAbsent(from, s -> new LinkedHashMap<>());
        if (of.isEmpty()) {
            clock.after(from == Source.OWN ? 0 : gatherMs, () -> spread(from));
        }
        of.put(i.key, i);
        for (Consumer<Item> l : listeners) {
            l.accept(i);
        }
    }

    private void spread(Source from) {
        List<Item> now = List.copyOf(fresh.get(from).values());
        fresh.get(from).clear();
        Set<String> told = new LinkedHashSet<>(circle.tell(from));
        if (told.isEmpty()) {
            return;
        }
        for (String to : told) {
            pass(to, now);
        }
    }

    /** Tells one daemon of these items, whoever else it may hear them from. */
    public void pass(String to, Collection<Item> some) {
        Outbox box = outboxes.computeIfAbsent(to, t -> new Outbox());
        some.forEach(i -> box.waiting.put(i.key, i));
        flush(to, box);
    }

    /**
     * One message is under way to each daemon; what comes meanwhile waits and goes as one, the newest of each item. So
     * whoever is slow gets fewer messages with more in each, and nothing piles up on the way to it.
     */
    private void flush(String to, Outbox box) {
        if (box.busy) {
            return;
        }
        if (box.waiting.isEmpty()) {
            outboxes.remove(to);
            return;
        }
        ObjectNode m = message();
        write(m, box.waiting.values());
        box.waiting.clear();
        box.busy = true;
        wire.call(to, "news", m, callMs, a -> {
            box.busy = false;
            flush(to, box);
        });
    }

    private ObjectNode message() {
        return JsonNodeFactory.instance.objectNode().put("cell", cell);
    }

    /** One round of mending with somebody chosen by chance. */
    public void mend() {
        List<String> all = circle.compare();
        if (!all.isEmpty()) {
            compare(all.get((int) (clock.chance() * all.size())));
        }
    }

    /** Compares digests with one daemon and exchanges what either lacks. */
    public void compare(String to) {
        compare(to, x -> {});
    }

    /** Compares, and says what came of it once what was lacking has been taken. */
    public void compare(String to, Consumer<Compared> done) {
        ObjectNode m = message().put("hash", hash());
        ArrayNode b = m.putArray("branches");
        for (long h : branches) {
            b.add(brief(h));
        }
        wire.call(to, DIGEST, m, callMs, a -> {
            if (a == null) {
                done.accept(Compared.SILENT);
                return;
            }
            Compared whole = a.path("touch").asBoolean() ? Compared.IN_TOUCH : Compared.DONE;
            if (a.path("same").asBoolean()) {
                done.accept(whole);
                return;
            }
            boolean[] open = new boolean[BRANCHES];
            a.path("open").forEach(n -> open[Math.floorMod(n.asInt(), BRANCHES)] = true);
            JsonNode theirs = a.path("digest");
            List<Item> give = new ArrayList<>();
            for (Item i : items.values()) {
                JsonNode t = theirs.path(i.key);
                if (open[i.branch()] && (!t.isArray() || i.newerThan(stub(i.key, t)))) {
                    give.add(i);
                }
            }
            ObjectNode answer = message();
            write(answer, give);
            ArrayNode want = answer.putArray("want");
            for (Iterator<Map.Entry<String, JsonNode>> f = theirs.fields(); f.hasNext(); ) {
                Map.Entry<String, JsonNode> e = f.next();
                if (stub(e.getKey(), e.getValue()).newerThan(items.get(e.getKey()))) {
                    want.add(e.getKey());
                }
            }
            if (!give.isEmpty() || !want.isEmpty()) {
                wire.call(to, "news", answer, callMs, got -> {
                    if (got != null) {
                        merge(got);
                    }
                    done.accept(got == null ? Compared.SILENT : whole);
                });
            } else {
                done.accept(whole);
            }
        });
    }

    private static String brief(long hash) {
        return Integer.toHexString((int) (hash ^ hash >>> 32));
    }

    private static Item stub(String key, JsonNode t) {
        return new Item(key, t.path(0).asLong(), t.path(1).asLong(), null);
    }

    private static void write(ObjectNode m, Collection<Item> list) {
        var a = m.putArray("items");
        for (Item i : list) {
            a.addObject()
                    .put("key", i.key)
                    .put("life", i.life)
                    .put("seq", i.seq)
                    .set("body", i.body);
        }
    }

    public void merge(JsonNode m) {
        Source from = m.path("cell").asBoolean() ? Source.CELL : Source.SIDE;
        for (JsonNode n : m.path("items")) {
            Item i = new Item(
                    n.path("key").asText(),
                    n.path("life").asLong(),
                    n.path("seq").asLong(),
                    n.path("body"));
            if (i.key.isEmpty() || !i.body.isObject()) {
                continue;
            }
            if (i.key.equals(author)) {
                Item mine = items.get(author);
                if (i.life > life || i.life == life && (mine == null || i.newerThan(mine))) {
                    life = i.life + 1;
                    outlived.run();
                }
                continue;
            }
            take(i, from);
        }
    }

    public boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (kind.equals("news")) {
            merge(m);
            ObjectNode out = message();
            List<Item> wanted = new ArrayList<>();
            for (JsonNode k : m.path("want")) {
                Item i = items.get(k.asText());
                if (i != null) {
                    wanted.add(i);
                }
            }
            if (!wanted.isEmpty()) {
                write(out, wanted);
            }
            answer.accept(out);
            return true;
        }
        if (!kind.equals(DIGEST)) {
            return false;
        }
        ObjectNode out = message();
        if (circle.inTouch()) {
            out.put("touch", true);
        }
        if (hash().equals(m.path("hash").asText())) {
            answer.accept(out.put("same", true));
            return true;
        }
        ArrayNode open = out.putArray("open");
        ObjectNode digest = out.putObject("digest");
        boolean[] differs = new boolean[BRANCHES];
        for (int b = 0; b < BRANCHES; b++) {
            differs[b] = !brief(branches[b]).equals(m.path("branches").path(b).asText());
            if (differs[b]) {
                open.add(b);
            }
        }
        for (Item i : items.values()) {
            if (differs[i.branch()]) {
                digest.putArray(i.key).add(i.life).add(i.seq);
            }
        }
        answer.accept(out);
        return true;
    }
}
