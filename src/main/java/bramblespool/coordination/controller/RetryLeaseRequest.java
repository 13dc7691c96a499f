package bramblespool.coordination.controller;

/**
 * Asks for retries of a service, leased from the budget that all proxies share.
 *
 * @param isForwarded whether a controller passes the request on to the budget's owner; it goes no further then
 */
record RetryLeaseRequest(String service, boolean isForwarded) {}
