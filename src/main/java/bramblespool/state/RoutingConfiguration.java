package bramblespool.state;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One version of the operator's configuration, compiled for routing, with the document as it was sent. */
public final class RoutingConfiguration {
    public static final int PRIORITY_LEVELS = 16;

    private static final String ROUTE_TABLE = "routeTable";
    private static final String SERVICE_TABLE = "serviceTable";
    private static final String TENANT_TABLE = "principals";

    public final long epoch;
    /** Tells documents of one number apart: a change that lost its race from the one that won. */
    public final String stamp;
    /** The document as it was sent, packed. */
    public final String compressedDocument;

    public final Map<String, Service> services;
    public final RequestLimits limits;
    public final int routeCount;
    private final Map<String, HostRoutes> routesByHost;
    /** The tenants by their keys, or null where no keys are asked for. */
    private final Map<String, Tenant> tenantsByKey;

    private final Map<String, Tenant> tenantsByName;

    /** The routes of one host by their prefixes. */
    private record HostRoutes(Map<String, Route> routesByPrefix, int longestPrefix) {}

    private RoutingConfiguration(
            long epoch,
            String compressedDocument,
            Map<String, Service> services,
            RequestLimits limits,
            Map<String, List<Route>> routeListsByHost,
            Map<String, Tenant> tenantsByKey,
            Map<String, Tenant> tenantsByName) {
        this.tenantsByKey = tenantsByKey;
        this.tenantsByName = tenantsByName;
        this.epoch = epoch;
        this.compressedDocument = compressedDocument;
        this.stamp = stampOf(compressedDocument);
        this.services = services;
        this.limits = limits;
        Map<String, HostRoutes> hostRoutes = new HashMap<>();
        int count = 0;
        for (Map.Entry<String, List<Route>> hostEntry : routeListsByHost.entrySet()) {
            Map<String, Route> byPrefix = new HashMap<>();
            int longestPrefix = 0;
            for (Route route : hostEntry.getValue()) {
                byPrefix.put(route.prefix(), route);
                longestPrefix = Math.max(longestPrefix, route.prefix().length());
            }
            hostRoutes.put(hostEntry.getKey(), new HostRoutes(byPrefix, longestPrefix));
            count += byPrefix.size();
        }
        this.routesByHost = hostRoutes;
        this.routeCount = count;
    }

    public static String stampOf(String compressedDocument) {
        return Integer.toHexString(compressedDocument.hashCode());
    }

    /** The tag that names this version on calls. */
    public String tag() {
        return "t" + epoch + "-" + stamp;
    }

    /** Whether this is the document meant; who gives no stamp means any of that number. */
    public boolean matches(long otherEpoch, String otherStamp) {
        return epoch == otherEpoch && (otherStamp.isEmpty() || otherStamp.equals(stamp));
    }

    /** Whether requests must say whose they are. */
    public boolean requiresTenantKey() {
        return tenantsByKey != null;
    }

    /** Whose key it is, or null where no tenant holds it. */
    public Tenant tenantOfKey(String key) {
        return tenantsByKey == null ? null : tenantsByKey.get(key);
    }

    public Tenant tenant(String name) {
        return tenantsByName.get(name);
    }

    /** The rank of a request: its tenant's, where that has one, before the route's. */
    public int priority(Route route, String tenant) {
        Tenant tenantSettings = tenant == null ? null : tenantsByName.get(tenant);
        return tenantSettings == null || tenantSettings.priority() < 0 ? route.priority() : tenantSettings.priority();
    }

    /** The longest prefix on the exact bytes of the path, or null. Every prefix ends with a slash. */
    public Route route(String host, String path) {
        HostRoutes hostRoutes = routesByHost.get(hostKey(host));
        if (hostRoutes == null) {
            return null;
        }
        int slash = path.lastIndexOf('/', Math.min(path.length(), hostRoutes.longestPrefix) - 1);
        while (slash >= 0) {
            Route candidate = hostRoutes.routesByPrefix.get(path.substring(0, slash + 1));
            if (candidate != null) {
                return candidate;
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return null;
    }

    private static String hostKey(String host) {
        int colon = host.lastIndexOf(':');
        if (colon > 0 && host.indexOf(']') < colon) {
            host = host.substring(0, colon);
        }
        return host.toLowerCase(java.util.Locale.ROOT);
    }

    /** Parses a whole document as it came; it must be UTF-8. */
    public static JsonObject parseDocument(byte[] document) throws InvalidConfigurationException {
        try {
            return parseDocument(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(document))
                    .toString());
        } catch (CharacterCodingException e) {
            throw new InvalidConfigurationException(List.of("cannot be read whole as UTF-8"));
        }
    }

    /** Parses a whole document; the tree must be an object. Nothing is mended: what is not quite JSON is no JSON. */
    public static JsonObject parseDocument(String document) throws InvalidConfigurationException {
        JsonElement json;
        try (JsonReader reader = new JsonReader(new StringReader(document))) {
            reader.setStrictness(Strictness.STRICT);
            json = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new InvalidConfigurationException(List.of("holds more than one JSON value"));
            }
        } catch (JsonParseException | IOException | StackOverflowError e) {
            throw new InvalidConfigurationException(List.of("cannot be read whole as JSON"));
        }
        if (!json.isJsonObject()) {
            throw new InvalidConfigurationException(List.of("is not a JSON object"));
        }
        return json.getAsJsonObject();
    }

