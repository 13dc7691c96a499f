package bramblespool.coordination;

import bramblespool.protocol.Listing;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.RoutingConfiguration;
import bramblespool.transport.Clock;
import bramblespool.transport.Platform;
import bramblespool.transport.Wire;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The duty of reading one zone's list of servers and of assigning each to a steward. The wanted state is the list last
 * read whole and the hems that are members; what is, is what each hem last confirmed; each round acts on the
 * difference. A server leaves its old steward, or the old steward its session, before a new one has it.
 */
final class Roster {
    /** A hem that may be steward; {@code holds}: the servers it itself says it has gates for in its present life. */
    record Hem(String node, long life, String peer, String zone, Set<String> holds) {}

    /** Pages after which a list without end is given up. */
    private static final int PAGES = 1000;
    /** Most of a back-off, in reading periods. */
    private static final int LONGEST_BACKOFF = 4;
    /** Reading periods for which the list is watched without the duty: well over the time in which somebody leads again. */
    private static final int WATCHES = 5;

    private static final class Told {
        private final long life;
        /** The number of the assignment last made for this hem, and of the one it last confirmed. */
        long made;

        long confirmed;
        List<Listing.Entry> servers = List.of();
        /** What it may have a gate for: what it confirmed, and what was sent to it since. */
        Set<String> may = new HashSet<>();

        boolean busy;

        Told(Hem h) {
            life = h.life;
            may.addAll(h.holds);
        }
    }

    private final String zone;
    /** Tells the lives of one helm apart. */
    private final String self;

    private final Clock clock;
    private final Platform platform;
    private final Wire wire;
    private final Supplier<List<Hem>> hems;
    private final long periodMs;
    private final long callMs;
    private final EventLog log;
    private long fence;
    private boolean active;
    /** Until when the list is read without the duty. */
    private long watchUntil;

    private boolean leaderless;
    /** The leaving servers that each hem has been told of without the duty. */
    private final Map<String, Set<String>> warned = new HashMap<>();

    private long reading;
    private long nextRead;
    private long backoff;
    /** Numbers assignments; never starts over within a life, for the duty may come back under the same fence. */
    private long n;

    private Map<String, Listing.Entry> list;
    private final Map<String, String> steward = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();

    Roster(
            String zone,
            Clock clock,
            Platform platform,
            Wire wire,
            Supplier<List<Hem>> hems,
            long periodMs,
            long callMs,
            EventLog log) {
        this.zone = zone;
        this.self = Long.toHexString((long) (clock.chance() * Long.MAX_VALUE));
        this.clock = clock;
        this.platform = platform;
        this.wire = wire;
        this.hems = hems;
        this.periodMs = periodMs;
        this.callMs = callMs;
        this.log = log;
    }

    /** Says whether this helm holds the duty now, and under which fence. A new hand starts from a full read. */
    void hold(boolean mine, long underFence) {
        if (mine && (!active || underFence != fence)) {
            fence = underFence;
            list = null;
            steward.clear();
            told.clear();
            reading++;
            nextRead = clock.now();
            backoff = 0;
            log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", "list of " + zone, "fencingToken", fence);
        }
        active = mine;
    }

    /**
     * Says whether nobody is known to lead. The bound on leaving servers runs all the same, so for a time the list is read
     * without the duty, and what it shows as leaving is told to its stewards; nothing is assigned.
     */
    void leaderless(boolean is) {
        if (is && !leaderless) {
            reading++;
            nextRead = clock.now();
            backoff = 0;
            warned.clear();
            watchUntil = clock.now() + WATCHES * periodMs;
        }
        leaderless = is;
    }

    private boolean watching() {
        return clock.now() < watchUntil;
    }

    /** One round. */
    void check() {
        if (!active && !watching()) {
            reading++;
            return;
        }
        if (clock.now() >= nextRead) {
            nextRead = Long.MAX_VALUE;
            read(++reading, null, new TreeMap<>(), new HashSet<>());
        }
        if (active) {
            assign();
        }
    }

    // ---- the list

    private void read(long mine, String token, Map<String, Listing.Entry> got, Set<String> tokens) {
        platform.page(zone, token, p -> {
            if (mine != reading) {
                return;
            }
            if (p.code() != 200 || p.body() == null) {
                giveUp("code " + p.code());
                return;
            }
            Listing page;
            try {
                page = Listing.read(p.body());
            } catch (RoutingConfiguration.InvalidConfigurationException e) {
                giveUp(e.getMessage());
                return;
            }
            for (Listing.Entry e : page.servers()) {
                if (e.zone().equals(zone)) {
                    got.put(e.id(), e);
                }
            }
            if (page.next() == null) {
                whole(got);
            } else if (!tokens.add(page.next()) || tokens.size() > PAGES) {
                giveUp("the list has no end");
            } else {
                read(mine, page.next(), got, tokens);
            }
        });
    }

    private void giveUp(String why) {
        log.logOnChange(Event.REGISTRY_READ_FAILED, zone + why, "zone", zone, "cause", why);
        backoff = Math.min(backoff + 1, LONGEST_BACKOFF);
        nextRead = clock.now() + backoff * periodMs / 2 + (long) (clock.chance() * periodMs / 2);
    }

