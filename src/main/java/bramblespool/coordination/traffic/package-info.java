/**
 * Admission of requests to a server: queue, concurrency, slow start, detection of failures and slowness, overload
 * detection, and the budget of retries. Source: RULES-bramblespool.md, "Further tries". May depend on {@code
 * membership} and the layers below. Confined to the event loop.
 */
package bramblespool.coordination.traffic;