    public static RoutingConfiguration compile(String document) throws InvalidConfigurationException {
        return compile(parseDocument(document), CompressedDocument.compress(document));
    }

    public static RoutingConfiguration compileCompressed(String compressedDocument)
            throws InvalidConfigurationException {
        return compile(parseDocument(CompressedDocument.decompress(compressedDocument)), compressedDocument);
    }

    public static RoutingConfiguration compile(JsonObject json, String compressedDocument)
            throws InvalidConfigurationException {
        List<String> faults = new ArrayList<>();
        DocumentReader reader = new DocumentReader(json, "", faults);
        long epoch = reader.wholeNumber("epoch", null);
        Map<String, Service> services = new LinkedHashMap<>();
        for (DocumentReader rowReader : rows(json, SERVICE_TABLE, faults)) {
            Service service = new Service(
                    rowReader.string("name"),
                    rowReader.string("probePath", "/"),
                    (int) rowReader.wholeNumber("maxConns", 0L),
                    rowReader.durationMs("warmup", "0ms"),
                    rowReader.number("warmPerS", 0.0),
                    rowReader.booleanValue("selfDedup", false));
            if (service.name() != null && services.put(service.name(), service) != null) {
                rowReader.addFault("name", "stands twice: " + service.name());
            }
        }
        Map<String, List<Route>> routeListsByHost = new LinkedHashMap<>();
        Set<String> usedPrefixes = new HashSet<>();
        Set<String> routeNames = new HashSet<>();
        for (DocumentReader rowReader : rows(json, ROUTE_TABLE, faults)) {
            Route route = route(rowReader, services);
            if (route.name() != null && !routeNames.add(route.name())) {
                rowReader.addFault("name", "stands twice: " + route.name());
            }
            if (route.authority() != null && route.prefix() != null) {
                if (!usedPrefixes.add(hostKey(route.authority()) + " " + route.prefix())) {
                    rowReader.addFault(
                            "pathPrefix", "same place as another route: " + route.authority() + route.prefix());
                }
                routeListsByHost
                        .computeIfAbsent(hostKey(route.authority()), k -> new ArrayList<>())
                        .add(route);
            }
        }
        RequestLimits limits = RequestLimits.DEFAULT;
        if (reader.has("limits")) {
            DocumentReader limitsReader = reader.section("limits");
            limits = new RequestLimits(
                    limitsReader.wholeNumber("headerBytes", RequestLimits.DEFAULT.headerBytes()),
                    limitsReader.wholeNumber("bodyBytes", RequestLimits.DEFAULT.bodyBytes()),
                    limitsReader.durationMs("headerRead", "5s"),
                    limitsReader.durationMs("idle", "15s"));
        }
        Map<String, Tenant> tenantsByName = new LinkedHashMap<>();
        Map<String, Tenant> tenantsByKey =
                reader.has(TENANT_TABLE) ? readTenants(rows(json, TENANT_TABLE, faults), tenantsByName) : null;
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return new RoutingConfiguration(
                epoch, compressedDocument, services, limits, routeListsByHost, tenantsByKey, tenantsByName);
    }

