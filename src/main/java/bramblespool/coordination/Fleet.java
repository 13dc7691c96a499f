package bramblespool.coordination;

import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The wefts and their servers as the news tells, with what this weft has itself seen of them; chooses among them. */
public final class Fleet {
    /** Another weft with its server. */
    public static final class Member {
        public final String node;
        public String peer;
        public String inbound;
        public String zone;
        public String target;
        public String server;
        int capacity = 1;
        boolean open;
        boolean gone;
        boolean absent;
        long coldUntil;
        long suspectUntil;
        int outstanding;
        int reported;
        long reportedAt;
        public long heard;
        /** When it was last told the news because its marks were old. */
        long told;

        Member(String node) {
            this.node = node;
        }

        /** Whether it should get work, as far as is known. */
        boolean sound(long now) {
            return open && !gone && !absent && suspectUntil <= now;
        }
    }

    /** How long a reported load says something. */
    private static final long REPORT_MS = 400;
    /** Below this share of its capacity a near server is taken before a far one. */
    private static final double NEAR_SHARE = 0.8;
    private static final double COLD_COST = 0.6;

    private final Clock clock;
    private final String self;
    private final String zone;
    private final long suspectMs;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, List<Member>> byTarget = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();

    public Fleet(Clock clock, String self, String zone, long suspectMs) {
        this.clock = clock;
        this.self = self;
        this.zone = zone;
        this.suspectMs = suspectMs;
    }

    public static final String WEFT = "weft/";
    public static final String SESSION = "session/";
    public static final String HELM = "helm/";
    public static final String EVAC = "evac/";
    public static final String ORDER = "order";

    /** The peer addresses of the helms that the news knows, and of the seeds. */
    static Set<String> helms(News news, Settings settings) {
        Set<String> out = new LinkedHashSet<>();
        for (News.Item i : news.all()) {
            if (i.key().startsWith(HELM) && !i.body().path("gone").asBoolean()) {
                out.add(i.body().path("peer").asText());
            }
        }
        settings.seeds().forEach(s -> out.add(settings.peerOf(s)));
        return out;
    }

    public void hear(News.Item i) {
        if (i.key().startsWith(WEFT)) {
            weft(i.key().substring(WEFT.length()), i.body());
        } else if (i.key().startsWith(SESSION)) {
            Member m = member(i.key().substring(SESSION.length()));
            m.absent = !i.body().path("open").asBoolean();
            if (!m.absent) {
                m.suspectUntil = 0;
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

    private Member member(String node) {
        return members.computeIfAbsent(node, Member::new);
    }

    private void weft(String node, JsonNode b) {
        Member m = member(node);
        String server = b.path("server").asText("");
        if (!server.equals(m.server)) {
            m.suspectUntil = 0;
            m.reported = 0;
        }
        String target = b.path("target").asText();
        if (!target.equals(m.target)) {
            if (m.target != null) {
                byTarget.get(m.target).remove(m);
            }
            byTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(m);
        }
        m.target = target;
        m.peer = b.path("peer").asText();
        m.inbound = b.path("inbound").asText();
        m.zone = b.path("zone").asText();
        m.server = server;
        m.capacity = Math.max(1, b.path("capacity").asInt());
        m.open = b.path("open").asBoolean();
        m.gone = b.path("gone").asBoolean();
        long cold = b.path("cold").asLong();
        m.coldUntil = cold > 0 ? clock.now() + cold : 0;
    }

    Member known(String node) {
        return members.get(node);
    }

    public int wefts() {
        int n = 0;
        for (Member m : members.values()) {
            if (m.peer != null && !m.gone) {
                n++;
            }
        }
        return n;
    }

    /** The least capacity that servers of a service are known to have, or the given one where none is known. */
    public int capacityOf(String service, int otherwise) {
        int least = Integer.MAX_VALUE;
        for (Member m : byTarget.getOrDefault(service, List.of())) {
            if (m.server != null && !m.server.isEmpty()) {
                least = Math.min(least, m.capacity);
            }
        }
        return least == Integer.MAX_VALUE ? otherwise : least;
    }

    public boolean anyServer() {
        for (Member m : members.values()) {
            if (m.open && !m.gone) {
                return true;
            }
        }
        return false;
    }

    public boolean evacuated(String z) {
        return evacuated.contains(z);
    }

    public List<String> peerAddresses() {
        List<String> out = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.peer != null && !m.gone && !m.absent && !m.node.equals(self)) {
                out.add(m.peer);
            }
        }
        return out;
    }

    // ---- what is seen of them

    public void sending(Member m) {
        m.outstanding++;
    }

    public void ended(Member m) {
        m.outstanding--;
    }

    public void report(Member m, int load) {
        m.reported = load;
        m.reportedAt = clock.now();
        m.heard = m.reportedAt;
        m.suspectUntil = 0;
    }

    public void suspect(Member m) {
        m.suspectUntil = clock.now() + suspectMs;
    }

    public boolean suspected(Member m) {
        return m.suspectUntil > clock.now();
    }

    private double cost(Member m, long now) {
        double load = m.outstanding;
        if (now - m.reportedAt < REPORT_MS) {
            load = Math.max(load, m.reported);
        }
        return load / m.capacity + (m.coldUntil > now ? COLD_COST : 0);
    }

    /** A server of the service not tried yet, or null where there is none. */
    public Member choose(String service, Set<Member> tried) {
        List<Member> all = byTarget.get(service);
        if (all == null) {
            return null;
        }
        long now = clock.now();
        List<Member> near = new ArrayList<>(all.size());
        List<Member> sound = new ArrayList<>(all.size());
        List<Member> other = new ArrayList<>(all.size());
        for (Member m : all) {
            if (tried.contains(m) || m.gone || m.inbound == null || evacuated.contains(m.zone)) {
                continue;
            }
            if (!m.sound(now)) {
                if (m.open) {
                    other.add(m);
                }
                continue;
            }
            if (m.node.equals(self) && cost(m, now) < NEAR_SHARE) {
                return m;
            }
            sound.add(m);
            if (m.zone.equals(zone) && cost(m, now) < NEAR_SHARE) {
                near.add(m);
            }
        }
        // Where all seem lost it is likelier that the news is: any server that said it was open is tried.
        return best(!near.isEmpty() ? near : !sound.isEmpty() ? sound : other, now);
    }

    private Member best(List<Member> of, long now) {
        if (of.isEmpty()) {
            return null;
        }
        Member a = of.get((int) (clock.chance() * of.size()));
        Member b = of.get((int) (clock.chance() * of.size()));
        return cost(b, now) < cost(a, now) ? b : a;
    }
}
