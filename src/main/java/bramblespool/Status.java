package bramblespool;

import bramblespool.state.DocumentReader;
import bramblespool.state.EventLog;
import bramblespool.transport.HttpWire;
import bramblespool.transport.Loop;
import bramblespool.transport.Ports;
import bramblespool.transport.Upstream;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks daemons how they stand. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Asks daemons at their peer addresses (first port of portRange) how they stand.")
final class Status implements Callable<Integer> {
    /** A follower that has not answered for longer than this is said to be silent. */
    private static final long SILENT_MS = 1000;

    @Parameters(arity = "1..*", paramLabel = "ADDRESS", description = "for example 10.1.0.42:7380")
    private List<String> addresses;

    @Option(names = "--json", description = "print the answers as they came")
    private boolean json;

    @Option(names = "--all", description = "list every weft and hem, not only those that deviate")
    private boolean all;

    @Option(
            names = "--timeout",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "how long to wait for each answer (${DEFAULT-VALUE})")
    private long timeoutMs;

    @Override
    public Integer call() throws IOException {
        for (String a : addresses) {
            if (!DocumentReader.isAddress(a)) {
                System.err.println("bramblespool: '" + a + "' is no address such as 10.1.0.42:7380");
                return Main.UNFIT;
            }
        }
        EventLog log = new EventLog("status", System.err, EventLog.Level.ERROR);
        Loop loop = new Loop(log);
        Ports ports = new Ports(loop, log);
        HttpWire wire = new HttpWire(loop, new Upstream(loop, ports.buffers()), ports.buffers(), timeoutMs, log);
        int code = Main.OK;
        for (String a : addresses) {
            CompletableFuture<Optional<JsonNode>> answer = new CompletableFuture<>();
            loop.post(() -> wire.call(
                    a,
                    "status",
                    JsonNodeFactory.instance.objectNode(),
                    timeoutMs,
                    n -> answer.complete(Optional.ofNullable(n))));
            Optional<JsonNode> n = answer.join();
            if (n.isEmpty()) {
                System.err.println(a + ": no answer");
                code = Main.FAILED;
            } else {
                System.out.println(json ? n.get().toPrettyString() : text(a, n.get(), all));
            }
        }
        System.exit(code);
        return code;
    }

    /** One daemon's answer for people; of the fleet a helm knows, sums first and then what deviates, or with {@code all} everything. */
    static String text(String address, JsonNode n, boolean all) {
        StringBuilder s = new StringBuilder(address)
                .append(": ")
                .append(n.path("role").asText())
                .append(' ')
                .append(n.path("node").asText())
                .append(" in ")
                .append(n.path("zone").asText());
        line(s, "version in force", n.path("epoch"));
        if (!n.path("role").asText().equals("helm")) {
            line(s, "marks calls with", n.path("tagging").asBoolean() ? "tags (a commit is under way)" : "the bit");
            line(
                    s,
                    "session",
                    n.path("session").asBoolean() ? "with " + n.path("helm").asText() : "none");
            line(
                    s,
                    "servers",
                    n.path("servers").isEmpty()
                            ? "none known"
                            : n.path("servers") + ", "
                                    + (n.path("open").asBoolean() ? "open" : "closed") + ", "
                                    + n.path("load").asInt() + " of "
                                    + n.path("capacity").asInt() + " slots taken or waited for");
            line(
                    s,
                    "operations",
                    n.path("operations").asLong() + " claimed of late, "
                            + n.path("answerBytes").asLong() / 1024 + " kB of answers kept for repeats");
            line(s, "ready", n.path("ready"));
            return s.toString();
        }
        line(s, "member", n.path("self"));
        line(s, "leader", n.path("leader").isTextual() ? n.path("leader") : "none known");
        line(s, "term", n.path("term"));
        line(s, "phase of the commit", n.path("phase"));
        line(
                s,
                "keeps up",
                n.path("strained").asBoolean()
                        ? "no, timers come " + n.path("late").asLong() + " ms late"
                        : "yes");
        line(s, "voters", n.path("voters"));
        if (n.path("leads").asBoolean()) {
            line(s, "unconfirmed", n.path("unconfirmed"));
            n.path("followers")
                    .forEach(f -> line(s, "follower " + f.path("member").asText(), progress(f)));
        }
        n.path("evacuations").fields().forEachRemaining(e -> {
            if (e.getValue().asBoolean()) {
                line(s, "evacuated", e.getKey());
            }
        });
        n.path("duties").fields().forEachRemaining(d -> line(s, "duty " + d.getKey(), d.getValue()));
        line(
                s,
                "registers",
                n.path("registers").asLong() + " held, " + n.path("rounds").asLong() + " rounds begun, "
                        + n.path("unsure").asLong() + " without a certain end"
                        + (n.path("settled").asBoolean() ? "" : "; takes part in none yet"));
        line(
                s,
                "slices of tenants",
                n.path("slices").asLong() + " of " + n.path("slicesInAll").asLong() + " owned here");
        n.path("overLimit")
                .fields()
                .forEachRemaining(t -> line(
                        s, "over its limit", t.getKey() + ", " + t.getValue().asLong() + " times"));
        JsonNode usage = n.path("usage");
        if (usage.isObject()) {
            line(
                    s,
                    "usage reports",
                    "by " + usage.path("holder").asText("nobody") + " under fence "
                            + usage.path("fence").asLong() + ", oldest window not reported "
                            + usage.path("oldest").asLong() + ", now in "
                            + usage.path("current").asLong());
        }
        fleet(s, n.path("sides"), all);
        return s.toString();
    }

