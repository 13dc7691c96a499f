/**
 * Admission of requests of tenants: rate limits, ownership of shards under leases, and idempotency keys. May depend on
 * {@code register}, {@code hashing} and the layers below. Confined to the event loop.
 */
package bramblespool.coordination.tenancy;
