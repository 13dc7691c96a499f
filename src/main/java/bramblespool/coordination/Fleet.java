package bramblespool.coordination;

import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/** The data plane's daemons and their doors as the news tells, with what this daemon has itself seen of them. */
public final class Fleet {
    /** Another daemon of the data plane. */
    public static final class Peer {
        public final String node;
        public String address;
        public String inbound;
        public String zone;
        boolean gone;
        boolean absent;
        long suspectUntil;
        public long heard;
        /** When it was last told the news because its marks were old. */
        long told;

        private final Map<String, Door> doors = new HashMap<>();

        Peer(String node) {
            this.node = node;
        }

        private boolean sound(long now) {
            return !gone && !absent && suspectUntil <= now;
        }
    }

    /** What a daemon leads to: its servers of one service, behind its gates. A weft has one door, with one server. */
    public static final class Door {
        public final Peer at;
        public final String target;
        public String servers = "";
        int capacity = 1;
        boolean open;
        long coldUntil;
        double ill;
        int slow;
        int outstanding;
        int reported;
        long reportedAt;

        private Door(Peer at, String target) {
            this.at = at;
            this.target = target;
        }
    }

    /** After so long a reported load says little more than what the service's doors report on the whole. */
    private static final double REPORT_MS = 400;
    /** And then nothing more: a trace of old news must not decide between two doors. */
    private static final long FORGET_MS = 800;
    /** Below this share of its capacity a near server is taken before a far one. */
    private static final double NEAR_SHARE = 0.8;

    private static final double COLD_COST = 0.6;
    /** What a server that fails everything costs more, in loads of itself: one that fails a part gets less, not nothing. */
    static final double ILL_COST = 2;
    /** What each step of slowness costs more: a request at a server that takes many times as long misses its aim. */
    static final double SLOW_COST = 1;
    /** How much one report weighs in what a service's doors usually report. */
    private static final double USUAL = 0.02;

    private final Clock clock;
    private final String self;
    private final String zone;
    private final long suspectMs;
    private final ToIntFunction<String> own;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, List<Door>> byTarget = new HashMap<>();
    /** For each service, the share of their capacity that its doors usually report as taken. */
    private final Object2DoubleOpenHashMap<String> usual = new Object2DoubleOpenHashMap<>();

    private final Set<String> evacuated = new HashSet<>();

    /** {@code own}: how many requests this daemon's own gates of a service hold. */
    public Fleet(Clock clock, String self, String zone, long suspectMs, ToIntFunction<String> own) {
        this.own = own;
        this.clock = clock;
        this.self = self;
        this.zone = zone;
        this.suspectMs = suspectMs;
    }

    /** Key of a data plane daemon's own item, weft or hem. */
    public static final String SIDE = "weft/";

    public static final String SESSION = "session/";
    public static final String HELM = "helm/";
    public static final String EVAC = "evac/";
    /** The news of which windows of usage have been reported. */
    static final String USAGE = "usage/reported";

    public static final String ORDER = "order";

    /** The peer addresses of the helms that the news knows, and of the seeds. */
    static Set<String> helms(News news, Settings settings) {
        Set<String> out = new LinkedHashSet<>();
        for (News.Item i : news.under(HELM)) {
            if (!i.body().path("gone").asBoolean()) {
                out.add(i.body().path("peer").asText());
            }
        }
        settings.seedPeers().forEach(s -> out.add(settings.peerAddressOf(s)));
        return out;
    }

    /** The helms that say they are voters; all that are known where none does. */
    static List<String> voters(News news, Settings settings) {
        List<String> out = new ArrayList<>();
        for (News.Item i : news.under(HELM)) {
            if (!i.body().path("gone").asBoolean() && i.body().path("voter").asBoolean()) {
                out.add(i.body().path("peer").asText());
            }
        }
        return out.isEmpty() ? new ArrayList<>(helms(news, settings)) : out;
    }

    public void hear(News.Item i) {
        if (i.key().startsWith(SIDE)) {
            side(peer(i.key().substring(SIDE.length())), i.body());
        } else if (i.key().startsWith(SESSION)) {
            Peer p = peer(i.key().substring(SESSION.length()));
            p.absent = !i.body().path("open").asBoolean();
            if (!p.absent) {
                p.suspectUntil = 0;
            }
        } else if (i.key().startsWith(EVAC)) {
            String z = i.key().substring(EVAC.length());
            if (i.body().path("on").asBoolean()) {
                evacuated.add(z);
            } else {
                evacuated.remove(z);
            }
        }
    }

    private Peer peer(String node) {
        return peers.computeIfAbsent(node, Peer::new);
    }

    private void side(Peer p, JsonNode b) {
        p.address = b.path("peer").asText();
        p.inbound = b.path("inbound").asText();
        p.zone = b.path("zone").asText();
        p.gone = b.path("gone").asBoolean();
        Set<String> told = new HashSet<>();
        for (JsonNode d : b.path("doors")) {
            String target = d.path("target").asText();
            told.add(target);
            door(
                    p.doors.computeIfAbsent(target, t -> {
                        Door fresh = new Door(p, t);
                        byTarget.computeIfAbsent(t, x -> new ArrayList<>()).add(fresh);
                        return fresh;
                    }),
                    d);
        }
        p.doors.values().removeIf(d -> {
            boolean away = !told.contains(d.target);
            if (away) {
                byTarget.get(d.target).remove(d);
            }
            return away;
        });
    }

