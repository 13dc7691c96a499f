package bramblespool.coordination.singleton;

import java.util.Map;
import java.util.Optional;

/**
 * What a controller knows of one proxy process's usage in one window.
 *
 * @param node the proxy's node
 * @param finalBeforeWindow the process's sums of all windows before this one are final
 * @param runsByTenant the sums of the window; empty where the controller has none
 */
record ProcessUsage(String node, long finalBeforeWindow, Optional<Map<String, Integer>> runsByTenant) {
    boolean isFinal(long window) {
        return finalBeforeWindow > window;
    }

    /**
     * Whether this is a later state of the same process's usage. A sum only grows until it is final, save for runs that
     * were taken back.
     */
    boolean supersedes(ProcessUsage known) {
        if (runsByTenant.isEmpty() && known.runsByTenant.isPresent()) {
            return false;
        }
        if (finalBeforeWindow != known.finalBeforeWindow) {
            return finalBeforeWindow > known.finalBeforeWindow;
        }
        return runsByTenant.isPresent() && totalRuns() > known.totalRuns();
    }

    private int totalRuns() {
        int total = 0;
        for (int runs : runsByTenant.orElse(Map.of()).values()) {
            total += runs;
        }
        return total;
    }
}
