package bramblespool.sim;

import bramblespool.transport.PlatformClient;
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
    public PlatformClient.Response instead;
    /** Run after a page has been handed out, with the peer address of who asked. */
    public java.util.function.Consumer<String> served = peer -> {};

    public void add(String id, String target, String zone) {
        list.put(id, new Server(id, target, "10.3.0." + (list.size() + 1) + ":80", zone, 4, false));
    }

    public void leaving(String id) {
        list.computeIfPresent(id, (k, s) -> s.leaving());
    }

    PlatformClient seenBy(SimWorld.Machine m) {
        return new PlatformClient() {
            @Override
            public void fetchPage(String zone, String token, java.util.function.Consumer<Response> answer) {
                m.schedule(2, () -> {
                    calls.merge(m.peer, 1, Integer::sum);
                    PlatformClient.Response p = instead != null ? instead : SimPlatform.this.page(zone, token);
                    m.schedule(2, () -> answer.accept(p));
                    served.accept(m.peer);
                });
            }

            @Override
            public void reportUsage(
                    String holder,
                    long fence,
                    String report,
                    long withinMs,
                    java.util.function.Consumer<Integer> code) {
                boolean[] over = new boolean[1];
                java.util.function.Consumer<Integer> once = c -> {
                    if (!over[0]) {
                        over[0] = true;
                        code.accept(c);
                    }
                };
                m.schedule(withinMs, () -> once.accept(0));
                // What is on its way arrives whatever becomes of the sender.
                m.world().at(2 + slowMs, () -> {
                    int c = reported(holder, fence, report, m.world().now());
                    if (c > 0) {
                        m.schedule(2, () -> once.accept(c));
                    }
                });
            }
        };
    }

    /** One call as the platform saw it. */
    public record Call(long at, String holder, long fence, long window, String report, int code) {}

    public final List<Call> reports = new ArrayList<>();
    public final Map<Long, String> accepted = new java.util.TreeMap<>();
    /** How long a call takes to arrive; what is answered in place of taking it (0: nothing), or null. */
    public long slowMs;

    public java.util.function.Supplier<Integer> answer;
    /** Whether a report is taken and its answer lost. */
    public java.util.function.BooleanSupplier lost = () -> false;

    private long highest;

    private int reported(String holder, long fence, String report, long at) {
        Integer in = answer == null ? null : answer.get();
        long window = Long.parseLong(report.replaceAll("^.*\"windowNo\":(\\d+).*$", "$1"));
        int code = in != null ? in : fence < highest ? 409 : 200;
        reports.add(new Call(at, holder, fence, window, report, code));
        if (code == 200) {
            highest = Math.max(highest, fence);
            accepted.merge(window, report, (a, b) -> a.equals(b) ? a : a + " AND " + b);
        }
        return code == 200 && lost.getAsBoolean() ? 0 : code;
    }

    private PlatformClient.Response page(String zone, String token) {
        List<Server> of = new ArrayList<>(list.values());
        of.removeIf(s -> !s.zone.equals(zone));
        int from = token == null ? 0 : Integer.parseInt(token);
        StringBuilder b = new StringBuilder("{\"servers\":{\"" + zone + "\":[");
        for (int i = from; i < Math.min(of.size(), from + pageSize); i++) {
            Server s = of.get(i);
            b.append(i > from ? "," : "")
                    .append("{\"id\":\"")
                    .append(s.id)
                    .append("\",\"target\":\"")
                    .append(s.target)
                    .append("\",\"address\":\"")
                    .append(s.address)
                    .append("\",\"epoch\":\"v1\",\"capacity\":")
                    .append(s.capacity)
                    .append(",\"state\":\"")
                    .append(s.draining ? "draining" : "ready")
                    .append("\",\"warmupLeft\":\"0ms\"}");
        }
        b.append("]},\"nextToken\":")
                .append(from + pageSize < of.size() ? "\"" + (from + pageSize) + "\"" : "null")
                .append('}');
        return new PlatformClient.Response(200, b.toString().getBytes(StandardCharsets.UTF_8));
    }
}