    private void whole(Map<String, Listing.Entry> got) {
        if (!active) {
            backoff = 0;
            nextRead = clock.now() + periodMs;
            warn(got.values());
            return;
        }
        if (list == null) {
            log.log(Event.REGISTRY_READ, "zone", zone, "endpoints", got.size());
        }
        backoff = 0;
        nextRead = clock.now() + periodMs;
        list = got;
        assign();
    }

    /** Tells the stewards of servers about to end, each once. */
    private void warn(Collection<Listing.Entry> servers) {
        Set<String> leaving = new HashSet<>();
        servers.forEach(e -> {
            if (e.draining()) {
                leaving.add(e.id());
            }
        });
        for (Hem h : hems.get()) {
            Set<String> known = warned.computeIfAbsent(h.node + " " + h.life, k -> new HashSet<>());
            Set<String> of = new TreeSet<>(h.holds);
            of.retainAll(leaving);
            of.removeAll(known);
            if (of.isEmpty()) {
                continue;
            }
            ObjectNode m = JsonNodeFactory.instance.objectNode().put("zone", zone);
            of.forEach(m.putArray("leaving")::add);
            wire.call(h.peer, "assign", m, callMs, a -> {
                if (a != null) {
                    known.addAll(of);
                }
            });
        }
    }

    // ---- the assignment

    private void assign() {
        if (list == null) {
            return;
        }
        Map<String, Hem> members = new TreeMap<>();
        hems.get().forEach(h -> members.put(h.node, h));
        Set<String> live = candidates(members.values());
        if (live.isEmpty()) {
            return;
        }
        told.entrySet()
                .removeIf(t -> !members.containsKey(t.getKey()) || members.get(t.getKey()).life != t.getValue().life);
        for (Hem h : members.values()) {
            if (!told.containsKey(h.node)) {
                told.put(h.node, new Told(h));
                if (live.contains(h.node)) {
                    h.holds.forEach(id -> steward.putIfAbsent(id, h.node));
                }
            }
        }
        steward.keySet().retainAll(list.keySet());
        steward.values().retainAll(live);
        Spread.even(list.values(), live, steward);
        Map<String, List<Listing.Entry>> wanted = new HashMap<>();
        members.keySet().forEach(h -> wanted.put(h, new ArrayList<>()));
        for (Listing.Entry e : list.values()) {
            String to = steward.get(e.id());
            if (!heldElsewhere(e.id(), to)) {
                wanted.get(to).add(e);
            }
        }
        for (Hem h : members.values()) {
            Told t = told.get(h.node);
            List<Listing.Entry> w = wanted.get(h.node);
            if (t.made == 0 || !same(t.servers, w)) {
                t.made = ++n;
                t.servers = w;
            }
            if (t.confirmed != t.made && !t.busy) {
                tell(h, t);
            }
        }
    }

    /** The members of the zone, or all where it has none. */
    private Set<String> candidates(Collection<Hem> members) {
        Set<String> near = new TreeSet<>();
        Set<String> all = new TreeSet<>();
        for (Hem h : members) {
            all.add(h.node);
            if (h.zone.equals(zone)) {
                near.add(h.node);
            }
        }
        return near.isEmpty() ? all : near;
    }

    /** Whether another live hem may still have a gate for this server. */
    private boolean heldElsewhere(String id, String to) {
        for (Map.Entry<String, Told> t : told.entrySet()) {
            if (!t.getKey().equals(to) && t.getValue().may.contains(id)) {
                return true;
            }
        }
        return false;
    }

    private static boolean same(List<Listing.Entry> a, List<Listing.Entry> b) {
        if (a.size() != b.size()) {
            return false;
        }
        for (int i = 0; i < a.size(); i++) {
            Listing.Entry x = a.get(i);
            Listing.Entry y = b.get(i);
            // How long a server stays slow runs down by itself and is no change.
            if (!x.id().equals(y.id())
                    || x.draining() != y.draining()
                    || x.capacity() != y.capacity()
                    || !x.address().equals(y.address())
                    || y.warmupLeft() > x.warmupLeft()) {
                return false;
            }
        }
        return true;
    }

    private void tell(Hem h, Told t) {
        t.busy = true;
        long made = t.made;
        long inFence = fence;
        ObjectNode m = JsonNodeFactory.instance
                .objectNode()
                .put("zone", zone)
                .put("fence", fence)
                .put("n", made)
                .put("reader", self);
        ArrayNode servers = m.putArray("servers");
        Set<String> ids = new HashSet<>();
        for (Listing.Entry e : t.servers) {
            servers.add(e.write());
            ids.add(e.id());
        }
        t.may.addAll(ids);
        wire.call(h.peer, "assign", m, callMs, a -> {
            t.busy = false;
            if (a == null || fence != inFence) {
                return;
            }
            if (a.path("ok").asBoolean()) {
                t.confirmed = made;
                t.may = ids;
            } else if (a.path("fence").asLong() == fence) {
                // This helm told it more in an earlier life, under the same fence: its numbers go on from there.
                n = Math.max(n, a.path("n").asLong());
                t.made = ++n;
            }
        });
    }
}
