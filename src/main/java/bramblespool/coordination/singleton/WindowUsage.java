package bramblespool.coordination.singleton;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** The usage of one window as several controllers know it; each process counts once. */
final class WindowUsage {
    private final Map<String, ProcessUsage> usageByProcess = new HashMap<>();

    /** Adds what one controller knows, by process; of two states of one process the later is kept. */
    void merge(Map<String, ProcessUsage> received) {
        received.forEach((process, usage) -> {
            ProcessUsage known = usageByProcess.get(process);
            if (known == null || usage.supersedes(known)) {
                usageByProcess.put(process, usage);
            }
        });
    }

    /** Whether each of these nodes has a process whose sums of the window are final. */
    boolean isFinalFor(Collection<String> nodes, long window) {
        Set<String> finalNodes = new HashSet<>();
        for (ProcessUsage usage : usageByProcess.values()) {
            if (usage.isFinal(window)) {
                finalNodes.add(usage.node());
            }
        }
        return finalNodes.containsAll(nodes);
    }

    /** Runs by tenant, over all processes. */
    SortedMap<String, Integer> totalsByTenant() {
        TreeMap<String, Integer> totals = new TreeMap<>();
        for (ProcessUsage usage : usageByProcess.values()) {
            usage.runsByTenant()
                    .ifPresent(runsByTenant ->
                            runsByTenant.forEach((tenant, runs) -> totals.merge(tenant, runs, Integer::sum)));
        }
        return totals;
    }
}
