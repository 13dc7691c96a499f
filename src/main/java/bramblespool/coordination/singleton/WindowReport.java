package bramblespool.coordination.singleton;

import java.util.SortedMap;

/**
 * What is reported to the platform about a window.
 *
 * @param window the window's number
 * @param runsByTenant runs that began in it, by tenant
 */
record WindowReport(long window, SortedMap<String, Integer> runsByTenant) {}
