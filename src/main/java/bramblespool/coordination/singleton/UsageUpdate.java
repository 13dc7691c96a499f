package bramblespool.coordination.singleton;

import java.util.Map;

/**
 * What a proxy reports to its controller about the runs that began at its servers.
 *
 * @param incarnation the proxy's process; sums of different processes add up
 * @param finalBeforeWindow the sums of all windows before this one are final
 * @param change the number of the last change that is in the sums
 * @param runsByWindow runs by tenant, by window: sums, not differences, so that an update may arrive twice
 */
public record UsageUpdate(
        String incarnation, long finalBeforeWindow, long change, Map<Long, Map<String, Integer>> runsByWindow) {}
