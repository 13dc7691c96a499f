package bramblespool.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the platform tells a process: one TOML file, checked whole. Unknown fields are ignored. */
public record Settings(
        String node,
        String role,
        String machineClass,
        String ip,
        String zone,
        String region,
        int portFirst,
        int portLast,
        List<String> seeds,
        boolean bootstrap,
        boolean voting,
        String dataDir,
        long beat,
        String appAddr,
        String target,
        Map<String, String> zones,
        String inbound,
        String outbound,
        String ready,
        String control,
        String deployment,
        Discovery discovery,
        String platform,
        double platformPerS,
        long platformLag,
        double cpuShare,
        long memoryMb,
        long maxFds,
        long diskMb,
        int lossMachines,
        Bounds bounds,
        Metering metering) {

    /** Where the list of servers comes from: the servers' own beats, or the platform. */
    public enum Discovery {
        STATIC,
        PLATFORM
    }

    /** How clients reach the data plane: on its own machines, or through the platform's address. */
    public enum Entry {
        STATIC,
        VIRTUAL_IP
    }

    private static final String EDGE = "edge";
    private static final String SIDECAR = "sidecar";
    private static final String METERING = "metering";

    /** The duty of reporting usage: how many calls a second the platform takes, and the figures of its rules. */
    public record Metering(double perS, long lease, long window, long late) {}

    /** The figures of the rules that are in force. */
    public record Bounds(
            long quiet,
            long ack,
            long catchUp,
            long drain,
            long grace,
            long lossSlack,
            long apply,
            long revertSlack,
            long stretch,
            double retryRatio,
            long retryWindow,
            double retrySlack,
            double warmExcess,
            double warmSlack,
            long evac,
            long recover,
            long keyWindow,
            long quotaWindow,
            double quotaExcess,
            double quotaSlack) {}

    /** A settings file that cannot be used: all its faults, each naming its field. */
    public static final class Unfit extends Exception {
        private static final long serialVersionUID = 1L;

        public Unfit(String file, List<String> faults) {
            super(file + ": " + String.join("; ", faults));
        }
    }

    /** Whether this is a machine that outside clients come to. */
    public boolean edge() {
        return machineClass.equals(EDGE);
    }

    /** The port on which the system's own daemons talk to each other, the same on all machines. */
    public String peer() {
        return ip + ":" + portFirst;
    }

    /** The peer address of a machine of which only another address is known. */
    public String peerOf(String address) {
        return address.substring(0, address.lastIndexOf(':') + 1) + portFirst;
    }

    public static Settings read(Path file) throws Unfit {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Unfit(
                    file.toString(), List.of("cannot be read (" + e.getClass().getSimpleName() + ")"));
        }
        return parse(text, file.toString());
    }

    public static Settings parse(String toml, String file) throws Unfit {
        JsonObject tree;
        try {
            tree = JsonParser.parseString(new TomlMapper().readTree(toml).toString())
                    .getAsJsonObject();
        } catch (JsonProcessingException e) {
            throw new Unfit(file, List.of("is no TOML: " + e.getOriginalMessage()));
        }
        List<String> faults = new ArrayList<>();
        Settings s = build(tree, new Fields(tree, "", faults));
        if (!faults.isEmpty()) {
            throw new Unfit(file, faults);
        }
        return s;
    }

    private static Settings build(JsonObject tree, Fields f) {
        int first = 0;
        int last = 0;
        if (f.has("portRange")
                && tree.get("portRange").isJsonArray()
                && tree.getAsJsonArray("portRange").size() == 2) {
            first = tree.getAsJsonArray("portRange").get(0).getAsInt();
            last = tree.getAsJsonArray("portRange").get(1).getAsInt();
        }
        if (first <= 0 || last < first || last > 65535) {
            f.fault("portRange", "must be two ports, the lower first");
        }
        List<String> seeds = f.texts("seedPeers");
        for (String s : seeds) {
            if (!Fields.isAddress(s)) {
                f.fault("seedPeers", "holds '" + s + "', which is no address");
            }
        }
        String machineClass = f.text("machineClass");
        boolean side = SIDECAR.equals(machineClass);
        boolean edge = EDGE.equals(machineClass);
        Fields listen = f.section("listeners");
        Fields limits = f.section("limits");
        Fields b = f.section("bounds");
        String none = side ? null : "";
        Discovery discovery = f.choice("discovery", Discovery.STATIC);
        f.choice("entry", Entry.STATIC);
        Fields platform = discovery == Discovery.PLATFORM || f.has("platform")
                ? f.section("platform")
                : new Fields(new JsonObject(), "platform.", new ArrayList<>());
        Metering metering = metering(platform, b);
        // A hem's calls from other hems come to the port after the one for messages.
        String ip = f.text("ip");
        if (edge && last <= first) {
            f.fault("portRange", "must leave two ports on an edge machine");
        }
        String inbound = edge ? ip + ":" + (first + 1) : listen.address("inbound", none);
        String outbound = edge ? listen.address("front", null) : listen.address("outbound", none);
        return new Settings(
                f.text("node"),
                f.text("role", ""),
                machineClass,
                ip,
                f.text("zone"),
                f.text("region", ""),
                first,
                last,
                List.copyOf(seeds),
                f.flag("bootstrap", false),
                f.flag("voting", false),
                f.text("dataDir", side || edge ? "" : null),
                f.time("beat", "1500ms"),
                f.address("appAddr", none),
                f.text("target", none),
                f.table("zones"),
                inbound,
                outbound,
                listen.address("ready", side || edge ? null : ""),
                listen.address("control", edge ? "" : null),
                f.text("deployment", "mesh"),
                discovery,
                platform.address("address", null),
                platform.number("ratePerS", 0.0),
                platform.time("lag", "0ms"),
                limits.number("cpuShare", 1.0),
                limits.whole("memoryMb", 0L),
                limits.whole("maxFds", 0L),
                limits.whole("diskMb", 0L),
                f.has("faultBudget") ? (int) f.section("faultBudget").whole("machines", 1L) : 1,
                bounds(b),
                metering);
    }

    private static Bounds bounds(Fields b) {
        return new Bounds(
                atLeast(b, "quiet", 100),
                atLeast(b, "ack", 100),
                b.time("catchUp", "4s"),
                atLeast(b, "drain", 50),
                atLeast(b, "grace", 100),
                b.time("lossSlack", "200ms"),
                atLeast(b, "apply", 100),
                b.time("revertSlack", "250ms"),
                b.time("stretch", "8000ms"),
                b.number("retryRatio", 0.0),
                atLeast(b, "retryWindow", 100),
                b.number("retrySlack", 0.0),
                b.number("warmExcess", 1.0),
                b.number("warmSlack", 0.0),
                b.has("evac") ? atLeast(b, "evac", 100) : 0,
                b.time("recover", "15s"),
                b.has("keyWindow") ? atLeast(b, "keyWindow", 1000) : 60_000,
                b.has("quotaWindow") ? atLeast(b, "quotaWindow", 100) : 5000,
                share(b, "quotaExcess"),
                share(b, "quotaSlack"));
    }

    /** Null where the platform names no such duty; others it names are not this program's. Half of what it needs is a fault. */
    private static Metering metering(Fields platform, Fields b) {
        List<String> duties = platform.texts("duties");
        if (!duties.contains(METERING)) {
            return null;
        }
        return new Metering(
                platform.number("dutyPerS", 1.0),
                b.has("lease") ? atLeast(b, "lease", 100) : 0,
                atLeast(b, "reportWindow", 100),
                atLeast(b, "usageLate", 100));
    }

    private static double share(Fields b, String field) {
        double d = b.number(field, 0.0);
        if (d < 0) {
            b.fault(field, "must not be below 0");
        }
        return d;
    }

    private static long atLeast(Fields b, String field, long least) {
        long ms = b.time(field, null);
        if (b.has(field) && ms < least) {
            b.fault(field, "must be at least " + least + "ms");
        }
        return ms;
    }
}
