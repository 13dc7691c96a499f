package bramblespool.state;

import bramblespool.state.Settings.Bounds;
import bramblespool.state.Settings.ClientEntry;
import bramblespool.state.Settings.Discovery;
import bramblespool.state.Settings.UsageReporting;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads a settings file, a TOML document, and checks it whole. Fields that this program doesn't know are ignored. */
public final class SettingsParser {
    private static final String PORT_RANGE = "portRange";
    private static final String SEED_PEERS = "seedPeers";
    private static final String PLATFORM = "platform";
    private static final String TOLERABLE_LOSSES = "faultBudget";

    /** The singleton role, among those that the platform lists, that this program can take. */
    private static final String USAGE_REPORTING_ROLE = "metering";

    private static final int HIGHEST_PORT = 65535;
    /** No rule is given a shorter time than this, save where a field says otherwise. */
    private static final long SHORTEST_TIME_MS = 100;

    private static final long SHORTEST_DRAIN_MS = 50;
    private static final long SHORTEST_KEY_WINDOW_MS = 1000;
    private static final long DEFAULT_KEY_WINDOW_MS = 60_000;
    private static final long DEFAULT_RATE_LIMIT_WINDOW_MS = 5000;

    private final DocumentReader reader;
    private final PortRange ports;
    private final List<String> seedPeers;
    private final String machineClass;
    private final boolean isSidecar;
    private final boolean isEdge;
    private final DocumentReader listeners;
    private final DocumentReader limits;
    private final DocumentReader bounds;
    private final Discovery discovery;
    private final DocumentReader platform;
    private final UsageReporting usageReporting;
    private final String ip;
    private final String inboundAddress;
    private final String outboundAddress;

    /** Lowest and highest port, 0 where the file names none. */
    private record PortRange(int first, int last) {}

    /** Reads what other fields depend on, and in the order in which faults are reported. */
    private SettingsParser(JsonObject json, List<String> faults) {
        reader = new DocumentReader(json, "", faults);
        ports = readPortRange(json);
        seedPeers = readSeedPeers();
        machineClass = reader.string("machineClass");
        isSidecar = Settings.SIDECAR_MACHINE.equals(machineClass);
        isEdge = Settings.EDGE_MACHINE.equals(machineClass);
        listeners = reader.section("listeners");
        limits = reader.section("limits");
        bounds = reader.section("bounds");
        discovery = reader.enumValue("discovery", Discovery.STATIC);
        reader.enumValue("entry", ClientEntry.STATIC);
        platform = readPlatformSection();
        usageReporting = readUsageReporting();
        ip = reader.string("ip");
        inboundAddress = readInboundAddress();
        outboundAddress = readOutboundAddress();
    }

