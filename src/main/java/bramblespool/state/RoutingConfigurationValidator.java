package bramblespool.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules that a routing configuration must keep beyond the types of its fields. Services, routes and tenants are
 * given in the order of the document, services first; each fault is added through the reader of the row that it is
 * found in.
 */
final class RoutingConfigurationValidator {
    private static final char LAST_PRINTABLE_ASCII = '~';

    private final Set<String> serviceNames = new HashSet<>();
    private final Set<String> routeNames = new HashSet<>();
    /** Host and prefix of each route. */
    private final Set<String> routePlaces = new HashSet<>();

    private final Set<String> tenantNames = new HashSet<>();
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();

    /** Each service has a name of its own. */
    void checkService(DocumentReader reader, Service service) {
        if (service.name() != null && !serviceNames.add(service.name())) {
            reader.addFault(RoutingConfigurationParser.NAME, "stands twice: " + service.name());
        }
    }

    /** Prefixes end with a slash, so that a prefix never ends within a segment of a path. */
    void checkPrefix(DocumentReader reader, String prefix) {
        if (prefix != null && (!prefix.startsWith("/") || !prefix.endsWith("/"))) {
            reader.addFault(RoutingConfigurationParser.PATH_PREFIX, "must begin and end with a slash: " + prefix);
        }
    }

    /** Targets are known services, and no weight is negative. */
    void checkTargets(DocumentReader reader, List<WeightedTarget> weightedTargets) {
        for (WeightedTarget weightedTarget : weightedTargets) {
            if (weightedTarget.weight() < 0) {
                reader.addFault(
                        RoutingConfigurationParser.WEIGHTED_TARGETS,
                        "a weight is below 0: " + weightedTarget.service());
            }
            if (!serviceNames.contains(weightedTarget.service())) {
                reader.addFault(RoutingConfigurationParser.TARGET, "unknown service: " + weightedTarget.service());
            }
        }
    }

    /** Each route has a name of its own, and no other has its host and prefix. */
    void checkRoute(DocumentReader reader, Route route) {
        if (route.name() != null && !routeNames.add(route.name())) {
            reader.addFault(RoutingConfigurationParser.NAME, "stands twice: " + route.name());
        }
        if (route.authority() != null
                && route.prefix() != null
                && !routePlaces.add(RoutingConfiguration.hostKey(route.authority()) + " " + route.prefix())) {
            reader.addFault(
                    RoutingConfigurationParser.PATH_PREFIX,
                    "same place as another route: " + route.authority() + route.prefix());
        }
    }

    /** Rate and burst are not negative. */
    void checkNonNegative(DocumentReader reader, String field, double value) {
        if (value < 0) {
            reader.addFault(field, "must not be below 0");
        }
    }

    /** Each tenant has a name of its own, which can stand in a header. */
    void checkTenant(DocumentReader reader, Tenant tenant) {
        if (tenant.name().isBlank() || !tenant.name().chars().allMatch(c -> c > ' ' && c <= LAST_PRINTABLE_ASCII)) {
            reader.addFault(RoutingConfigurationParser.NAME, "must be of printable letters without spaces");
        }
        if (!tenantNames.add(tenant.name())) {
            reader.addFault(RoutingConfigurationParser.NAME, "stands twice: " + tenant.name());
        }
    }

    /**
     * A key is not empty and belongs to one tenant. The faults name the tenants, never a key: keys are secret.
     *
     * @return whether the key can be used
     */
    @SuppressWarnings("ReferenceEquality") // a key may stand twice in the very same row
    boolean checkApiKey(DocumentReader reader, Tenant tenant, String apiKey) {
        if (apiKey.isBlank()) {
            reader.addFault(RoutingConfigurationParser.API_KEYS, "hold an empty key");
            return false;
        }
        Tenant otherTenant = tenantsByKey.put(apiKey, tenant);
        if (otherTenant != null && otherTenant != tenant) {
            reader.addFault(RoutingConfigurationParser.API_KEYS, "share a key with " + otherTenant.name());
        }
        return true;
    }
}
