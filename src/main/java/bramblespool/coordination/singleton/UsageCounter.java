package bramblespool.coordination.singleton;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What began to run at this side's gates, by window and tenant. Sums are told, not differences, so that a word said twice
 * does no harm; a window is told again until the helm that holds the session has it as it stands.
 */
public final class UsageCounter {
    private static final class Window {
        private final Object2IntOpenHashMap<String> runsByTenant = new Object2IntOpenHashMap<>();
        private long lastChange;
        private long acknowledgedChange = -1;
    }

    private final ClusterClock clusterClock;
    private final String incarnation;
    private final long windowMs;
    private final int retainedWindows;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private long changeCount;

    /** {@code life}: this process, for sums of different lives add up; {@code keepMs}: for how long a window may be asked for. */
    public UsageCounter(ClusterClock clusterClock, String incarnation, long windowMs, long retentionMs) {
        this.clusterClock = clusterClock;
        this.incarnation = incarnation;
        this.windowMs = windowMs;
        this.retainedWindows = (int) (retentionMs / windowMs) + 2;
    }

    private long currentWindow() {
        return Math.floorDiv(clusterClock.now(), windowMs);
    }

    /** A run begins; the window it is counted in. */
    public long recordRun(String tenant) {
        long window = currentWindow();
        add(window, tenant, 1);
        return window;
    }

    /** It did not run after all. */
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
            while (windows.size() > retainedWindows) {
                windows.pollFirstEntry();
            }
        }
        usage.runsByTenant.addTo(tenant, delta);
        usage.lastChange = ++changeCount;
    }

    /** To a helm that may know nothing yet, all is told again. */
    public void resetAcknowledged() {
        windows.values().forEach(window -> window.acknowledgedChange = -1);
    }

    /** What the helm does not have yet. {@code through}: the windows before this one are over here. */
    public ObjectNode collectUnacknowledged() {
        ObjectNode usage = JsonNodeFactory.instance
                .objectNode()
                .put("life", incarnation)
                .put("through", currentWindow())
                .put("change", changeCount);
        ObjectNode windowsNode = usage.putObject("windows");
        for (Map.Entry<Long, Window> entry : windows.entrySet()) {
            if (entry.getValue().acknowledgedChange < entry.getValue().lastChange) {
                ObjectNode tenantSums = windowsNode.putObject(Long.toString(entry.getKey()));
                entry.getValue().runsByTenant.object2IntEntrySet().forEach(tenantCount -> {
                    if (tenantCount.getIntValue() > 0) {
                        tenantSums.put(tenantCount.getKey(), tenantCount.getIntValue());
                    }
                });
            }
        }
        return usage;
    }

    /** The helm has taken what was told up to this change. */
    public void acknowledge(long change) {
        windows.values().forEach(window -> {
            if (window.lastChange <= change) {
                window.acknowledgedChange = Math.max(window.acknowledgedChange, change);
            }
        });
    }
}