    /** How far another helm is behind the leader, and why. */
    private static String progress(JsonNode f) {
        StringBuilder s = new StringBuilder();
        long behind = f.path("behind").asLong();
        s.append(
                behind == 0
                        ? "has all"
                        : behind + " entries behind, at " + f.path("match").asLong());
        if (f.path("size").asLong() > 0) {
            s.append("; ")
                    .append(f.path("sent").asLong() / 1024)
                    .append(" of ")
                    .append(f.path("size").asLong() / 1024)
                    .append(" kB under way");
        }
        if (f.path("snapshots").asLong() > 1) {
            s.append("; ")
                    .append(f.path("snapshots").asLong())
                    .append(" snapshots since it last had all: its link or disk is too slow" + " for the changes");
        }
        if (f.path("silentMs").asLong() > SILENT_MS) {
            s.append("; silent for ").append(f.path("silentMs").asLong()).append(" ms");
        }
        if (f.path("differs").asBoolean()) {
            s.append("; its state differs, it takes a snapshot anew");
        }
        return s.toString();
    }

    private static void fleet(StringBuilder s, JsonNode sides, boolean all) {
        Map<String, int[]> zones = new TreeMap<>();
        Map<String, int[]> services = new TreeMap<>();
        StringBuilder listed = new StringBuilder();
        sides.fields().forEachRemaining(e -> {
            JsonNode side = e.getValue();
            boolean member = side.path("member").asBoolean();
            boolean gone = side.path("gone").asBoolean();
            if (!gone) {
                count(zones, side.path("zone").asText(), member);
                side.path("doors")
                        .forEach(d -> count(
                                services,
                                d.path("target").asText(),
                                member && d.path("open").asBoolean()));
            }
            String odd = gone ? "has left" : member ? odd(side.path("doors")) : "no session";
            // One that has left is no trouble; it is remembered so that old news cannot bring it back.
            if (all || !gone && !odd.isEmpty()) {
                line(listed, e.getKey(), (odd.isEmpty() ? "member" : odd) + doors(side.path("doors")));
            }
        });
        zones.forEach((z, c) -> line(s, "zone " + z, c[1] + " of " + c[0] + " sides have a session"));
        services.forEach((t, c) -> line(s, "service " + t, c[1] + " of " + c[0] + " doors open"));
        s.append(listed);
    }

    private static void count(Map<String, int[]> of, String key, boolean well) {
        int[] c = of.computeIfAbsent(key, k -> new int[2]);
        c[0]++;
        c[1] += well ? 1 : 0;
    }

    /** What is unusual about a member's doors, or nothing. */
    private static String odd(JsonNode doors) {
        for (JsonNode d : doors) {
            if (!d.path("open").asBoolean()) {
                return d.path("servers").asText().isEmpty() ? "no server known" : "closed";
            }
            if (d.path("ill").asDouble() > 0) {
                return "server fails a part of its requests";
            }
        }
        return "";
    }

    private static String doors(JsonNode doors) {
        StringBuilder s = new StringBuilder();
        for (JsonNode d : doors) {
            s.append("; ")
                    .append(d.path("target").asText())
                    .append(": ")
                    .append(d.path("servers").asText("none"))
                    .append(d.path("open").asBoolean() ? ", open" : ", closed");
        }
        return s.toString();
    }

    private static void line(StringBuilder s, String what, Object value) {
        s.append("\n  ")
                .append(what)
                .append(": ")
                .append(value instanceof JsonNode v && v.isTextual() ? v.asText() : value);
    }
}
