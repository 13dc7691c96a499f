package bramblespool.coordination;

import bramblespool.transport.Clock;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What every daemon knows of the others. Each item has one author, who orders its versions by (life, sequence);
 * the newest wins. A change goes to a few others at once; comparing digests mends what was missed.
 */
public final class News {
    public record Item(String key, long life, long seq, JsonNode body) {
        boolean newerThan(Item o) {
            return o == null || life > o.life || life == o.life && seq > o.seq;
        }

        long hash() {
            long h = key.hashCode() * 0x9E3779B97F4A7C15L ^ life * 0xC2B2AE3D27D4EB4FL ^ seq * 0x165667B19E3779F9L;
            h ^= h >>> 29;
            h *= 0xBF58476D1CE4E5B9L;
            return h ^ h >>> 32;
        }
    }

    /** To how many others a change is passed on at once. */
    private static final int FANOUT = 2;

    private final Clock clock;
    private final Wire wire;
    private final long callMs;
    private final Supplier<List<String>> others;
    private final Supplier<List<String>> near;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Consumer<Item>> listeners = new ArrayList<>();
    private final List<Item> fresh = new ArrayList<>();
    private String author;
    private long life = 1;
    private long seq;
    private long hash;
    private Runnable outlived = () -> { };

    /** {@code near}: those who are told of every change: a cell's own wefts, or a weft's helm. */
    public News(Clock clock, Wire wire, long callMs, Supplier<List<String>> others, Supplier<List<String>> near) {
        this.clock = clock;
        this.wire = wire;
        this.callMs = callMs;
        this.others = others;
        this.near = near;
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

    public Collection<Item> all() {
        return items.values();
    }

    public String hash() {
        return Long.toHexString(hash);
    }

    /** Publishes this daemon's own item. */
    public void tell(ObjectNode body) {
        take(new Item(author, life, ++seq, body));
    }

    /** Publishes an item whose order is given from outside, such as the agreed log's. */
    public void tell(String key, long itemLife, long itemSeq, ObjectNode body) {
        take(new Item(key, itemLife, itemSeq, body));
    }

    private boolean take(Item i) {
        Item old = items.get(i.key);
        if (!i.newerThan(old)) {
            return false;
        }
        items.put(i.key, i);
        hash ^= (old == null ? 0 : old.hash()) ^ i.hash();
        if (fresh.isEmpty()) {
            clock.soon(this::spread);
        }
        fresh.add(i);
        for (Consumer<Item> l : listeners) {
            l.accept(i);
        }
        return true;
    }

    private void spread() {
        List<Item> now = new ArrayList<>(fresh);
        fresh.clear();
        ObjectNode m = JsonNodeFactory.instance.objectNode();
        write(m, now);
        Set<String> told = new LinkedHashSet<>(near.get());
        told.addAll(some(FANOUT));
        for (String to : told) {
            wire.call(to, "news", m, callMs, a -> { });
        }
    }

    private List<String> some(int n) {
        List<String> all = new ArrayList<>(others.get());
        List<String> out = new ArrayList<>();
        while (out.size() < n && !all.isEmpty()) {
            out.add(all.remove((int) (clock.chance() * all.size())));
        }
        return out;
    }

    /** One round of mending with somebody chosen by chance. */
    public void mend() {
        for (String to : some(1)) {
            compare(to);
        }
    }

    /** Compares digests with one daemon and exchanges what either lacks. */
    public void compare(String to) {
        wire.call(to, "digest", digest(), callMs, a -> {
            if (a == null || a.path("same").asBoolean()) {
                return;
            }
            merge(a);
            List<Item> wanted = new ArrayList<>();
            for (JsonNode k : a.path("want")) {
                Item i = items.get(k.asText());
                if (i != null) {
                    wanted.add(i);
                }
            }
            if (!wanted.isEmpty()) {
                ObjectNode m = JsonNodeFactory.instance.objectNode();
                write(m, wanted);
                wire.call(to, "news", m, callMs, b -> { });
            }
        });
    }

    private ObjectNode digest() {
        ObjectNode m = JsonNodeFactory.instance.objectNode().put("hash", hash());
        ObjectNode d = m.putObject("digest");
        for (Item i : items.values()) {
            d.putArray(i.key).add(i.life).add(i.seq);
        }
        return m;
    }

    private static void write(ObjectNode m, List<Item> list) {
        var a = m.putArray("items");
        for (Item i : list) {
            a.addObject().put("key", i.key).put("life", i.life).put("seq", i.seq).set("body", i.body);
        }
    }

    public void merge(JsonNode m) {
        for (JsonNode n : m.path("items")) {
            Item i = new Item(n.path("key").asText(), n.path("life").asLong(), n.path("seq").asLong(), n.path("body"));
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
            take(i);
        }
    }

    public boolean serve(String kind, JsonNode m, Consumer<ObjectNode> answer) {
        if (kind.equals("news")) {
            merge(m);
            answer.accept(JsonNodeFactory.instance.objectNode().put("hash", hash()));
            return true;
        }
        if (!kind.equals("digest")) {
            return false;
        }
        ObjectNode out = JsonNodeFactory.instance.objectNode();
        if (hash().equals(m.path("hash").asText())) {
            answer.accept(out.put("same", true));
            return true;
        }
        JsonNode theirs = m.path("digest");
        List<Item> give = new ArrayList<>();
        for (Item i : items.values()) {
            JsonNode t = theirs.path(i.key);
            if (!t.isArray() || i.newerThan(new Item(i.key, t.path(0).asLong(), t.path(1).asLong(), null))) {
                give.add(i);
            }
        }
        write(out, give);
        var want = out.putArray("want");
        for (Iterator<Map.Entry<String, JsonNode>> f = theirs.fields(); f.hasNext();) {
            Map.Entry<String, JsonNode> e = f.next();
            Item mine = items.get(e.getKey());
            if (new Item(e.getKey(), e.getValue().path(0).asLong(), e.getValue().path(1).asLong(), null)
                    .newerThan(mine)) {
                want.add(e.getKey());
            }
        }
        answer.accept(out);
        return true;
    }
}
