package bramblespool.sim;

import bramblespool.transport.Platform;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the platform that keeps the list of servers. */
public final class SimPlatform {
    public record Server(String id, String target, String address, String zone, int capacity, boolean draining) {
        public Server leaving() {
            return new Server(id, target, address, zone, capacity, true);
        }
    }

    public final Map<String, Server> list = new LinkedHashMap<>();
    public final Map<String, Integer> calls = new HashMap<>();
    public int pageSize = 4;
    /** What is answered in place of the list, as status and body; null for the list. */
    public Platform.Page instead;
    /** Run after a page has been handed out, with the peer address of who asked. */
    public java.util.function.Consumer<String> served = peer -> { };

    public void add(String id, String target, String zone) {
        list.put(id, new Server(id, target, "10.3.0." + (list.size() + 1) + ":80", zone, 4, false));
    }

    public void leaving(String id) {
        list.computeIfPresent(id, (k, s) -> s.leaving());
    }

    Platform seenBy(SimWorld.Machine m) {
        return (zone, token, answer) -> m.after(2, () -> {
            calls.merge(m.peer, 1, Integer::sum);
            Platform.Page p = instead != null ? instead : page(zone, token);
            m.after(2, () -> answer.accept(p));
            served.accept(m.peer);
        });
    }

    private Platform.Page page(String zone, String token) {
        List<Server> of = new ArrayList<>(list.values());
        of.removeIf(s -> !s.zone.equals(zone));
        int from = token == null ? 0 : Integer.parseInt(token);
        StringBuilder b = new StringBuilder("{\"servers\":{\"" + zone + "\":[");
        for (int i = from; i < Math.min(of.size(), from + pageSize); i++) {
            Server s = of.get(i);
            b.append(i > from ? "," : "").append("{\"id\":\"").append(s.id).append("\",\"target\":\"").append(s.target)
                    .append("\",\"address\":\"").append(s.address).append("\",\"epoch\":\"v1\",\"capacity\":").append(s.capacity)
                    .append(",\"state\":\"").append(s.draining ? "draining" : "ready").append("\",\"warmupLeft\":\"0ms\"}");
        }
        b.append("]},\"nextToken\":").append(from + pageSize < of.size() ? "\"" + (from + pageSize) + "\"" : "null").append('}');
        return new Platform.Page(200, b.toString().getBytes(StandardCharsets.UTF_8));
    }
}
