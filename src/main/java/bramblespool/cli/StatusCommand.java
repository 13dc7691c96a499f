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

/**
 * Asks processes for their status and prints it. The answers' JSON names are those of the peer message {@code status},
 * which 0.4.0 understands too; the printed text uses the terms of docs/glossary.md. Runs on the main thread, the calls
 * on an event loop of its own.
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.VersionProvider.class,
        description = "Asks processes at their peer addresses (first port of portRange) for their status.")
public final class StatusCommand implements Callable<Integer> {
    /** Roles in a status answer, which keep the names of 0.4.0. */
    private static final String SIDECAR_ROLE = "weft";

    private static final String GATEWAY_ROLE = "hem";
    private static final String CONTROLLER_ROLE = "helm";

    /** A follower that has not answered for longer than this is reported as silent. */
    private static final long SILENCE_THRESHOLD_MS = 1000;

    @Parameters(arity = "1..*", paramLabel = "ADDRESS", description = "for example 10.1.0.42:7380")
    private List<String> addresses;

    @Option(names = "--json", description = "print the answers as received")
    private boolean printsJson;

    @Option(names = "--all", description = "list every sidecar and gateway, not only those with an anomaly")
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

    /**
     * One process's answer as text. Of the proxies that a controller knows, it gives totals and then those with an
     * anomaly, or with {@code listsAll} every one.
     */
    public static String format(String address, JsonNode status, boolean listsAll) {
        StringBuilder report = new StringBuilder(address)
                .append(": ")
                .append(roleName(status.path("role").asText()))
                .append(' ')
                .append(status.path("node").asText())
                .append(" in ")
                .append(status.path("zone").asText());
        appendLine(report, "version in force", status.path("epoch"));
        if (!status.path("role").asText().equals(CONTROLLER_ROLE)) {
            appendLine(
                    report,
                    "marks requests with",
                    status.path("tagging").asBoolean() ? "version tags (a commit is in progress)" : "the commit bit");
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
                                    + status.path("capacity").asInt() + " slots in use or queued for");
            appendLine(
                    report,
                    "idempotency keys",
                    status.path("operations").asLong() + " claimed recently, "
                            + status.path("answerBytes").asLong() / 1024 + " kB of responses stored for repeats");
            appendLine(report, "ready", status.path("ready"));
            return report.toString();
        }
        appendLine(report, "member", status.path("self"));
        appendLine(report, "leader", status.path("leader").isTextual() ? status.path("leader") : "none known");
        appendLine(report, "term", status.path("term"));
        appendLine(report, "commit phase", status.path("phase"));
        appendLine(
                report,
                "overloaded",
                status.path("strained").asBoolean()
                        ? "yes, timers run " + status.path("late").asLong() + " ms late"
                        : "no");
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
                .forEachRemaining(role -> appendLine(report, "singleton role " + role.getKey(), role.getValue()));
        appendLine(
                report,
                "registers",
                status.path("registers").asLong() + " stored, "
                        + status.path("rounds").asLong() + " proposal rounds started, "
                        + status.path("unsure").asLong() + " with an unknown outcome"
                        + (status.path("settled").asBoolean() ? "" : "; takes part in no round yet"));
        appendLine(
                report,
                "tenant shards",
                status.path("slices").asLong() + " of "
                        + status.path("slicesInAll").asLong() + " owned here");
        status.path("overLimit")
                .fields()
                .forEachRemaining(tenant -> appendLine(
                        report,
                        "over its rate limit",
                        tenant.getKey() + ", " + tenant.getValue().asLong() + " times"));
        JsonNode usage = status.path("usage");
        if (usage.isObject()) {
            appendLine(
                    report,
                    "usage reports",
                    "by " + usage.path("holder").asText("no owner") + " with fencing token "
                            + usage.path("fence").asLong() + ", oldest window not reported "
                            + usage.path("oldest").asLong() + ", now in "
                            + usage.path("current").asLong());
        }
        appendProxies(report, status.path("sides"), listsAll);
        return report.toString();
    }

    private static String roleName(String role) {
        return switch (role) {
            case SIDECAR_ROLE -> "sidecar";
            case GATEWAY_ROLE -> "gateway";
            case CONTROLLER_ROLE -> "controller";
            default -> role;
        };
    }

    /** How far another controller is behind the leader, and why. */
    private static String describeProgress(JsonNode follower) {
        StringBuilder description = new StringBuilder();
        long entriesBehind = follower.path("behind").asLong();
        description.append(
                entriesBehind == 0
                        ? "up to date"
                        : entriesBehind + " entries behind, at "
                                + follower.path("match").asLong());
        if (follower.path("size").asLong() > 0) {
            description
                    .append("; ")
                    .append(follower.path("sent").asLong() / 1024)
                    .append(" of ")
                    .append(follower.path("size").asLong() / 1024)
                    .append(" kB sent");
        }
        if (follower.path("snapshots").asLong() > 1) {
            description
                    .append("; ")
                    .append(follower.path("snapshots").asLong())
                    .append(" snapshots since it was last up to date: its link or disk is too slow for the changes");
        }
        if (follower.path("silentMs").asLong() > SILENCE_THRESHOLD_MS) {
            description
                    .append("; silent for ")
                    .append(follower.path("silentMs").asLong())
                    .append(" ms");
        }
        if (follower.path("differs").asBoolean()) {
            description.append("; its state differs, it installs a new snapshot");
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
            // A proxy that has left is no anomaly; its entry is kept so that an outdated update cannot bring it back.
            if (listsAll || !hasLeft && !anomaly.isEmpty()) {
                appendLine(
                        listed,
                        entry.getKey(),
                        (anomaly.isEmpty() ? "member" : anomaly) + describeEndpoints(proxy.path("doors")));
            }
        });
        zones.forEach((zone, counts) ->
                appendLine(report, "zone " + zone, counts[1] + " of " + counts[0] + " proxies have a session"));
        services.forEach((service, counts) ->
                appendLine(report, "service " + service, counts[1] + " of " + counts[0] + " endpoints open"));
        report.append(listed);
    }

    private static void count(Map<String, int[]> countsByKey, String key, boolean isHealthy) {
        int[] counts = countsByKey.computeIfAbsent(key, k -> new int[2]);
        counts[0]++;
        counts[1] += isHealthy ? 1 : 0;
    }

    /** The first anomaly of a proxy's endpoints, or an empty string. */
    private static String anomalyOf(JsonNode endpoints) {
        for (JsonNode endpoint : endpoints) {
            if (!endpoint.path("open").asBoolean()) {
                return endpoint.path("servers").asText().isEmpty() ? "no server known" : "closed";
            }
            if (endpoint.path("ill").asDouble() > 0) {
                return "server fails some of its requests";
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
