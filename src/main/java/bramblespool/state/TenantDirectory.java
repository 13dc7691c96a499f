package bramblespool.state;

import java.util.Map;

/**
 * The tenants of a configuration.
 *
 * @param requiresKey whether requests must bear a tenant's key
 */
record TenantDirectory(boolean requiresKey, Map<String, Tenant> tenantsByKey, Map<String, Tenant> tenantsByName) {
    /** The directory of a configuration that names no tenants: requests need no key. */
    static final TenantDirectory UNRESTRICTED = new TenantDirectory(false, Map.of(), Map.of());
}
