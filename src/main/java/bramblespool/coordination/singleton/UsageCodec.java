package bramblespool.coordination.singleton;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The JSON form of everything about usage: messages between processes, the gossip entry, and the report as it
 * stands in a register and goes to the platform. Kinds and field names are those of version 0.4.0 and must stay.
 */
public final class UsageCodec {
    /** Kind of the question for what a controller knows of a window. */
    static final String QUERY_KIND = "usage";

    private static final String WINDOW = "window";
    private static final String INCARNATION = "life";
    private static final String FINAL_BEFORE_WINDOW = "through";
    private static final String CHANGE = "change";
    private static final String WINDOWS = "windows";
    private static final String CLUSTER_TIME = "time";
    private static final String NODE = "node";
    private static final String COUNTS = "counts";
    private static final String REPORT_WINDOW = "windowNo";
    private static final String REPORT_COUNTS = "tallies";
    private static final String STATUS_OWNER = "holder";
    private static final String STATUS_FENCING_TOKEN = "fence";
    private static final String STATUS_OLDEST_WINDOW = "oldest";
    private static final String STATUS_CURRENT_WINDOW = "current";
    private static final String STATUS_PROCESSES = "heard";

    private UsageCodec() {}

    /** Encodes what a proxy reports with the renewal of its session. */
    public static ObjectNode encodeUpdate(UsageUpdate update) {
        ObjectNode node = JsonNodeFactory.instance
                .objectNode()
                .put(INCARNATION, update.incarnation())
                .put(FINAL_BEFORE_WINDOW, update.finalBeforeWindow())
                .put(CHANGE, update.change());
        ObjectNode windows = node.putObject(WINDOWS);
        update.runsByWindow().forEach((window, runs) -> putCounts(windows.putObject(Long.toString(window)), runs));
        return node;
    }

    /** Decodes what a proxy reports with the renewal of its session. */
    static UsageUpdate decodeUpdate(JsonNode node) {
        Map<Long, Map<String, Integer>> runsByWindow = new LinkedHashMap<>();
        node.path(WINDOWS)
                .fields()
                .forEachRemaining(
                        window -> runsByWindow.put(Long.parseLong(window.getKey()), decodeCounts(window.getValue())));
        return new UsageUpdate(
                node.path(INCARNATION).asText(),
                node.path(FINAL_BEFORE_WINDOW).asLong(),
                node.path(CHANGE).asLong(),
                runsByWindow);
    }

    /** Writes a receipt into the answer to a session's renewal. */
    static void writeReceipt(ObjectNode response, UsageReceipt receipt) {
        response.put(CHANGE, receipt.change()).put(CLUSTER_TIME, receipt.timeMs());
    }

    /** The receipt in the answer to a session's renewal; empty where the controller takes no usage. */
    public static Optional<UsageReceipt> readReceipt(JsonNode response) {
        return response.has(CHANGE)
                ? Optional.of(new UsageReceipt(
                        response.path(CHANGE).asLong(),
                        response.path(CLUSTER_TIME).asLong()))
                : Optional.empty();
    }

    static ObjectNode encodeQuery(long window) {
        return JsonNodeFactory.instance.objectNode().put(WINDOW, window);
    }

    static long decodeQuery(JsonNode node) {
        return node.path(WINDOW).asLong();
    }

    /** Encodes what a controller knows of a window, by process. */
    static ObjectNode encodeUsage(Map<String, ProcessUsage> usageByProcess) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        usageByProcess.forEach((process, usage) -> {
            ObjectNode usageNode =
                    node.putObject(process).put(NODE, usage.node()).put(FINAL_BEFORE_WINDOW, usage.finalBeforeWindow());
            usage.runsByTenant().ifPresent(runs -> putCounts(usageNode.putObject(COUNTS), runs));
        });
        return node;
    }

    /** Decodes what a controller knows of a window, by process. */
    static Map<String, ProcessUsage> decodeUsage(JsonNode node) {
        Map<String, ProcessUsage> usageByProcess = new LinkedHashMap<>();
        node.fields().forEachRemaining(process -> {
            JsonNode usage = process.getValue();
            usageByProcess.put(
                    process.getKey(),
                    new ProcessUsage(
                            usage.path(NODE).asText(),
                            usage.path(FINAL_BEFORE_WINDOW).asLong(),
                            usage.has(COUNTS) ? Optional.of(decodeCounts(usage.path(COUNTS))) : Optional.empty()));
        });
        return usageByProcess;
    }

    /** The report as it stands in the window's register and goes to the platform. */
    static String encodeReport(WindowReport report) {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put(REPORT_WINDOW, report.window());
        putCounts(node.putObject(REPORT_COUNTS), report.runsByTenant());
        return node.toString();
    }

    /** The body of the gossip entry that names the last window reported. */
    static ObjectNode encodeReportedWindow(long window) {
        return JsonNodeFactory.instance.objectNode().put(WINDOW, window);
    }

    static long decodeReportedWindow(JsonNode node) {
        return node.path(WINDOW).asLong();
    }

    /** A controller's part of the status page. */
    static ObjectNode encodeStatus(UsageStatus status) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(STATUS_OWNER, status.owner())
                .put(STATUS_FENCING_TOKEN, status.fencingToken())
                .put(STATUS_OLDEST_WINDOW, status.oldestWindow())
                .put(STATUS_CURRENT_WINDOW, status.currentWindow())
                .put(STATUS_PROCESSES, status.processes());
    }

    private static void putCounts(ObjectNode target, Map<String, Integer> counts) {
        counts.forEach(target::put);
    }

    private static Map<String, Integer> decodeCounts(JsonNode node) {
        Map<String, Integer> counts = new HashMap<>();
        node.fields()
                .forEachRemaining(tenantCount ->
                        counts.put(tenantCount.getKey(), tenantCount.getValue().asInt()));
        return counts;
    }
}