    /** The tenants by their keys. Faults name the tenants, never a key. */
    @SuppressWarnings("ReferenceEquality") // a key may stand twice in the very same row
    private static Map<String, Tenant> readTenants(List<DocumentReader> rows, Map<String, Tenant> tenantsByName) {
        Map<String, Tenant> tenantsByKey = new HashMap<>();
        for (DocumentReader reader : rows) {
            double ratePerSecond = reader.number("ratePerS", 0.0);
            double burst = reader.number("burst", 0.0);
            if (ratePerSecond < 0) {
                reader.addFault("ratePerS", "must not be below 0");
            }
            if (burst < 0) {
                reader.addFault("burst", "must not be below 0");
            }
            int priority = reader.has("rank")
                    ? (int) Math.max(0, Math.min(PRIORITY_LEVELS - 1, reader.wholeNumber("rank", 0L)))
                    : -1;
            Tenant tenant = new Tenant(reader.string("name"), priority, ratePerSecond, burst);
            if (tenant.name() == null) {
                continue;
            }
            if (tenant.name().isBlank() || !tenant.name().chars().allMatch(c -> c > ' ' && c < 127)) {
                reader.addFault("name", "must be of printable letters without spaces");
            }
            if (tenantsByName.put(tenant.name(), tenant) != null) {
                reader.addFault("name", "stands twice: " + tenant.name());
            }
            for (String key : reader.strings("apiKeys")) {
                if (key.isBlank()) {
                    reader.addFault("apiKeys", "hold an empty key");
                    continue;
                }
                Tenant other = tenantsByKey.put(key, tenant);
                if (other != null && other != tenant) {
                    reader.addFault("apiKeys", "share a key with " + other.name());
                }
            }
        }
        return tenantsByKey;
    }

    private static Route route(DocumentReader reader, Map<String, Service> services) {
        String name = reader.string("name");
        String prefix = reader.string("pathPrefix");
        if (prefix != null && (!prefix.startsWith("/") || !prefix.endsWith("/"))) {
            reader.addFault("pathPrefix", "must begin and end with a slash: " + prefix);
        }
        String className = reader.string("routeClass");
        RouteClass routeClass = RouteClass.MUTATING;
        if (className != null) {
            routeClass = reader.enumValue("routeClass", RouteClass.MUTATING);
        }
        List<WeightedTarget> weightedTargets = reader.weightedTargets("shares");
        if (weightedTargets.isEmpty()) {
            String target = reader.string("target");
            if (target != null) {
                weightedTargets = List.of(new WeightedTarget(target, 1));
            }
        }
        for (WeightedTarget weightedTarget : weightedTargets) {
            if (weightedTarget.weight() < 0) {
                reader.addFault("shares", "a weight is below 0: " + weightedTarget.service());
            }
            if (!services.containsKey(weightedTarget.service())) {
                reader.addFault("target", "unknown service: " + weightedTarget.service());
            }
        }
        int priority = (int) Math.max(0, Math.min(PRIORITY_LEVELS - 1, reader.wholeNumber("rank", 0L)));
        return new Route(
                name,
                reader.string("authority"),
                prefix,
                routeClass,
                reader.durationMs("deadline", "0ms"),
                reader.durationMs("goal", "0ms"),
                priority,
                weightedTargets,
                (int) Math.max(1, reader.wholeNumber("maxTries", 1L)),
                reader.booleanValue("public", false));
    }

    private static List<DocumentReader> rows(JsonObject json, String table, List<String> faults) {
        List<DocumentReader> readers = new ArrayList<>();
        List<JsonObject> items = items(json, table, faults);
        for (int i = 0; i < items.size(); i++) {
            readers.add(new DocumentReader(items.get(i), table + "[" + i + "].", faults));
        }
        return readers;
    }

    private static List<JsonObject> items(JsonObject json, String table, List<String> faults) {
        List<JsonObject> result = new ArrayList<>();
        JsonElement tableElement = json.get(table);
        if (tableElement == null
                || !tableElement.isJsonObject()
                || !tableElement.getAsJsonObject().has("columns")
                || !tableElement.getAsJsonObject().get("columns").isJsonArray()
                || !tableElement.getAsJsonObject().has("rows")
                || !tableElement.getAsJsonObject().get("rows").isJsonArray()) {
            faults.add(table + ": must hold columns and rows");
            return result;
        }
        JsonArray columns = tableElement.getAsJsonObject().getAsJsonArray("columns");
        for (JsonElement row : tableElement.getAsJsonObject().getAsJsonArray("rows")) {
            if (!row.isJsonArray() || row.getAsJsonArray().size() != columns.size()) {
                faults.add(table + "[" + result.size() + "]: has not one value for each column");
                continue;
            }
            JsonObject item = new JsonObject();
            for (int i = 0; i < columns.size(); i++) {
                item.add(columns.get(i).getAsString(), row.getAsJsonArray().get(i));
            }
            result.add(item);
        }
        return result;
    }

