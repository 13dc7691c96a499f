package bramblespool.cli;

import bramblespool.state.DocumentReader;
import bramblespool.state.EventLog;
import bramblespool.transport.EventLoop;
import bramblespool.transport.HttpPeerTransport;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
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
        versionProvider = Commands.VersionProvider.class,
        description = "Asks daemons at their peer addresses (first port of portRange) how they stand.")
public final class StatusCommand implements Callable<Integer> {
    /** A follower that has not answered for longer than this is said to be silent. */
    private static final long SILENCE_THRESHOLD_MS = 1000;

    @Parameters(arity = "1..*", paramLabel = "ADDRESS", description = "for example 10.1.0.42:7380")
    private List<String> addresses;

    @Option(names = "--json", description = "print the answers as they came")
    private boolean printsJson;

    @Option(names = "--all", description = "list every weft and hem, not only those that deviate")
    private boolean listsAll;

    @Option(
            names = "--timeout",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "how long to wait for each answer (${DEFAULT-VALUE})")
    private long timeoutMs;

    @Override
    public Integer call() throws IOException {
        for (String address : addresses) {
            if (!DocumentReader.isAddress(address)) {
                System.err.println("bramblespool: '" + address + "' is no address such as 10.1.0.42:7380");
                return ProcessLauncher.EXIT_INVALID;
            }
        }
        EventLog log = new EventLog("status", System.err, EventLog.Level.ERROR);
        EventLoop eventLoop = new EventLoop(log);
        Listeners listeners = new Listeners(eventLoop, log);
        HttpPeerTransport transport = new HttpPeerTransport(
                eventLoop,
                new UpstreamClient(eventLoop, listeners.bufferPool()),
                listeners.bufferPool(),
                timeoutMs,
                log);
        int exitCode = ProcessLauncher.EXIT_OK;
        for (String address : addresses) {
            CompletableFuture<Optional<JsonNode>> answer = new CompletableFuture<>();
            eventLoop.post(() -> transport.call(
                    address,
                    "status",
                    JsonNodeFactory.instance.objectNode(),
                    timeoutMs,
                    response -> answer.complete(Optional.ofNullable(response))));
            Optional<JsonNode> response = answer.join();
            if (response.isEmpty()) {
                System.err.println(address + ": no answer");
                exitCode = ProcessLauncher.EXIT_FAILED;
            } else {
                System.out.println(
                        printsJson ? response.get().toPrettyString() : format(address, response.get(), listsAll));
            }
        }
        System.exit(exitCode);
        return exitCode;
    }

    /** One daemon's answer for people; of the fleet a helm knows, sums first and then what deviates, or with {@code all} everything. */
    public static String format(String address, JsonNode status, boolean listsAll) {
        StringBuilder report = new StringBuilder(address)
                .append(": ")
                .append(status.path("role").asText())
                .append(' ')
                .append(status.path("node").asText())
                .append(" in ")
                .append(status.path("zone").asText());
        appendLine(report, "version in force", status.path("epoch"));
        if (!status.path("role").asText().equals("helm")) {
            appendLine(
                    report,
                    "marks calls with",
                    status.path("tagging").asBoolean() ? "tags (a commit is under way)" : "the bit");
            appendLine(
                    report,
                    "session",
                    status.path("session").asBoolean()
                            ? "with " + status.path("helm").asText()
                            : "none");
            appendLine(
                    report,
                    "servers",
                    status.path("servers").isEmpty()
                            ? "none known"
                            : status.path("servers") + ", "
                                    + (status.path("open").asBoolean() ? "open" : "closed") + ", "
                                    + status.path("load").asInt() + " of "
                                    + status.path("capacity").asInt() + " slots taken or waited for");
            appendLine(
                    report,
                    "operations",
                    status.path("operations").asLong() + " claimed of late, "
                            + status.path("answerBytes").asLong() / 1024 + " kB of answers kept for repeats");
            appendLine(report, "ready", status.path("ready"));
            return report.toString();
        }
        appendLine(report, "member", status.path("self"));
        appendLine(report, "leader", status.path("leader").isTextual() ? status.path("leader") : "none known");
        appendLine(report, "term", status.path("term"));
        appendLine(report, "phase of the commit", status.path("phase"));
        appendLine(
                report,
                "keeps up",
                status.path("strained").asBoolean()
                        ? "no, timers come " + status.path("late").asLong() + " ms late"
                        : "yes");
        appendLine(report, "voters", status.path("voters"));
        if (status.path("leads").asBoolean()) {
            appendLine(report, "unconfirmed", status.path("unconfirmed"));
            status.path("followers")
                    .forEach(follower -> appendLine(
                            report, "follower " + follower.path("member").asText(), describeProgress(follower)));
        }
        status.path("evacuations").fields().forEachRemaining(entry -> {
            if (entry.getValue().asBoolean()) {
                appendLine(report, "evacuated", entry.getKey());
            }
        });
        status.path("duties")
                .fields()
                .forEachRemaining(role -> appendLine(report, "duty " + role.getKey(), role.getValue()));
        appendLine(
                report,
                "registers",
                status.path("registers").asLong() + " held, "
                        + status.path("rounds").asLong() + " rounds begun, "
                        + status.path("unsure").asLong() + " without a certain end"
                        + (status.path("settled").asBoolean() ? "" : "; takes part in none yet"));
        appendLine(
                report,
                "slices of tenants",
                status.path("slices").asLong() + " of "
                        + status.path("slicesInAll").asLong() + " owned here");
        status.path("overLimit")
                .fields()
                .forEachRemaining(tenant -> appendLine(
                        report,
                        "over its limit",
                        tenant.getKey() + ", " + tenant.getValue().asLong() + " times"));
        JsonNode usage = status.path("usage");
        if (usage.isObject()) {
            appendLine(
                    report,
                    "usage reports",
                    "by " + usage.path("holder").asText("nobody") + " under fence "
                            + usage.path("fence").asLong() + ", oldest window not reported "
                            + usage.path("oldest").asLong() + ", now in "
                            + usage.path("current").asLong());
        }
        appendProxies(report, status.path("sides"), listsAll);
        return report.toString();
    }

