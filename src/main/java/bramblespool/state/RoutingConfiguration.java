package bramblespool.state;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One version of the operator's configuration, compiled for looking routes up, with the document it was read from.
 * Immutable, and so safe on any thread. {@link RoutingConfigurationParser} makes it.
 */
public final class RoutingConfiguration {
    /** Priorities go from 0, the least, to one below this. */
    public static final int PRIORITY_LEVELS = 16;

    /** Odd factor of the digest that {@link #difference} gives. */
    private static final int HASH_FACTOR = 31;

    private final long epoch;
    private final String compressedDocument;
    private final String stamp;
    private final Map<String, Service> services;
    private final RequestLimits limits;
    private final int routeCount;
    private final Map<String, HostRoutes> routesByHost;
    private final TenantDirectory tenants;

    /** The routes of one host by their prefixes. */
    private record HostRoutes(Map<String, Route> routesByPrefix, int longestPrefix) {
        static HostRoutes of(List<Route> routes) {
            Map<String, Route> routesByPrefix = new HashMap<>();
            int longestPrefix = 0;
            for (Route route : routes) {
                routesByPrefix.put(route.prefix(), route);
                longestPrefix = Math.max(longestPrefix, route.prefix().length());
            }
            return new HostRoutes(routesByPrefix, longestPrefix);
        }
    }

    /** The parts are taken as they are: the parser has checked them and keeps none of them. */
    RoutingConfiguration(
            long epoch,
            String compressedDocument,
            Map<String, Service> services,
            List<Route> routes,
            RequestLimits limits,
            TenantDirectory tenants) {
        this.epoch = epoch;
        this.compressedDocument = compressedDocument;
        this.stamp = stampOf(compressedDocument);
        this.services = services;
        this.limits = limits;
        this.tenants = tenants;
        this.routeCount = routes.size();
        Map<String, List<Route>> routeListsByHost = new HashMap<>();
        for (Route route : routes) {
            routeListsByHost
                    .computeIfAbsent(hostKey(route.authority()), host -> new ArrayList<>())
                    .add(route);
        }
        this.routesByHost = new HashMap<>();
        routeListsByHost.forEach((host, hostRoutes) -> routesByHost.put(host, HostRoutes.of(hostRoutes)));
    }

    /** The stamp of a document: tells documents with the same epoch apart, such as two changes that raced. */
    public static String stampOf(String compressedDocument) {
        return Integer.toHexString(compressedDocument.hashCode());
    }

    /** The number that the operator gave this version. */
    public long epoch() {
        return epoch;
    }

    /** See {@link #stampOf}. */
    public String stamp() {
        return stamp;
    }

    /** The document as it was sent, in the form of {@link CompressedDocument}. */
    public String compressedDocument() {
        return compressedDocument;
    }

    /** Limits for what clients send. */
    public RequestLimits limits() {
        return limits;
    }

    /** Number of routes. */
    public int routeCount() {
        return routeCount;
    }

    /** Number of services. */
    public int serviceCount() {
        return services.size();
    }

    /** The service of this name, or null where there is none. */
    public Service service(String name) {
        return services.get(name);
    }

    /** The tag that names this version on requests between proxies. */
    public String tag() {
        return "t" + epoch + "-" + stamp;
    }

    /** Whether this is the version meant; an empty stamp stands for any document of that epoch. */
    public boolean matches(long otherEpoch, String otherStamp) {
        return epoch == otherEpoch && (otherStamp.isEmpty() || otherStamp.equals(stamp));
    }

    /** Whether requests must bear a tenant's key, save on public routes. */
    public boolean requiresTenantKey() {
        return tenants.requiresKey();
    }

    /** The tenant that the key belongs to, or null where it is nobody's. */
    public Tenant tenantOfKey(String key) {
        return tenants.tenantsByKey().get(key);
    }

    /**
     * The priority of a request: its tenant's, where that has one, else the route's.
     *
     * @param tenantName null or an unknown name where the request is no tenant's
     */
    public int priority(Route route, String tenantName) {
        Tenant tenant = tenantName == null ? null : tenants.tenantsByName().get(tenantName);
        return tenant != null && tenant.hasOwnPriority() ? tenant.priority() : route.priority();
    }

    /**
     * The route with the longest prefix of the path, compared byte by byte, or null where none fits.
     *
     * @param host as in the request's Host header: any case, with or without a port
     */
    public Route route(String host, String path) {
        HostRoutes hostRoutes = routesByHost.get(hostKey(host));
        if (hostRoutes == null) {
            return null;
        }
        // Every prefix ends with a slash, so only what the path has up to a slash can be one.
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

    /** A host in lower case and without its port; the colons of an IPv6 address stand within brackets. */
    static String hostKey(String host) {
        int colon = host.lastIndexOf(':');
        if (colon > 0 && host.indexOf(']') < colon) {
            host = host.substring(0, colon);
        }
        return host.toLowerCase(Locale.ROOT);
    }

    /**
     * What differs from another version: counts of routes added, changed and removed, and a digest of the changes.
     *
     * @param other null where there is none: all is added
     */
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
                hash += otherRoute.name().hashCode() * HASH_FACTOR;
            }
        }
        hash = hash * HASH_FACTOR
                + tenants.tenantsByName().hashCode()
                + tenants.tenantsByKey().hashCode();
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

    /**
     * The whole document that an amendment makes of this one: items added, replaced and removed by name, fields
     * unknown to this program kept.
     *
     * @throws InvalidConfigurationException with the amendment's faults
     */
    public JsonObject applyAmendment(JsonObject amendment) throws InvalidConfigurationException {
        JsonObject document = StrictJson.parseObject(CompressedDocument.decompress(compressedDocument));
        return ConfigurationAmendment.apply(document, amendment);
    }
}