    private void door(Door d, JsonNode b) {
        String servers = b.path("servers").asText();
        if (!servers.equals(d.servers)) {
            d.at.suspectUntil = 0;
            d.reported = 0;
        }
        d.servers = servers;
        d.capacity = Math.max(1, b.path("capacity").asInt());
        d.open = b.path("open").asBoolean();
        d.ill = b.path("ill").asDouble();
        d.slow = b.path("slow").asInt();
        long cold = b.path("cold").asLong();
        d.coldUntil = cold > 0 ? clock.now() + cold : 0;
    }

    Peer known(String node) {
        return peers.get(node);
    }

    /** How many daemons of the data plane there are. */
    public int sides() {
        int n = 0;
        for (Peer p : peers.values()) {
            if (p.address != null && !p.gone) {
                n++;
            }
        }
        return n;
    }

    /** The least capacity that servers of a service are known to have, or the given one where none is known. */
    public int capacityOf(String service, int otherwise) {
        int least = Integer.MAX_VALUE;
        for (Door d : byTarget.getOrDefault(service, List.of())) {
            if (!d.servers.isEmpty()) {
                least = Math.min(least, d.capacity);
            }
        }
        return least == Integer.MAX_VALUE ? otherwise : least;
    }

    public boolean anyServer() {
        for (Peer p : peers.values()) {
            for (Door d : p.doors.values()) {
                if (d.open && !p.gone) {
                    return true;
                }
            }
        }
        return false;
    }

    public boolean evacuated(String z) {
        return evacuated.contains(z);
    }

    /** Those to pass news to; with {@code near}, of the own zone only. */
    public List<String> peerAddresses(boolean near) {
        List<String> out = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (p.address != null && !p.gone && !p.absent && !p.node.equals(self) && (!near || p.zone.equals(zone))) {
                out.add(p.address);
            }
        }
        return out;
    }

    // ---- what is seen of them

    public void sending(Door d) {
        d.outstanding++;
    }

    public void ended(Door d) {
        d.outstanding--;
    }

    public void report(Door d, int load) {
        d.reported = load;
        d.reportedAt = clock.now();
        d.at.heard = d.reportedAt;
        d.at.suspectUntil = 0;
        double u = usual.getDouble(d.target);
        usual.put(d.target, u + USUAL * ((double) load / d.capacity - u));
    }

    public void suspect(Peer p) {
        p.suspectUntil = clock.now() + suspectMs;
    }

    public boolean suspected(Peer p) {
        return p.suspectUntil > clock.now();
    }

    /**
     * The share of a door's capacity that is likely taken: what it reported, the less believed the older it is, and the
     * rest as with the service's doors on the whole. So one that was seen idle goes before one nobody has seen lately,
     * and that before one that was seen full.
     */
    private double load(Door d, long now) {
        if (d.at.node.equals(self)) {
            return (double) own.applyAsInt(d.target) / d.capacity + (d.coldUntil > now ? COLD_COST : 0);
        }
        double u = usual.getDouble(d.target);
        double told = now - d.reportedAt > FORGET_MS
                ? u
                : u + ((double) d.reported / d.capacity - u) * Math.exp((d.reportedAt - now) / REPORT_MS);
        return Math.max((double) d.outstanding / d.capacity, told) + (d.coldUntil > now ? COLD_COST : 0);
    }

    private double cost(Door d, long now) {
        return load(d, now) + d.ill * ILL_COST + d.slow * SLOW_COST;
    }

    /** A door of the service not tried yet, or null where there is none. */
    public Door choose(String service, Set<Door> tried) {
        List<Door> all = byTarget.get(service);
        if (all == null) {
            return null;
        }
        long now = clock.now();
        List<Door> near = new ArrayList<>(all.size());
        List<Door> sound = new ArrayList<>(all.size());
        List<Door> other = new ArrayList<>(all.size());
        for (Door d : all) {
            Peer p = d.at;
            if (tried.contains(d) || p.gone || p.inbound == null || evacuated.contains(p.zone)) {
                continue;
            }
            if (!d.open || !p.sound(now)) {
                if (d.open) {
                    other.add(d);
                }
                continue;
            }
            if (p.node.equals(self) && cost(d, now) < NEAR_SHARE) {
                return d;
            }
            sound.add(d);
            if (p.zone.equals(zone) && load(d, now) <= Math.max(NEAR_SHARE, usual.getDouble(service))) {
                near.add(d);
            }
        }
        // Where all seem lost it is likelier that the news is: any server that said it was open is tried.
        return best(!near.isEmpty() ? near : !sound.isEmpty() ? sound : other, now);
    }

    private Door best(List<Door> of, long now) {
        if (of.isEmpty()) {
            return null;
        }
        int first = (int) (clock.chance() * of.size());
        if (of.size() == 1) {
            return of.get(0);
        }
        Door a = of.get(first);
        Door b = of.get((first + 1 + (int) (clock.chance() * (of.size() - 1))) % of.size());
        return cost(b, now) < cost(a, now) ? b : a;
    }
}