    /**
     * Reads a settings file.
     *
     * @throws InvalidSettingsException where it cannot be read, or with all its faults
     */
    public static Settings read(Path file) throws InvalidSettingsException {
        String toml;
        try {
            toml = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    file.toString(), List.of("cannot be read (" + e.getClass().getSimpleName() + ")"));
        }
        return parse(toml, file.toString());
    }

    /**
     * Reads the text of a settings file.
     *
     * @param file its name, for the message of the exception
     * @throws InvalidSettingsException with all its faults
     */
    public static Settings parse(String toml, String file) throws InvalidSettingsException {
        JsonObject json;
        try {
            json = JsonParser.parseString(new TomlMapper().readTree(toml).toString())
                    .getAsJsonObject();
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException(file, List.of("is no TOML: " + e.getOriginalMessage()));
        }
        List<String> faults = new ArrayList<>();
        Settings settings = new SettingsParser(json, faults).readSettings();
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(file, faults);
        }
        return settings;
    }

    private Settings readSettings() {
        boolean isProxy = isSidecar || isEdge;
        return new Settings(
                reader.string("node"),
                reader.string("role", ""),
                machineClass,
                ip,
                reader.string("zone"),
                reader.string("region", ""),
                ports.first,
                ports.last,
                List.copyOf(seedPeers),
                reader.booleanValue("bootstrap", false),
                reader.booleanValue("voting", false),
                reader.string("dataDir", isProxy ? "" : null),
                reader.durationMs("beat", "1500ms"),
                reader.address("appAddr", sidecarDefault()),
                reader.string("target", sidecarDefault()),
                reader.stringMap("zones"),
                inboundAddress,
                outboundAddress,
                listeners.address("ready", isProxy ? null : ""),
                listeners.address("control", isEdge ? "" : null),
                reader.string("deployment", "mesh"),
                discovery,
                platform.address("address", null),
                platform.number("ratePerS", 0.0),
                platform.durationMs("lag", "0ms"),
                limits.number("cpuShare", 1.0),
                limits.wholeNumber("memoryMb", 0L),
                limits.wholeNumber("maxFds", 0L),
                limits.number("linkMbps", 0.0),
                limits.wholeNumber("diskMb", 0L),
                readTolerableLosses(),
                readBounds(),
                usageReporting);
    }

    /** Default of a field that is required on a sidecar, and empty elsewhere where it is left out. */
    private String sidecarDefault() {
        return isSidecar ? null : "";
    }

    /** Gateways call each other on the port after the one for messages between processes. */
    private String readInboundAddress() {
        if (!isEdge) {
            return listeners.address("inbound", sidecarDefault());
        }
        if (ports.last <= ports.first) {
            reader.addFault(PORT_RANGE, "must leave two ports on an edge machine");
        }
        return ip + ":" + (ports.first + 1);
    }

    private String readOutboundAddress() {
        return isEdge ? listeners.address("front", null) : listeners.address("outbound", sidecarDefault());
    }

    private PortRange readPortRange(JsonObject json) {
        PortRange range = new PortRange(0, 0);
        if (json.get(PORT_RANGE) instanceof JsonArray values && values.size() == 2) {
            range = new PortRange(values.get(0).getAsInt(), values.get(1).getAsInt());
        }
        if (range.first <= 0 || range.last < range.first || range.last > HIGHEST_PORT) {
            reader.addFault(PORT_RANGE, "must be two ports, the lower first");
        }
        return range;
    }

    private List<String> readSeedPeers() {
        List<String> peers = reader.strings(SEED_PEERS);
        for (String seedPeer : peers) {
            if (!DocumentReader.isAddress(seedPeer)) {
                reader.addFault(SEED_PEERS, "holds '" + seedPeer + "', which is no address");
            }
        }
        return peers;
    }

    /** The platform's section; one without faults, and empty, where there is none and it is not needed. */
    private DocumentReader readPlatformSection() {
        if (discovery == Discovery.PLATFORM || reader.has(PLATFORM)) {
            return reader.section(PLATFORM);
        }
        return new DocumentReader(new JsonObject(), PLATFORM + ".", new ArrayList<>());
    }

    private int readTolerableLosses() {
        if (!reader.has(TOLERABLE_LOSSES)) {
            return 1;
        }
        return (int) reader.section(TOLERABLE_LOSSES).wholeNumber("machines", 1L);
    }

    private Bounds readBounds() {
        return new Bounds(
                readTime(bounds, "quiet", SHORTEST_TIME_MS),
                readTime(bounds, "ack", SHORTEST_TIME_MS),
                bounds.durationMs("catchUp", "4s"),
                readTime(bounds, "drain", SHORTEST_DRAIN_MS),
                readTime(bounds, "grace", SHORTEST_TIME_MS),
                bounds.durationMs("lossSlack", "200ms"),
                readTime(bounds, "apply", SHORTEST_TIME_MS),
                bounds.durationMs("revertSlack", "250ms"),
                bounds.durationMs("stretch", "8000ms"),
                bounds.number("retryRatio", 0.0),
                readTime(bounds, "retryWindow", SHORTEST_TIME_MS),
                bounds.number("retrySlack", 0.0),
                bounds.number("warmExcess", 1.0),
                bounds.number("warmSlack", 0.0),
                readOptionalTime(bounds, "evac", SHORTEST_TIME_MS, 0),
                bounds.durationMs("recover", "15s"),
                readOptionalTime(bounds, "keyWindow", SHORTEST_KEY_WINDOW_MS, DEFAULT_KEY_WINDOW_MS),
                readOptionalTime(bounds, "quotaWindow", SHORTEST_TIME_MS, DEFAULT_RATE_LIMIT_WINDOW_MS),
                readNonNegative(bounds, "quotaExcess"),
                readNonNegative(bounds, "quotaSlack"));
    }

    /**
     * The usage reporting asked for, or null where the platform doesn't list that role. Other roles that it lists are
     * not this program's. A role without all the figures that it needs is a fault.
     */
    private UsageReporting readUsageReporting() {
        if (!platform.strings("duties").contains(USAGE_REPORTING_ROLE)) {
            return null;
        }
        return new UsageReporting(
                platform.number("dutyPerS", 1.0),
                readOptionalTime(bounds, "lease", SHORTEST_TIME_MS, 0),
                readTime(bounds, "reportWindow", SHORTEST_TIME_MS),
                readTime(bounds, "usageLate", SHORTEST_TIME_MS));
    }

    private static double readNonNegative(DocumentReader reader, String field) {
        double value = reader.number(field, 0.0);
        if (value < 0) {
            reader.addFault(field, "must not be below 0");
        }
        return value;
    }

    private static long readOptionalTime(DocumentReader reader, String field, long shortestMs, long defaultMs) {
        return reader.has(field) ? readTime(reader, field, shortestMs) : defaultMs;
    }

    private static long readTime(DocumentReader reader, String field, long shortestMs) {
        long timeMs = reader.durationMs(field, null);
        if (reader.has(field) && timeMs < shortestMs) {
            reader.addFault(field, "must be at least " + shortestMs + "ms");
        }
        return timeMs;
    }
}
