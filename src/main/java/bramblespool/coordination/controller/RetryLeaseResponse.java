package bramblespool.coordination.controller;

/**
 * Retries granted to one proxy.
 *
 * @param durationMs how long they may be used
 * @param retries how many; 0 where there are none for now
 */
record RetryLeaseResponse(long durationMs, int retries) {}
