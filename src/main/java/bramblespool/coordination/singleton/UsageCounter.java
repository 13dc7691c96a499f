package bramblespool.coordination.singleton;

import bramblespool.coordination.time.ClusterClock;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the runs that begin at a proxy's servers, by window and tenant. The proxy's controller is sent sums, not
 * differences, so that an update may arrive twice; a window is sent again until the controller that holds the
 * session has it as it stands. Confined to the event loop.
 */
public final class UsageCounter {
    /** Changes are numbered from 1. */
    private static final long NO_CHANGE = 0;

    private static final class Window {
        private final Object2IntOpenHashMap<String> runsByTenant = new Object2IntOpenHashMap<>();
        private long lastChange = NO_CHANGE;
        private long acknowledgedChange = NO_CHANGE;
    }

    private final ClusterClock clusterClock;
    private final String incarnation;
    private final UsageWindows usageWindows;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private long changeCount;

    /** @param incarnation names this process, for sums of different processes add up */
    public UsageCounter(ClusterClock clusterClock, String incarnation, UsageWindows usageWindows) {
        this.clusterClock = clusterClock;
        this.incarnation = incarnation;
        this.usageWindows = usageWindows;
    }

    private long currentWindow() {
        return usageWindows.windowAt(clusterClock.now());
    }

    /**
     * Counts a run that begins.
     *
     * @return the window that it is counted in, for {@link #undoRun}
     */
    public long recordRun(String tenant) {
        long window = currentWindow();
        add(window, tenant, 1);
        return window;
    }

    /** Takes a run back that did not begin after all. */
    public void undoRun(String tenant, long window) {
        if (windows.containsKey(window)) {
            add(window, tenant, -1);
        }
    }

    private void add(long window, String tenant, int delta) {
        Window usage = windows.get(window);
        if (usage == null) {
            usage = new Window();
            windows.put(window, usage);
            while (windows.size() > usageWindows.retained()) {
                windows.pollFirstEntry();
            }
        }
        usage.runsByTenant.addTo(tenant, delta);
        usage.lastChange = ++changeCount;
    }

    /** Forgets what was acknowledged: another controller, which may know nothing yet, gets everything. */
    public void resetAcknowledged() {
        windows.values().forEach(window -> window.acknowledgedChange = NO_CHANGE);
    }

    /** The windows that the controller does not have as they stand. */
    public UsageUpdate collectUnacknowledged() {
        Map<Long, Map<String, Integer>> runsByWindow = new LinkedHashMap<>();
        windows.forEach((number, window) -> {
            if (window.acknowledgedChange < window.lastChange) {
                runsByWindow.put(number, positiveRuns(window));
            }
        });
        return new UsageUpdate(incarnation, currentWindow(), changeCount, runsByWindow);
    }

    private static Map<String, Integer> positiveRuns(Window window) {
        Map<String, Integer> runs = new LinkedHashMap<>();
        window.runsByTenant.object2IntEntrySet().forEach(tenantCount -> {
            if (tenantCount.getIntValue() > 0) {
                runs.put(tenantCount.getKey(), tenantCount.getIntValue());
            }
        });
        return runs;
    }

    /** The controller has all changes up to this one. */
    public void acknowledge(long change) {
        windows.values().forEach(window -> {
            if (window.lastChange <= change) {
                window.acknowledgedChange = Math.max(window.acknowledgedChange, change);
            }
        });
    }
}
