package bramblespool.coordination.singleton;

import java.util.SortedMap;

/**
 * What the platform is told about a window.
 *
 * @param window the window's number
 * @param runsByTenant runs that began in it, by tenant
 */
record WindowReport(long window, SortedMap<String, Integer> runsByTenant) {}
