package bramblespool.sim;

import bramblespool.coordination.HelmCore;
import bramblespool.coordination.WeftCore;
import bramblespool.protocol.Beat;
import bramblespool.protocol.Orders;
import bramblespool.state.Config;
import bramblespool.state.Log;
import bramblespool.state.Settings;
import bramblespool.state.Vault;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Helms and wefts of several zones on a simulated world, with an operator who follows the leader. */
public final class SimMesh {
    public final SimWorld world;
    public final Map<String, HelmCore> helms = new LinkedHashMap<>();
    public final Map<String, WeftCore> wefts = new LinkedHashMap<>();
    private final List<String> seeds = new ArrayList<>();
    public final Map<String, WeftCore> hems = new LinkedHashMap<>();
    private final int losses;
    private final SimPlatform platform;
    private final boolean metered;
    private int incarnations;
    private int beats;
    public static final String BOUNDS = """
            [bounds]
            quiet = "3s"
            ack = "5s"
            drain = "2500ms"
            grace = "6s"
            apply = "2500ms"
            retryRatio = 0.2
            retryWindow = "10s"
            retrySlack = 60
            evac = "5s"
            quotaExcess = 0.1
            quotaSlack = 20
            fencing = true
            lease = "3s"
            reportWindow = "5s"
            usageLate = "10s"
            """;
    public static final String[] ZONES = {"a", "b", "c", "d", "e", "f"};
    private final int zones;

    /** A mesh whose platform wants usage reports. */
    public static SimMesh metered(long seed, int helmCount, int weftCount, SimPlatform platform) {
        return new SimMesh(seed, helmCount, weftCount, 1, platform, true);
    }

    public SimMesh(long seed, int helmCount, int weftCount) {
        this(seed, helmCount, weftCount, 1, null);
    }

    /** {@code losses}: the disks that may be lost at one time; {@code platform}: who keeps the list, or null for a mesh. */
    public SimMesh(long seed, int helmCount, int sideCount, int losses, SimPlatform platform) {
        this(seed, helmCount, sideCount, losses, platform, false);
    }

    private SimMesh(long seed, int helmCount, int sideCount, int losses, SimPlatform platform, boolean metered) {
        this.metered = metered;
        world = new SimWorld(seed);
        this.losses = losses;
        this.platform = platform;
        this.zones = helmCount < ZONES.length ? 3 : ZONES.length;
        for (int i = 0; i < Math.min(3, helmCount); i++) {
            seeds.add("10.0.0." + (i + 1) + ":8000");
        }
        for (int i = 0; i < helmCount; i++) {
            startHelm(helmPeer(i), true);
        }
        for (int i = 0; i < sideCount; i++) {
            if (platform == null || metered) {
                startWeft(weftPeer(i));
            } else {
                startHem(hemPeer(i));
            }
        }
    }

    public String zone(int i) {
        return ZONES[i % zones];
    }

    public static String hemPeer(int i) {
        return "10.0.2." + (i + 1) + ":7000";
    }

    public static String helmPeer(int i) {
        return "10.0.0." + (i + 1) + ":7000";
    }

    public static String weftPeer(int i) {
        return "10.0.1." + (i + 1) + ":7000";
    }

    private Settings settings(String peer, List<String> seeds, boolean bootstrap) {
        String ip = peer.substring(0, peer.indexOf(':'));
        boolean helm = ip.startsWith("10.0.0.");
        boolean hem = ip.startsWith("10.0.2.");
        int last = Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
        String text = """
                node = "%s-%d"
                machineClass = "%s"
                ip = "%s"
                zone = "%s"
                portRange = [7000, 7010]
                seedPeers = [%s]
                bootstrap = %s
                dataDir = "/none"
                appAddr = "%s:9000"
                target = "desk"
                discovery = "%s"
                [platform]
                address = "10.9.9.9:80"
                %s
                [zones]
                %s
                [faultBudget]
                machines = %d
                [listeners]
                control = "%s:8000"
                inbound = "%s:8001"
                outbound = "%s:8002"
                ready = "%s:8003"
                front = "%s:8004"
                [limits]
                memoryMb = 0
                %s                """.formatted(helm ? "helm" : hem ? "hem" : "weft", last, helm ? "core" : hem ? "edge" : "sidecar", ip, zone(last - 1),
                seeds.stream().map(s -> '"' + s + '"').reduce((a, b) -> a + "," + b).orElse(""), bootstrap, ip,
                platform == null || metered ? "static" : "platform",
                metered ? "duties = [\"metering\"]\ndutyPerS = 50.0" : "",
                String.join("\n", Arrays.stream(ZONES).limit(zones).map(z -> z + " = \"r\"").toList()), losses, ip, ip, ip, ip, ip, BOUNDS);
        try {
            return Settings.parse(text, "simulated");
        } catch (Settings.Unfit e) {
            throw new IllegalStateException(e);
        }
    }

