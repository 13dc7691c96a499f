package bramblespool.state;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the operator's configuration document. All faults are found before any is reported, in the order of the
 * document's tables: services, routes, limits, tenants. Fields that this program doesn't know are ignored.
 */
public final class RoutingConfigurationParser {
    static final String EPOCH = "epoch";
    static final String BASE_VERSION = "baseVersion";
    static final String LIMITS = "limits";
    static final String NAME = "name";
    static final String PATH_PREFIX = "pathPrefix";
    static final String TARGET = "target";
    static final String WEIGHTED_TARGETS = "shares";
    static final String API_KEYS = "apiKeys";

    private static final String SERVICE_TABLE = "serviceTable";
    private static final String ROUTE_TABLE = "routeTable";
    private static final String TENANT_TABLE = "principals";
    private static final String WEIGHT = "share";
    private static final String ROUTE_CLASS = "routeClass";
    private static final String PRIORITY = "rank";
    private static final String RATE_PER_SECOND = "ratePerS";
    private static final String BURST = "burst";

    private final JsonObject document;
    private final String compressedDocument;
    private final List<String> faults = new ArrayList<>();
    private final RoutingConfigurationValidator validator = new RoutingConfigurationValidator();

    private RoutingConfigurationParser(JsonObject document, String compressedDocument) {
        this.document = document;
        this.compressedDocument = compressedDocument;
    }

    /**
     * Reads a document as the operator sends it.
     *
     * @throws InvalidConfigurationException with the faults found
     */
    public static RoutingConfiguration parse(String document) throws InvalidConfigurationException {
        return parse(StrictJson.parseObject(document), CompressedDocument.compress(document));
    }

    /**
     * Reads a document in the form of {@link CompressedDocument}.
     *
     * @throws InvalidConfigurationException with the faults found
     */
    public static RoutingConfiguration parseCompressed(String compressedDocument) throws InvalidConfigurationException {
        return parse(StrictJson.parseObject(CompressedDocument.decompress(compressedDocument)), compressedDocument);
    }

    /**
     * Reads a document that has been parsed as JSON.
     *
     * @param compressedDocument the same document compressed
     * @throws InvalidConfigurationException with the faults found
     */
    public static RoutingConfiguration parse(JsonObject document, String compressedDocument)
            throws InvalidConfigurationException {
        return new RoutingConfigurationParser(document, compressedDocument).read();
    }

    private RoutingConfiguration read() throws InvalidConfigurationException {
        DocumentReader reader = new DocumentReader(document, "", faults);
        long epoch = reader.wholeNumber(EPOCH, null);
        Map<String, Service> services = readServices();
        List<Route> routes = readRoutes();
        RequestLimits limits = reader.has(LIMITS) ? readLimits(reader.section(LIMITS)) : RequestLimits.DEFAULT;
        TenantDirectory tenants = reader.has(TENANT_TABLE) ? readTenants() : TenantDirectory.UNRESTRICTED;
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return new RoutingConfiguration(epoch, compressedDocument, services, routes, limits, tenants);
    }

    private Map<String, Service> readServices() {
        Map<String, Service> services = new LinkedHashMap<>();
        for (DocumentReader reader : ColumnTable.readers(document, SERVICE_TABLE, faults)) {
            Service service = new Service(
                    reader.string(NAME),
                    reader.string("probePath", "/"),
                    (int) reader.wholeNumber("maxConns", 0L),
                    reader.durationMs("warmup", "0ms"),
                    reader.number("warmPerS", 0.0),
                    reader.booleanValue("selfDedup", false));
            validator.checkService(reader, service);
            services.put(service.name(), service);
        }
        return services;
    }

    private List<Route> readRoutes() {
        List<Route> routes = new ArrayList<>();
        for (DocumentReader reader : ColumnTable.readers(document, ROUTE_TABLE, faults)) {
            Route route = readRoute(reader);
            validator.checkRoute(reader, route);
            routes.add(route);
        }
        return routes;
    }

    private Route readRoute(DocumentReader reader) {
        String name = reader.string(NAME);
        String prefix = reader.string(PATH_PREFIX);
        validator.checkPrefix(reader, prefix);
        RouteClass routeClass = readRouteClass(reader);
        List<WeightedTarget> weightedTargets = readTargets(reader);
        validator.checkTargets(reader, weightedTargets);
        int priority = readPriority(reader);
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

    private static RouteClass readRouteClass(DocumentReader reader) {
        // The field is required, though it has a default for what comes after a fault.
        return reader.string(ROUTE_CLASS) == null
                ? RouteClass.MUTATING
                : reader.enumValue(ROUTE_CLASS, RouteClass.MUTATING);
    }

    /** The weighted targets, or the only one. */
    private static List<WeightedTarget> readTargets(DocumentReader reader) {
        List<WeightedTarget> weightedTargets = readWeightedTargets(reader);
        if (!weightedTargets.isEmpty()) {
            return weightedTargets;
        }
        String target = reader.string(TARGET);
        return target == null ? List.of() : List.of(new WeightedTarget(target, 1));
    }

    private static List<WeightedTarget> readWeightedTargets(DocumentReader reader) {
        List<WeightedTarget> weightedTargets = new ArrayList<>();
        reader.forEachSection(
                WEIGHTED_TARGETS,
                targetReader -> weightedTargets.add(
                        new WeightedTarget(targetReader.string(TARGET, ""), targetReader.number(WEIGHT, null))));
        return weightedTargets;
    }

    /** A priority out of range counts as the nearest that there is. */
    private static int readPriority(DocumentReader reader) {
        long priority = reader.wholeNumber(PRIORITY, 0L);
        return (int) Math.max(0, Math.min(RoutingConfiguration.PRIORITY_LEVELS - 1, priority));
    }

    private static RequestLimits readLimits(DocumentReader reader) {
        return new RequestLimits(
                reader.wholeNumber("headerBytes", RequestLimits.DEFAULT.headerBytes()),
                reader.wholeNumber("bodyBytes", RequestLimits.DEFAULT.bodyBytes()),
                reader.durationMs("headerRead", "5s"),
                reader.durationMs("idle", "15s"));
    }

    private TenantDirectory readTenants() {
        Map<String, Tenant> tenantsByName = new LinkedHashMap<>();
        Map<String, Tenant> tenantsByKey = new HashMap<>();
        for (DocumentReader reader : ColumnTable.readers(document, TENANT_TABLE, faults)) {
            Tenant tenant = readTenant(reader);
            if (tenant.name() == null) {
                continue;
            }
            validator.checkTenant(reader, tenant);
            tenantsByName.put(tenant.name(), tenant);
            for (String apiKey : reader.strings(API_KEYS)) {
                if (validator.checkApiKey(reader, tenant, apiKey)) {
                    tenantsByKey.put(apiKey, tenant);
                }
            }
        }
        return new TenantDirectory(true, tenantsByKey, tenantsByName);
    }

    private Tenant readTenant(DocumentReader reader) {
        double ratePerSecond = reader.number(RATE_PER_SECOND, 0.0);
        double burst = reader.number(BURST, 0.0);
        validator.checkNonNegative(reader, RATE_PER_SECOND, ratePerSecond);
        validator.checkNonNegative(reader, BURST, burst);
        int priority = reader.has(PRIORITY) ? readPriority(reader) : Tenant.ROUTE_PRIORITY;
        return new Tenant(reader.string(NAME), priority, ratePerSecond, burst);
    }
}
