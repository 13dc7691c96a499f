package bramblespool.coordination;

import bramblespool.state.RoutingConfiguration;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The gates of a data plane daemon, by service: a weft's one, or those of the servers a hem is steward of. */
public final class Gates {
    private final Map<String, List<Gate>> byTarget = new LinkedHashMap<>();
    private RoutingConfiguration inForce;

    public void add(Gate g) {
        byTarget.computeIfAbsent(g.target(), t -> new ArrayList<>()).add(g);
        warm(g);
    }

    public void remove(Gate g) {
        List<Gate> of = byTarget.get(g.target());
        of.remove(g);
        if (of.isEmpty()) {
            byTarget.remove(g.target());
        }
        g.close();
    }

    /** The gate of the service behind which a request waits least, or null where there is none. */
    public Gate pick(String target) {
        Gate best = null;
        for (Gate g : byTarget.getOrDefault(target, List.of())) {
            if (best == null || g.before(best)) {
                best = g;
            }
        }
        return best;
    }

    public void check() {
        byTarget.values().forEach(l -> l.forEach(Gate::check));
    }

    /** This process itself stood still. */
    public void paused() {
        byTarget.values().forEach(l -> l.forEach(Gate::paused));
    }

    public void evacuated(boolean on) {
        byTarget.values().forEach(l -> l.forEach(g -> g.evacuated(on)));
    }

    /** The version in force, for the gates there are and for those still to come. */
    public void warming(RoutingConfiguration config) {
        inForce = config;
        byTarget.values().forEach(l -> l.forEach(this::warm));
    }

    private void warm(Gate g) {
        RoutingConfiguration.Service s = inForce == null ? null : inForce.services.get(g.target());
        g.warming(s == null ? 0 : s.slowStartRatePerSecond(), s == null ? 0 : s.slowStartMs());
    }

    public int load() {
        int n = 0;
        for (String t : byTarget.keySet()) {
            n += load(t);
        }
        return n;
    }

    public int load(String target) {
        int n = 0;
        for (Gate g : byTarget.getOrDefault(target, List.of())) {
            n += g.load();
        }
        return n;
    }

    public int capacity() {
        int n = 0;
        for (List<Gate> l : byTarget.values()) {
            for (Gate g : l) {
                n += g.open() ? g.capacity() : 0;
            }
        }
        return n;
    }

    public boolean open() {
        return byTarget.values().stream().anyMatch(l -> l.stream().anyMatch(Gate::open));
    }

    /** The ids of all servers behind these gates. */
    public List<String> servers() {
        List<String> out = new ArrayList<>();
        byTarget.values()
                .forEach(l -> l.forEach(g -> {
                    if (g.id() != null) {
                        out.add(g.id());
                    }
                }));
        return out;
    }

    /** What others may know: one door a service. */
    ArrayNode doors(boolean gone) {
        ArrayNode doors = JsonNodeFactory.instance.arrayNode();
        byTarget.forEach((target, l) -> {
            boolean open = l.stream().anyMatch(Gate::open);
            int capacity = 0;
            long cold = Long.MAX_VALUE;
            double ill = 1;
            int slow = Integer.MAX_VALUE;
            StringBuilder ids = new StringBuilder();
            for (Gate g : l) {
                if (g.id() == null) {
                    continue;
                }
                ids.append(ids.length() == 0 ? "" : " ").append(g.id());
                if (g.open() || !open) {
                    capacity += g.capacity();
                    cold = Math.min(cold, g.coldLeft());
                    ill = Math.min(ill, g.ill());
                    slow = Math.min(slow, g.slow());
                }
            }
            ObjectNode door = doors.addObject()
                    .put("target", target)
                    .put("servers", ids.toString())
                    .put("capacity", capacity)
                    .put("open", open && !gone)
                    .put("cold", cold == Long.MAX_VALUE ? 0 : cold);
            if (ill > 0 && open) {
                door.put("ill", ill);
            }
            if (slow > 0 && open) {
                door.put("slow", slow);
            }
        });
        return doors;
    }
}
