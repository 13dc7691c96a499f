package bramblespool.coordination.tenancy;

import java.util.Map;

/**
 * A proxy gives token buckets back before their lease has lapsed; it grants nothing from them any more.
 *
 * @param holder the proxy and the run of its process
 * @param group the group of tenants
 * @param tokens what is left in the buckets, by tenant
 */
public record BucketReturn(String holder, String group, Map<String, Double> tokens) {}
