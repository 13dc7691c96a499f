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
public final class Config {
    public static final int RANKS = 16;

    public record Share(String target, double share) {}

    /** Which requests may run more than once: any number of times, at most once a try, or at most once for each key. */
    public enum RouteClass {
        IDEMPOTENT,
        MUTATING,
        KEYED
    }

    /** {@code open}: whether it may be used without a tenant's key. */
    public record Route(
            String name,
            String authority,
            String prefix,
            RouteClass kind,
            long deadline,
            long goal,
            int rank,
            List<Share> shares,
            int maxTries,
            boolean open) {
        public boolean idempotent() {
            return kind == RouteClass.IDEMPOTENT;
        }

        public boolean keyed() {
            return kind == RouteClass.KEYED;
        }

        public boolean leadsTo(String service) {
            for (Share s : shares) {
                if (s.target.equals(service) && s.share > 0) {
                    return true;
                }
            }
            return false;
        }
    }

    /** {@code dedups}: whether it keeps its own record of operation keys. */
    public record Service(String name, String probePath, int maxConns, long warmup, double warmPerS, boolean dedups) {}

    /** Who calls. {@code rank} is -1 where the route's holds; a {@code ratePerS} of 0 is no limit. */
    public record Tenant(String name, int rank, double ratePerS, double burst) {}

    public record Limits(long headerBytes, long bodyBytes, long headerRead, long idle) {
        public static final Limits UNSET = new Limits(16384, 64L << 20, 5000, 15000);
    }

    /** A configuration that may not come into force, with every fault found. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        /** So many faults are named; of the others only how many there are. */
        private static final int NAMED = 20;