    public void startHelm(String peer, boolean bootstrap) {
        startHelm(peer, bootstrap, world.machine(peer).disk);
    }

    /** Starts a helm whose disk is no simulated one. */
    public HelmCore startHelm(String peer, Vault vault) {
        return startHelm(peer, false, vault);
    }

    private HelmCore startHelm(String peer, boolean bootstrap, Vault vault) {
        SimWorld.Machine m = world.machine(peer);
        m.boot();
        HelmCore h = new HelmCore(settings(peer, seeds, bootstrap), vault, "i" + ++incarnations, m, m,
                platform == null ? null : platform.seenBy(m), Log.silent());
        m.serve(h);
        helms.put(peer, h);
        h.start();
        return h;
    }

    public void killHelm(String peer, boolean power) {
        world.machine(peer).kill(power);
        helms.remove(peer);
    }

    public void startWeft(String peer) {
        WeftCore w = startSide(peer, wefts);
        SimWorld.Machine m = world.machine(peer);
        String id = "s-" + peer + "-" + ++beats;
        m.every(1500, () -> w.beat(new Beat(id, "desk", peer.substring(0, peer.indexOf(':')) + ":9000", "a", 6, false, 0,
                ++beats)));
    }

    public void startHem(String peer) {
        startSide(peer, hems);
    }

    private WeftCore startSide(String peer, Map<String, WeftCore> among) {
        SimWorld.Machine m = world.machine(peer);
        m.boot();
        WeftCore w = new WeftCore(settings(peer, seeds, false), m, m, Log.silent());
        m.serve(w);
        among.put(peer, w);
        w.start();
        return w;
    }

    public void killHem(String peer) {
        world.machine(peer).kill(false);
        hems.remove(peer);
    }

    public void killWeft(String peer) {
        world.machine(peer).kill(false);
        wefts.remove(peer);
    }

    public HelmCore leader() {
        HelmCore best = null;
        for (HelmCore h : helms.values()) {
            if (h.raft.leads() && (best == null || h.raft.term() > best.raft.term())) {
                best = h;
            }
        }
        return best;
    }

    public static String document(long epoch, long base, String prefix) {
        return """
                {"epoch":%d,"baseVersion":%d,
                 "routeTable":{"columns":["name","authority","pathPrefix","routeClass","deadline","goal","rank","shares","maxTries","target"],
                  "rows":[["r","x.example","/%s/","idempotent","1500ms","600ms",1,null,2,"desk"]]},
                 "serviceTable":{"columns":["name","probePath","maxConns","protocol","tls","warmup","warmPerS"],
                  "rows":[["desk","/health",100,"h1",false,"3s",13.0]]},
                 "limits":{"headerBytes":16384,"bodyBytes":1000000,"headerRead":"3s","idle":"15s"}}
                """.formatted(epoch, base, prefix);
    }

    public static Orders.Change change(long epoch, long base, String prefix) {
        return change(document(epoch, base, prefix));
    }

    /** A change with so many routes, no two alike, that nothing much is saved by packing them. */
    public Orders.Change large(long epoch, long base, int routes) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            rows.append(i == 0 ? "" : ",").append("[\"r").append(i).append("\",\"x.example\",\"/")
                    .append(Long.toHexString(world.random.nextLong())).append("/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]");
        }
        String one = document(epoch, base, "one");
        int from = one.indexOf("[[\"r\"") + 1;
        return change(one.substring(0, from) + rows + one.substring(one.indexOf("]]", from) + 1));
    }

    private static Orders.Change change(String document) {
        try {
            return Orders.change(false, document.getBytes(StandardCharsets.UTF_8));
        } catch (Config.Invalid e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a change to whoever leads now; nothing is heard where nobody does or the leader goes. */
    public void order(Orders.Change change, Consumer<Orders.Outcome> done) {
        HelmCore l = leader();
        if (l != null) {
            l.change(change, done);
        }
    }
}
