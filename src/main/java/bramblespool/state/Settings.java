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
        int firstPort,
        int lastPort,
        List<String> seedPeers,
        boolean isBootstrap,
        boolean isVoter,
        String dataDirectory,
        long heartbeatIntervalMs,
        String applicationAddress,
        String serviceName,
        Map<String, String> zones,
        String inboundAddress,
        String outboundAddress,
        String readinessAddress,
        String controlAddress,
        String deployment,
        Discovery discovery,
        String platformAddress,
        double platformRatePerSecond,
        long platformLagMs,
        double cpuShare,
        long memoryMb,
        long maxFileDescriptors,
        long diskMb,
        int tolerableMachineLosses,
        Bounds bounds,
        UsageReporting usageReporting) {

    /** Where the list of servers comes from: the servers' own beats, or the platform. */
    public enum Discovery {
        STATIC,
        PLATFORM
    }

    /** How clients reach the data plane: on its own machines, or through the platform's address. */
    public enum ClientEntry {
        STATIC,
        VIRTUAL_IP
    }

    private static final String EDGE_MACHINE = "edge";
    private static final String SIDECAR_MACHINE = "sidecar";
    private static final String USAGE_REPORTING_ROLE = "metering";

    /** The duty of reporting usage: how many calls a second the platform takes, and the figures of its rules. */
    public record UsageReporting(double callsPerSecond, long leaseMs, long reportWindowMs, long usageLateMs) {}

    /** The figures of the rules that are in force. */
    public record Bounds(
            long quietPeriodMs,
            long acknowledgementMs,
            long catchUpMs,
            long drainMs,
            long shutdownGraceMs,
            long lossToleranceMs,
            long applyMs,
            long revertToleranceMs,
            long stretchMs,
            double retryRatio,
            long retryWindowMs,
            double retryAllowance,
            double slowStartExcess,
            double slowStartAllowance,
            long evacuationMs,
            long recoveryMs,
            long idempotencyKeyWindowMs,
            long rateLimitWindowMs,
            double rateLimitExcess,
            double rateLimitAllowance) {}

    /** A settings file that cannot be used: all its faults, each naming its field. */
    public static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1L;

        public InvalidSettingsException(String file, List<String> faults) {
            super(file + ": " + String.join("; ", faults));
        }
    }

    /** Whether this is a machine that outside clients come to. */
    public boolean isEdge() {
        return machineClass.equals(EDGE_MACHINE);
    }

    /** The port on which the system's own daemons talk to each other, the same on all machines. */
    public String peerAddress() {
        return ip + ":" + firstPort;
    }

    /** The peer address of a machine of which only another address is known. */
    public String peerAddressOf(String address) {
        return address.substring(0, address.lastIndexOf(':') + 1) + firstPort;
    }

    public static Settings read(Path file) throws InvalidSettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    file.toString(), List.of("cannot be read (" + e.getClass().getSimpleName() + ")"));
        }
        return parse(text, file.toString());
    }

    public static Settings parse(String toml, String file) throws InvalidSettingsException {
        JsonObject json;
        try {
            json = JsonParser.parseString(new TomlMapper().readTree(toml).toString())
                    .getAsJsonObject();
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException(file, List.of("is no TOML: " + e.getOriginalMessage()));
        }
        List<String> faults = new ArrayList<>();
        Settings settings = build(json, new DocumentReader(json, "", faults));
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(file, faults);
        }
        return settings;
    }

    private static Settings build(JsonObject json, DocumentReader reader) {
        int firstPort = 0;
        int lastPort = 0;
        if (reader.has("portRange")
                && json.get("portRange").isJsonArray()
                && json.getAsJsonArray("portRange").size() == 2) {
            firstPort = json.getAsJsonArray("portRange").get(0).getAsInt();
            lastPort = json.getAsJsonArray("portRange").get(1).getAsInt();
        }
        if (firstPort <= 0 || lastPort < firstPort || lastPort > 65535) {
            reader.addFault("portRange", "must be two ports, the lower first");
        }
        List<String> seedPeers = reader.strings("seedPeers");
        for (String seed : seedPeers) {
            if (!DocumentReader.isAddress(seed)) {
                reader.addFault("seedPeers", "holds '" + seed + "', which is no address");
            }
        }
        String machineClass = reader.string("machineClass");
        boolean isSidecar = SIDECAR_MACHINE.equals(machineClass);
        boolean isEdge = EDGE_MACHINE.equals(machineClass);
        DocumentReader listenersReader = reader.section("listeners");
        DocumentReader limitsReader = reader.section("limits");
        DocumentReader boundsReader = reader.section("bounds");
        String sidecarDefault = isSidecar ? null : "";
        Discovery discovery = reader.enumValue("discovery", Discovery.STATIC);
        reader.enumValue("entry", ClientEntry.STATIC);
        DocumentReader platformReader = discovery == Discovery.PLATFORM || reader.has("platform")
                ? reader.section("platform")
                : new DocumentReader(new JsonObject(), "platform.", new ArrayList<>());
        UsageReporting usageReporting = metering(platformReader, boundsReader);
        // A hem's calls from other hems come to the port after the one for messages.
        String ip = reader.string("ip");
        if (isEdge && lastPort <= firstPort) {
            reader.addFault("portRange", "must leave two ports on an edge machine");
        }
        String inboundAddress =
                isEdge ? ip + ":" + (firstPort + 1) : listenersReader.address("inbound", sidecarDefault);
        String outboundAddress =
                isEdge ? listenersReader.address("front", null) : listenersReader.address("outbound", sidecarDefault);
        return new Settings(
                reader.string("node"),
                reader.string("role", ""),
                machineClass,
                ip,
                reader.string("zone"),
                reader.string("region", ""),
                firstPort,
                lastPort,
                List.copyOf(seedPeers),
                reader.booleanValue("bootstrap", false),
                reader.booleanValue("voting", false),
                reader.string("dataDir", isSidecar || isEdge ? "" : null),
                reader.durationMs("beat", "1500ms"),
                reader.address("appAddr", sidecarDefault),
                reader.string("target", sidecarDefault),
                reader.stringMap("zones"),
                inboundAddress,
                outboundAddress,
                listenersReader.address("ready", isSidecar || isEdge ? null : ""),
                listenersReader.address("control", isEdge ? "" : null),
                reader.string("deployment", "mesh"),
                discovery,
                platformReader.address("address", null),
                platformReader.number("ratePerS", 0.0),
                platformReader.durationMs("lag", "0ms"),
                limitsReader.number("cpuShare", 1.0),
                limitsReader.wholeNumber("memoryMb", 0L),
                limitsReader.wholeNumber("maxFds", 0L),
                limitsReader.wholeNumber("diskMb", 0L),
                reader.has("faultBudget") ? (int) reader.section("faultBudget").wholeNumber("machines", 1L) : 1,
                bounds(boundsReader),
                usageReporting);
    }

    private static Bounds bounds(DocumentReader reader) {
        return new Bounds(
                atLeast(reader, "quiet", 100),
                atLeast(reader, "ack", 100),
                reader.durationMs("catchUp", "4s"),
                atLeast(reader, "drain", 50),
                atLeast(reader, "grace", 100),
                reader.durationMs("lossSlack", "200ms"),
                atLeast(reader, "apply", 100),
                reader.durationMs("revertSlack", "250ms"),
                reader.durationMs("stretch", "8000ms"),
                reader.number("retryRatio", 0.0),
                atLeast(reader, "retryWindow", 100),
                reader.number("retrySlack", 0.0),
                reader.number("warmExcess", 1.0),
                reader.number("warmSlack", 0.0),
                reader.has("evac") ? atLeast(reader, "evac", 100) : 0,
                reader.durationMs("recover", "15s"),
                reader.has("keyWindow") ? atLeast(reader, "keyWindow", 1000) : 60_000,
                reader.has("quotaWindow") ? atLeast(reader, "quotaWindow", 100) : 5000,
                nonNegative(reader, "quotaExcess"),
                nonNegative(reader, "quotaSlack"));
    }

    /** Null where the platform names no such duty; others it names are not this program's. Half of what it needs is a fault. */
    private static UsageReporting metering(DocumentReader platformReader, DocumentReader boundsReader) {
        List<String> singletonRoles = platformReader.strings("duties");
        if (!singletonRoles.contains(USAGE_REPORTING_ROLE)) {
            return null;
        }
        return new UsageReporting(
                platformReader.number("dutyPerS", 1.0),
                boundsReader.has("lease") ? atLeast(boundsReader, "lease", 100) : 0,
                atLeast(boundsReader, "reportWindow", 100),
                atLeast(boundsReader, "usageLate", 100));
    }

    private static double nonNegative(DocumentReader reader, String field) {
        double value = reader.number(field, 0.0);
        if (value < 0) {
            reader.addFault(field, "must not be below 0");
        }
        return value;
    }

    private static long atLeast(DocumentReader reader, String field, long minimumMs) {
        long valueMs = reader.durationMs(field, null);
        if (reader.has(field) && valueMs < minimumMs) {
            reader.addFault(field, "must be at least " + minimumMs + "ms");
        }
        return valueMs;
    }
}