        public Invalid(List<String> faults) {
            super(String.join("; ", faults.subList(0, Math.min(NAMED, faults.size())))
                    + (faults.size() > NAMED ? "; and " + (faults.size() - NAMED) + " more" : ""));
        }
    }

    private static final String ROUTES = "routeTable";
    private static final String SERVICES = "serviceTable";
    private static final String TENANTS = "principals";

    public final long epoch;
    /** Tells documents of one number apart: a change that lost its race from the one that won. */
    public final String stamp;
    /** The document as it was sent, packed. */
    public final String packed;

    public final Map<String, Service> services;
    public final Limits limits;
    public final int routeCount;
    private final Map<String, Places> byHost;
    /** The tenants by their keys, or null where no keys are asked for. */
    private final Map<String, Tenant> byKey;

    private final Map<String, Tenant> tenants;

    /** The routes of one host by their prefixes. */
    private record Places(Map<String, Route> routes, int longest) {}

    private Config(
            long epoch,
            String packed,
            Map<String, Service> services,
            Limits limits,
            Map<String, List<Route>> hosts,
            Map<String, Tenant> byKey,
            Map<String, Tenant> tenants) {
        this.byKey = byKey;
        this.tenants = tenants;
        this.epoch = epoch;
        this.packed = packed;
        this.stamp = stamp(packed);
        this.services = services;
        this.limits = limits;
        Map<String, Places> places = new HashMap<>();
        int n = 0;
        for (Map.Entry<String, List<Route>> e : hosts.entrySet()) {
            Map<String, Route> of = new HashMap<>();
            int longest = 0;
            for (Route r : e.getValue()) {
                of.put(r.prefix, r);
                longest = Math.max(longest, r.prefix.length());
            }
            places.put(e.getKey(), new Places(of, longest));
            n += of.size();
        }
        this.byHost = places;
        this.routeCount = n;
    }

    public static String stamp(String packed) {
        return Integer.toHexString(packed.hashCode());
    }

    /** The tag that names this version on calls. */
    public String tag() {
        return "t" + epoch + "-" + stamp;
    }

    /** Whether this is the document meant; who gives no stamp means any of that number. */
    public boolean is(long number, String ofStamp) {
        return epoch == number && (ofStamp.isEmpty() || ofStamp.equals(stamp));
    }

    /** Whether requests must say whose they are. */
    public boolean asksForKeys() {
        return byKey != null;
    }

    /** Whose key it is, or null where no tenant holds it. */
    public Tenant holder(String key) {
        return byKey == null ? null : byKey.get(key);
    }

    public Tenant tenant(String name) {
        return tenants.get(name);
    }

    /** The rank of a request: its tenant's, where that has one, before the route's. */
    public int rank(Route route, String tenant) {
        Tenant t = tenant == null ? null : tenants.get(tenant);
        return t == null || t.rank < 0 ? route.rank : t.rank;
    }

    /** The longest prefix on the exact bytes of the path, or null. Every prefix ends with a slash. */
    public Route route(String host, String path) {
        Places places = byHost.get(hostKey(host));
        if (places == null) {
            return null;
        }
        int at = path.lastIndexOf('/', Math.min(path.length(), places.longest) - 1);
        while (at >= 0) {
            Route r = places.routes.get(path.substring(0, at + 1));
            if (r != null) {
                return r;
            }
            at = path.lastIndexOf('/', at - 1);
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
    public static JsonObject tree(byte[] document) throws Invalid {
        try {
            return tree(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(document))
                    .toString());
        } catch (CharacterCodingException e) {
            throw new Invalid(List.of("cannot be read whole as UTF-8"));
        }
    }

    /** Parses a whole document; the tree must be an object. Nothing is mended: what is not quite JSON is no JSON. */
    public static JsonObject tree(String document) throws Invalid {
        JsonElement tree;
        try (JsonReader reader = new JsonReader(new StringReader(document))) {
            reader.setStrictness(Strictness.STRICT);
            tree = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new Invalid(List.of("holds more than one JSON value"));
            }
        } catch (JsonParseException | IOException | StackOverflowError e) {
            throw new Invalid(List.of("cannot be read whole as JSON"));
        }
        if (!tree.isJsonObject()) {
            throw new Invalid(List.of("is not a JSON object"));
        }
        return tree.getAsJsonObject();
    }

    public static Config compile(String document) throws Invalid {
        return compile(tree(document), Packed.pack(document));
    }

    public static Config unpack(String packed) throws Invalid {
        return compile(tree(Packed.unpack(packed)), packed);
    }

    public static Config compile(JsonObject tree, String packed) throws Invalid {
        List<String> faults = new ArrayList<>();
        Fields f = new Fields(tree, "", faults);
        long epoch = f.whole("epoch", null);
        Map<String, Service> services = new LinkedHashMap<>();
        for (Fields row : rows(tree, SERVICES, faults)) {
            Service s = new Service(
                    row.text("name"),
                    row.text("probePath", "/"),
                    (int) row.whole("maxConns", 0L),
                    row.time("warmup", "0ms"),
                    row.number("warmPerS", 0.0),
                    row.flag("selfDedup", false));
            if (s.name != null && services.put(s.name, s) != null) {
                row.fault("name", "stands twice: " + s.name);
            }
        }
        Map<String, List<Route>> hosts = new LinkedHashMap<>();
        Set<String> places = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (Fields row : rows(tree, ROUTES, faults)) {
            Route r = route(row, services);
            if (r.name != null && !names.add(r.name)) {
                row.fault("name", "stands twice: " + r.name);
            }
            if (r.authority != null && r.prefix != null) {
                if (!places.add(hostKey(r.authority) + " " + r.prefix)) {
                    row.fault("pathPrefix", "same place as another route: " + r.authority + r.prefix);
                }
                hosts.computeIfAbsent(hostKey(r.authority), k -> new ArrayList<>())
                        .add(r);
            }
        }
        Limits limits = Limits.UNSET;
        if (f.has("limits")) {
            Fields l = f.section("limits");
            limits = new Limits(
                    l.whole("headerBytes", Limits.UNSET.headerBytes),
                    l.whole("bodyBytes", Limits.UNSET.bodyBytes),
                    l.time("headerRead", "5s"),
                    l.time("idle", "15s"));
        }
        Map<String, Tenant> tenants = new LinkedHashMap<>();
        Map<String, Tenant> byKey = f.has(TENANTS) ? keys(rows(tree, TENANTS, faults), tenants) : null;
        if (!faults.isEmpty()) {
            throw new Invalid(faults);
        }
        return new Config(epoch, packed, services, limits, hosts, byKey, tenants);
    }

    /** The tenants by their keys. Faults name the tenants, never a key. */
    private static Map<String, Tenant> keys(List<Fields> rows, Map<String, Tenant> tenants) {
        Map<String, Tenant> byKey = new HashMap<>();
        for (Fields row : rows) {
            double rate = row.number("ratePerS", 0.0);
            double burst = row.number("burst", 0.0);
            if (rate < 0) {
                row.fault("ratePerS", "must not be below 0");
            }
            if (burst < 0) {
                row.fault("burst", "must not be below 0");
            }
            int rank = row.has("rank") ? (int) Math.max(0, Math.min(RANKS - 1, row.whole("rank", 0L))) : -1;
            Tenant t = new Tenant(row.text("name"), rank, rate, burst);
            if (t.name == null) {
                continue;
            }
            if (t.name.isBlank() || !t.name.chars().allMatch(c -> c > ' ' && c < 127)) {
                row.fault("name", "must be of printable letters without spaces");
            }
            if (tenants.put(t.name, t) != null) {
                row.fault("name", "stands twice: " + t.name);
            }
            for (String key : row.texts("apiKeys")) {
                if (key.isBlank()) {
                    row.fault("apiKeys", "hold an empty key");
                    continue;
                }
                Tenant other = byKey.put(key, t);
                if (other != null && other != t) {
                    row.fault("apiKeys", "share a key with " + other.name);
                }
            }
        }
        return byKey;
    }

    private static Route route(Fields row, Map<String, Service> services) {
        String name = row.text("name");
        String prefix = row.text("pathPrefix");
        if (prefix != null && (!prefix.startsWith("/") || !prefix.endsWith("/"))) {
            row.fault("pathPrefix", "must begin and end with a slash: " + prefix);
        }
        String kind = row.text("routeClass");
        RouteClass routeClass = RouteClass.MUTATING;
        if (kind != null) {
            routeClass = row.choice("routeClass", RouteClass.MUTATING);
        }
        List<Share> shares = row.shares("shares");
        if (shares.isEmpty()) {
            String target = row.text("target");
            if (target != null) {
                shares = List.of(new Share(target, 1));
            }
        }
        for (Share s : shares) {
            if (s.share < 0) {
                row.fault("shares", "a weight is below 0: " + s.target);
            }
            if (!services.containsKey(s.target)) {
                row.fault("target", "unknown service: " + s.target);
            }
        }
        int rank = (int) Math.max(0, Math.min(RANKS - 1, row.whole("rank", 0L)));
        return new Route(
                name,
                row.text("authority"),
                prefix,
                routeClass,
                row.time("deadline", "0ms"),
                row.time("goal", "0ms"),
                rank,
                shares,
                (int) Math.max(1, row.whole("maxTries", 1L)),
                row.flag("public", false));
    }

    private static List<Fields> rows(JsonObject tree, String table, List<String> faults) {
        List<Fields> out = new ArrayList<>();
        List<JsonObject> items = items(tree, table, faults);
        for (int i = 0; i < items.size(); i++) {
            out.add(new Fields(items.get(i), table + "[" + i + "].", faults));
        }
        return out;
    }

    private static List<JsonObject> items(JsonObject tree, String table, List<String> faults) {
        List<JsonObject> out = new ArrayList<>();
        JsonElement t = tree.get(table);
        if (t == null
                || !t.isJsonObject()
                || !t.getAsJsonObject().has("columns")
                || !t.getAsJsonObject().get("columns").isJsonArray()
                || !t.getAsJsonObject().has("rows")
                || !t.getAsJsonObject().get("rows").isJsonArray()) {
            faults.add(table + ": must hold columns and rows");
            return out;
        }
        JsonArray columns = t.getAsJsonObject().getAsJsonArray("columns");
        for (JsonElement row : t.getAsJsonObject().getAsJsonArray("rows")) {
            if (!row.isJsonArray() || row.getAsJsonArray().size() != columns.size()) {
                faults.add(table + "[" + out.size() + "]: has not one value for each column");
                continue;
            }
            JsonObject item = new JsonObject();
            for (int i = 0; i < columns.size(); i++) {
                item.add(columns.get(i).getAsString(), row.getAsJsonArray().get(i));
            }
            out.add(item);
        }
        return out;
    }

    /** What differs from another version, as counts and a digest: equal on every daemon that compares the same two. */
    public String difference(Config other) {
        Map<String, Route> mine = named();
        Map<String, Route> theirs = other == null ? Map.of() : other.named();
        int added = 0;
        int changed = 0;
        int hash = 17;
        for (Route r : mine.values()) {
            Route o = theirs.get(r.name);
            if (o == null) {
                added++;
            } else if (!o.equals(r)) {
                changed++;
            } else {
                continue;
            }
            hash += r.hashCode();
        }
        int removed = 0;
        for (Route o : theirs.values()) {
            if (!mine.containsKey(o.name)) {
                removed++;
                hash += o.name.hashCode() * 31;
            }
        }
        hash = hash * 31 + tenants.hashCode() + (byKey == null ? 0 : byKey.hashCode());
        return "+" + added + " ~" + changed + " -" + removed + " " + Integer.toHexString(hash);
    }

    private Map<String, Route> named() {
        Map<String, Route> out = new LinkedHashMap<>();
        for (Places p : byHost.values()) {
            for (Route r : p.routes.values()) {
                out.put(r.name, r);
            }
        }
        return out;
    }

    /** The whole document that an amendment makes of this one. */
    public JsonObject amend(JsonObject change) throws Invalid {
        List<String> faults = new ArrayList<>();
        JsonObject whole = tree(Packed.unpack(packed));
        JsonObject upsert = part(change, "upsert", faults);
        JsonObject remove = part(change, "remove", faults);
        Set<String> tables = new LinkedHashSet<>(upsert.keySet());
        tables.addAll(remove.keySet());
        for (String table : tables) {
            if (!whole.has(table)
                    || !whole.get(table).isJsonObject()
                    || !whole.getAsJsonObject(table).has("rows")) {
                faults.add(table + ": no such list");
                continue;
            }
            Map<String, JsonObject> named = new LinkedHashMap<>();
            for (JsonObject item : items(whole, table, faults)) {
                named.put(nameOf(item, table, faults), item);
            }
            if (remove.has(table)) {
                if (!remove.get(table).isJsonArray()) {
                    faults.add("remove." + table + ": must be a list of names");
                } else {
                    remove.getAsJsonArray(table).forEach(n -> named.remove(n.getAsString()));
                }
            }
            if (upsert.has(table)) {
                for (JsonObject item : items(upsert, table, faults)) {
                    named.put(nameOf(item, table, faults), item);
                }
            }
            whole.add(table, columned(whole.getAsJsonObject(table).getAsJsonArray("columns"), named.values()));
        }
        if (change.has("limits")) {
            whole.add("limits", change.get("limits"));
        }
        whole.add("epoch", change.get("epoch"));
        whole.remove("baseVersion");
        if (!faults.isEmpty()) {
            throw new Invalid(faults);
        }
        return whole;
    }

    private static JsonObject part(JsonObject change, String field, List<String> faults) {
        if (!change.has(field) || change.get(field).isJsonNull()) {
            return new JsonObject();
        }
        if (!change.get(field).isJsonObject()) {
            faults.add(field + ": must be an object");
            return new JsonObject();
        }
        return change.getAsJsonObject(field);
    }

    private static String nameOf(JsonObject item, String table, List<String> faults) {
        JsonElement name = item.get("name");
        if (name == null || !name.isJsonPrimitive()) {
            faults.add(table + ": an item has no name");
            return "";
        }
        return name.getAsString();
    }

    private static JsonObject columned(JsonArray before, Iterable<JsonObject> items) {
        Set<String> columns = new LinkedHashSet<>();
        before.forEach(c -> columns.add(c.getAsString()));
        items.forEach(i -> columns.addAll(i.keySet()));
        JsonArray head = new JsonArray();
        columns.forEach(head::add);
        JsonArray rows = new JsonArray();
        for (JsonObject item : items) {
            JsonArray row = new JsonArray();
            for (String c : columns) {
                row.add(item.has(c) ? item.get(c) : JsonNull.INSTANCE);
            }
            rows.add(row);
        }
        JsonObject table = new JsonObject();
        table.add("columns", head);
        table.add("rows", rows);
        return table;
    }
}