    /** What differs from another version, as counts and a digest: equal on every daemon that compares the same two. */
    public String difference(RoutingConfiguration other) {
        Map<String, Route> ownRoutes = routesByName();
        Map<String, Route> otherRoutes = other == null ? Map.of() : other.routesByName();
        int added = 0;
        int changed = 0;
        int hash = 17;
        for (Route route : ownRoutes.values()) {
            Route otherRoute = otherRoutes.get(route.name());
            if (otherRoute == null) {
                added++;
            } else if (!otherRoute.equals(route)) {
                changed++;
            } else {
                continue;
            }
            hash += route.hashCode();
        }
        int removed = 0;
        for (Route otherRoute : otherRoutes.values()) {
            if (!ownRoutes.containsKey(otherRoute.name())) {
                removed++;
                hash += otherRoute.name().hashCode() * 31;
            }
        }
        hash = hash * 31 + tenantsByName.hashCode() + (tenantsByKey == null ? 0 : tenantsByKey.hashCode());
        return "+" + added + " ~" + changed + " -" + removed + " " + Integer.toHexString(hash);
    }

    private Map<String, Route> routesByName() {
        Map<String, Route> result = new LinkedHashMap<>();
        for (HostRoutes hostRoutes : routesByHost.values()) {
            for (Route route : hostRoutes.routesByPrefix.values()) {
                result.put(route.name(), route);
            }
        }
        return result;
    }

    /** The whole document that an amendment makes of this one. */
    public JsonObject applyAmendment(JsonObject amendment) throws InvalidConfigurationException {
        List<String> faults = new ArrayList<>();
        JsonObject document = parseDocument(CompressedDocument.decompress(compressedDocument));
        JsonObject upsert = amendmentSection(amendment, "upsert", faults);
        JsonObject remove = amendmentSection(amendment, "remove", faults);
        Set<String> tables = new LinkedHashSet<>(upsert.keySet());
        tables.addAll(remove.keySet());
        for (String table : tables) {
            if (!document.has(table)
                    || !document.get(table).isJsonObject()
                    || !document.getAsJsonObject(table).has("rows")) {
                faults.add(table + ": no such list");
                continue;
            }
            Map<String, JsonObject> itemsByName = new LinkedHashMap<>();
            for (JsonObject item : items(document, table, faults)) {
                itemsByName.put(nameOf(item, table, faults), item);
            }
            if (remove.has(table)) {
                if (!remove.get(table).isJsonArray()) {
                    faults.add("remove." + table + ": must be a list of names");
                } else {
                    remove.getAsJsonArray(table).forEach(name -> itemsByName.remove(name.getAsString()));
                }
            }
            if (upsert.has(table)) {
                for (JsonObject item : items(upsert, table, faults)) {
                    itemsByName.put(nameOf(item, table, faults), item);
                }
            }
            document.add(
                    table,
                    toColumnTable(document.getAsJsonObject(table).getAsJsonArray("columns"), itemsByName.values()));
        }
        if (amendment.has("limits")) {
            document.add("limits", amendment.get("limits"));
        }
        document.add("epoch", amendment.get("epoch"));
        document.remove("baseVersion");
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return document;
    }

    private static JsonObject amendmentSection(JsonObject amendment, String field, List<String> faults) {
        if (!amendment.has(field) || amendment.get(field).isJsonNull()) {
            return new JsonObject();
        }
        if (!amendment.get(field).isJsonObject()) {
            faults.add(field + ": must be an object");
            return new JsonObject();
        }
        return amendment.getAsJsonObject(field);
    }

    private static String nameOf(JsonObject item, String table, List<String> faults) {
        JsonElement name = item.get("name");
        if (name == null || !name.isJsonPrimitive()) {
            faults.add(table + ": an item has no name");
            return "";
        }
        return name.getAsString();
    }

    private static JsonObject toColumnTable(JsonArray existingColumns, Iterable<JsonObject> items) {
        Set<String> columns = new LinkedHashSet<>();
        existingColumns.forEach(column -> columns.add(column.getAsString()));
        items.forEach(i -> columns.addAll(i.keySet()));
        JsonArray columnArray = new JsonArray();
        columns.forEach(columnArray::add);
        JsonArray rows = new JsonArray();
        for (JsonObject item : items) {
            JsonArray row = new JsonArray();
            for (String column : columns) {
                row.add(item.has(column) ? item.get(column) : JsonNull.INSTANCE);
            }
            rows.add(row);
        }
        JsonObject table = new JsonObject();
        table.add("columns", columnArray);
        table.add("rows", rows);
        return table;
    }
}
