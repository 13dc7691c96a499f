package bramblespool.coordination;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What began to run at this side's gates, by window and tenant. Sums are told, not differences, so that a word said twice
 * does no harm; a window is told again until the helm that holds the session has it as it stands.
 */
public final class Tally {
    private static final class Window {
        private final Object2IntOpenHashMap<String> byTenant = new Object2IntOpenHashMap<>();
        private long changed;
        private long taken = -1;
    }

    private final TrueTime time;
    private final String life;
    private final long windowMs;
    private final int kept;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private long changes;

    /** {@code life}: this process, for sums of different lives add up; {@code keepMs}: for how long a window may be asked for. */
    Tally(TrueTime time, String life, long windowMs, long keepMs) {
        this.time = time;
        this.life = life;
        this.windowMs = windowMs;
        this.kept = (int) (keepMs / windowMs) + 2;
    }

    private long current() {
        return Math.floorDiv(time.now(), windowMs);
    }

    /** A run begins; the window it is counted in. */
    public long begin(String tenant) {
        long w = current();
        add(w, tenant, 1);
        return w;
    }

    /** It did not run after all. */
    public void undo(String tenant, long window) {
        if (windows.containsKey(window)) {
            add(window, tenant, -1);
        }
    }

    private void add(long w, String tenant, int by) {
        Window of = windows.get(w);
        if (of == null) {
            of = new Window();
            windows.put(w, of);
            while (windows.size() > kept) {
                windows.pollFirstEntry();
            }
        }
        of.byTenant.addTo(tenant, by);
        of.changed = ++changes;
    }

    /** To a helm that may know nothing yet, all is told again. */
    void toAnother() {
        windows.values().forEach(w -> w.taken = -1);
    }

    /** What the helm does not have yet. {@code through}: the windows before this one are over here. */
    ObjectNode tell() {
        ObjectNode out = JsonNodeFactory.instance
                .objectNode()
                .put("life", life)
                .put("through", current())
                .put("change", changes);
        ObjectNode of = out.putObject("windows");
        for (Map.Entry<Long, Window> e : windows.entrySet()) {
            if (e.getValue().taken < e.getValue().changed) {
                ObjectNode sums = of.putObject(Long.toString(e.getKey()));
                e.getValue().byTenant.object2IntEntrySet().forEach(t -> {
                    if (t.getIntValue() > 0) {
                        sums.put(t.getKey(), t.getIntValue());
                    }
                });
            }
        }
        return out;
    }

    /** The helm has taken what was told up to this change. */
    void taken(long change) {
        windows.values().forEach(w -> {
            if (w.changed <= change) {
                w.taken = Math.max(w.taken, change);
            }
        });
    }
}
