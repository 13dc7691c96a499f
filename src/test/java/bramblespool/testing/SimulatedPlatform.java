package bramblespool.testing;

import bramblespool.transport.PlatformClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the platform that keeps the list of servers. */
public final class SimulatedPlatform {
    public record Server(String id, String target, String address, String zone, int capacity, boolean isDraining) {
        public Server asDraining() {
            return new Server(id, target, address, zone, capacity, true);
        }
    }

    public final Map<String, Server> servers = new LinkedHashMap<>();
    public final Map<String, Integer> callsByPeer = new HashMap<>();
    public int pageSize = 4;
    /** What is answered in place of the list, as status and body; null for the list. */
    public PlatformClient.Response pageOverride;
    /** Run after a page has been handed out, with the peer address of who asked. */
    public java.util.function.Consumer<String> afterPage = peer -> {};

    public void addServer(String id, String target, String zone) {
        servers.put(id, new Server(id, target, "10.3.0." + (servers.size() + 1) + ":80", zone, 4, false));
    }

    public void startDraining(String id) {
        servers.computeIfPresent(id, (k, s) -> s.asDraining());
    }

    PlatformClient clientFor(SimulatedMachine machine) {
        return new PlatformClient() {
            @Override
            public void fetchPage(String zone, String token, java.util.function.Consumer<Response> answer) {
                machine.schedule(2, () -> {
                    callsByPeer.merge(machine.peer, 1, Integer::sum);
                    PlatformClient.Response page =
                            pageOverride != null ? pageOverride : SimulatedPlatform.this.page(zone, token);
                    machine.schedule(2, () -> answer.accept(page));
                    afterPage.accept(machine.peer);
                });
            }

            @Override
            public void reportUsage(
                    String owner,
                    long fencingToken,
                    String report,
                    long timeoutMs,
                    java.util.function.Consumer<Integer> onStatus) {
                boolean[] isDone = new boolean[1];
                java.util.function.Consumer<Integer> answerOnce = status -> {
                    if (!isDone[0]) {
                        isDone[0] = true;
                        onStatus.accept(status);
                    }
                };
                machine.schedule(timeoutMs, () -> answerOnce.accept(0));
                // What is on its way arrives whatever becomes of the sender.
                machine.simulator().scheduleEvent(2 + delayMs, () -> {
                    int status = receiveReport(
                            owner, fencingToken, report, machine.simulator().nowMs());
                    if (status > 0) {
                        machine.schedule(2, () -> answerOnce.accept(status));
                    }
                });
            }
        };
    }

    /** One call as the platform saw it. */
    public record ReceivedReport(long atMs, String owner, long fencingToken, long window, String report, int code) {}

    public final List<ReceivedReport> receivedReports = new ArrayList<>();
    public final Map<Long, String> acceptedReports = new java.util.TreeMap<>();
    /** How long a call takes to arrive; what is answered in place of taking it (0: nothing), or null. */
    public long delayMs;

    public java.util.function.Supplier<Integer> statusOverride;
    /** Whether a report is taken and its answer lost. */
    public java.util.function.BooleanSupplier isAnswerLost = () -> false;

    private long highestFencingToken;

    private int receiveReport(String owner, long fencingToken, String report, long atMs) {
        Integer forcedStatus = statusOverride == null ? null : statusOverride.get();
        long window = Long.parseLong(report.replaceAll("^.*\"windowNo\":(\\d+).*$", "$1"));
        int status = forcedStatus != null ? forcedStatus : fencingToken < highestFencingToken ? 409 : 200;
        receivedReports.add(new ReceivedReport(atMs, owner, fencingToken, window, report, status));
        if (status == 200) {
            highestFencingToken = Math.max(highestFencingToken, fencingToken);
            acceptedReports.merge(window, report, (a, b) -> a.equals(b) ? a : a + " AND " + b);
        }
        return status == 200 && isAnswerLost.getAsBoolean() ? 0 : status;
    }

    private PlatformClient.Response page(String zone, String token) {
        List<Server> zoneServers = new ArrayList<>(servers.values());
        zoneServers.removeIf(server -> !server.zone.equals(zone));
        int start = token == null ? 0 : Integer.parseInt(token);
        StringBuilder json = new StringBuilder("{\"servers\":{\"" + zone + "\":[");
        for (int i = start; i < Math.min(zoneServers.size(), start + pageSize); i++) {
            Server server = zoneServers.get(i);
            json.append(i > start ? "," : "")
                    .append("{\"id\":\"")
                    .append(server.id)
                    .append("\",\"target\":\"")
                    .append(server.target)
                    .append("\",\"address\":\"")
                    .append(server.address)
                    .append("\",\"epoch\":\"v1\",\"capacity\":")
                    .append(server.capacity)
                    .append(",\"state\":\"")
                    .append(server.isDraining ? "draining" : "ready")
                    .append("\",\"warmupLeft\":\"0ms\"}");
        }
        json.append("]},\"nextToken\":")
                .append(start + pageSize < zoneServers.size() ? "\"" + (start + pageSize) + "\"" : "null")
                .append('}');
        return new PlatformClient.Response(200, json.toString().getBytes(StandardCharsets.UTF_8));
    }
}