    /** How far another helm is behind the leader, and why. */
    private static String describeProgress(JsonNode follower) {
        StringBuilder description = new StringBuilder();
        long entriesBehind = follower.path("behind").asLong();
        description.append(
                entriesBehind == 0
                        ? "has all"
                        : entriesBehind + " entries behind, at "
                                + follower.path("match").asLong());
        if (follower.path("size").asLong() > 0) {
            description
                    .append("; ")
                    .append(follower.path("sent").asLong() / 1024)
                    .append(" of ")
                    .append(follower.path("size").asLong() / 1024)
                    .append(" kB under way");
        }
        if (follower.path("snapshots").asLong() > 1) {
            description
                    .append("; ")
                    .append(follower.path("snapshots").asLong())
                    .append(" snapshots since it last had all: its link or disk is too slow" + " for the changes");
        }
        if (follower.path("silentMs").asLong() > SILENCE_THRESHOLD_MS) {
            description
                    .append("; silent for ")
                    .append(follower.path("silentMs").asLong())
                    .append(" ms");
        }
        if (follower.path("differs").asBoolean()) {
            description.append("; its state differs, it takes a snapshot anew");
        }
        return description.toString();
    }

    private static void appendProxies(StringBuilder report, JsonNode proxies, boolean listsAll) {
        Map<String, int[]> zones = new TreeMap<>();
        Map<String, int[]> services = new TreeMap<>();
        StringBuilder listed = new StringBuilder();
        proxies.fields().forEachRemaining(entry -> {
            JsonNode proxy = entry.getValue();
            boolean hasSession = proxy.path("member").asBoolean();
            boolean hasLeft = proxy.path("gone").asBoolean();
            if (!hasLeft) {
                count(zones, proxy.path("zone").asText(), hasSession);
                proxy.path("doors")
                        .forEach(endpoint -> count(
                                services,
                                endpoint.path("target").asText(),
                                hasSession && endpoint.path("open").asBoolean()));
            }
            String anomaly = hasLeft ? "has left" : hasSession ? anomalyOf(proxy.path("doors")) : "no session";
            // One that has left is no trouble; it is remembered so that old news cannot bring it back.
            if (listsAll || !hasLeft && !anomaly.isEmpty()) {
                appendLine(
                        listed,
                        entry.getKey(),
                        (anomaly.isEmpty() ? "member" : anomaly) + describeEndpoints(proxy.path("doors")));
            }
        });
        zones.forEach((zone, counts) ->
                appendLine(report, "zone " + zone, counts[1] + " of " + counts[0] + " sides have a session"));
        services.forEach((service, counts) ->
                appendLine(report, "service " + service, counts[1] + " of " + counts[0] + " doors open"));
        report.append(listed);
    }

    private static void count(Map<String, int[]> countsByKey, String key, boolean isHealthy) {
        int[] counts = countsByKey.computeIfAbsent(key, k -> new int[2]);
        counts[0]++;
        counts[1] += isHealthy ? 1 : 0;
    }

    /** What is unusual about a member's doors, or nothing. */
    private static String anomalyOf(JsonNode endpoints) {
        for (JsonNode endpoint : endpoints) {
            if (!endpoint.path("open").asBoolean()) {
                return endpoint.path("servers").asText().isEmpty() ? "no server known" : "closed";
            }
            if (endpoint.path("ill").asDouble() > 0) {
                return "server fails a part of its requests";
            }
        }
        return "";
    }

    private static String describeEndpoints(JsonNode endpoints) {
        StringBuilder description = new StringBuilder();
        for (JsonNode endpoint : endpoints) {
            description
                    .append("; ")
                    .append(endpoint.path("target").asText())
                    .append(": ")
                    .append(endpoint.path("servers").asText("none"))
                    .append(endpoint.path("open").asBoolean() ? ", open" : ", closed");
        }
        return description.toString();
    }

    private static void appendLine(StringBuilder report, String label, Object value) {
        report.append("\n  ")
                .append(label)
                .append(": ")
                .append(value instanceof JsonNode node && node.isTextual() ? node.asText() : value);
    }
}
