package bramblespool.coordination.discovery;

import bramblespool.protocol.RegistryPage;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The duty of reading one zone's list of servers and of assigning each to a steward. The wanted state is the list last
 * read whole and the hems that are members; what is, is what each hem last confirmed; each round acts on the
 * difference. A server leaves its old steward, or the old steward its session, before a new one has it.
 */
public final class RegistryReader {
    /** A hem that may be steward; {@code holds}: the servers it itself says it has gates for in its present life. */
    public record Gateway(String node, long incarnation, String peerAddress, String zone, Set<String> serverIds) {}

    /** Pages after which a list without end is given up. */
    private static final int MAX_PAGES = 1000;
    /** Most of a back-off, in reading periods. */
    private static final int MAX_BACKOFF_STEPS = 4;
    /** Reading periods for which the list is watched without the duty: well over the time in which somebody leads again. */
    private static final int LEADERLESS_WATCH_PERIODS = 5;

    private static final class AssignmentState {
        private final long incarnation;
        /** The number of the assignment last made for this hem, and of the one it last confirmed. */
        long assignedNumber;

        long confirmedNumber;
        List<RegistryPage.RegisteredServer> servers = List.of();
        /** What it may have a gate for: what it confirmed, and what was sent to it since. */
        Set<String> possibleServers = new HashSet<>();

        boolean isInFlight;

        AssignmentState(Gateway gateway) {
            incarnation = gateway.incarnation;
            possibleServers.addAll(gateway.serverIds);
        }
    }

    private final String zone;
    /** Tells the lives of one helm apart. */
    private final String readerId;

    private final Clock clock;
    private final PlatformClient platform;
    private final PeerTransport transport;
    private final Supplier<List<Gateway>> gateways;
    private final long readIntervalMs;
    private final long callTimeoutMs;
    private final EventLog log;
    private long fencingToken;
    private boolean isOwner;
    /** Until when the list is read without the duty. */
    private long watchUntilMs;

    private boolean isLeaderless;
    /** The leaving servers that each hem has been told of without the duty. */
    private final Map<String, Set<String>> warnedServers = new HashMap<>();

    private long readGeneration;
    private long nextReadMs;
    private long backoffSteps;
    /** Numbers assignments; never starts over within a life, for the duty may come back under the same fence. */
    private long lastAssignmentNumber;

    private Map<String, RegistryPage.RegisteredServer> registeredServers;
    private final Map<String, String> gatewayByServer = new HashMap<>();
    private final Map<String, AssignmentState> assignmentStates = new HashMap<>();

    public RegistryReader(
            String zone,
            Clock clock,
            PlatformClient platform,
            PeerTransport transport,
            Supplier<List<Gateway>> gateways,
            long readIntervalMs,
            long callTimeoutMs,
            EventLog log) {
        this.zone = zone;
        this.readerId = Long.toHexString((long) (clock.random() * Long.MAX_VALUE));
        this.clock = clock;
        this.platform = platform;
        this.transport = transport;
        this.gateways = gateways;
        this.readIntervalMs = readIntervalMs;
        this.callTimeoutMs = callTimeoutMs;
        this.log = log;
    }

    /** Says whether this helm holds the duty now, and under which fence. A new hand starts from a full read. */
    public void setOwnership(boolean ownsRole, long roleToken) {
        if (ownsRole && (!isOwner || roleToken != fencingToken)) {
            fencingToken = roleToken;
            registeredServers = null;
            gatewayByServer.clear();
            assignmentStates.clear();
            readGeneration++;
            nextReadMs = clock.nowMs();
            backoffSteps = 0;
            log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", "list of " + zone, "fencingToken", fencingToken);
        }
        isOwner = ownsRole;
    }

    /**
     * Says whether nobody is known to lead. The bound on leaving servers runs all the same, so for a time the list is read
     * without the duty, and what it shows as leaving is told to its stewards; nothing is assigned.
     */
    public void setLeaderless(boolean hasNoLeader) {
        if (hasNoLeader && !isLeaderless) {
            readGeneration++;
            nextReadMs = clock.nowMs();
            backoffSteps = 0;
            warnedServers.clear();
            watchUntilMs = clock.nowMs() + LEADERLESS_WATCH_PERIODS * readIntervalMs;
        }
        isLeaderless = hasNoLeader;
    }

    private boolean isWatching() {
        return clock.nowMs() < watchUntilMs;
    }

    /** One round. */
    public void check() {
        if (!isOwner && !isWatching()) {
            readGeneration++;
            return;
        }
        if (clock.nowMs() >= nextReadMs) {
            nextReadMs = Long.MAX_VALUE;
            readPage(++readGeneration, null, new TreeMap<>(), new HashSet<>());
        }
        if (isOwner) {
            assign();
        }
    }

    // ---- the list

    private void readPage(
            long generation,
            String pageToken,
            Map<String, RegistryPage.RegisteredServer> collected,
            Set<String> seenTokens) {
        platform.fetchPage(zone, pageToken, response -> {
            if (generation != readGeneration) {
                return;
            }
            if (response.statusCode() != 200 || response.body() == null) {
                failRead("code " + response.statusCode());
                return;
            }
            RegistryPage page;
            try {
                page = RegistryPage.parse(response.body());
            } catch (InvalidConfigurationException e) {
                failRead(e.getMessage());
                return;
            }
            for (RegistryPage.RegisteredServer e : page.servers()) {
                if (e.zone().equals(zone)) {
                    collected.put(e.id(), e);
                }
            }
            if (page.nextToken() == null) {
                onListComplete(collected);
            } else if (!seenTokens.add(page.nextToken()) || seenTokens.size() > MAX_PAGES) {
                failRead("the list has no end");
            } else {
                readPage(generation, page.nextToken(), collected, seenTokens);
            }
        });
    }

    private void failRead(String reason) {
        log.logOnChange(Event.REGISTRY_READ_FAILED, zone + reason, "zone", zone, "cause", reason);
        backoffSteps = Math.min(backoffSteps + 1, MAX_BACKOFF_STEPS);
        nextReadMs = clock.nowMs() + backoffSteps * readIntervalMs / 2 + (long) (clock.random() * readIntervalMs / 2);
    }

    private void onListComplete(Map<String, RegistryPage.RegisteredServer> servers) {
        if (!isOwner) {
            backoffSteps = 0;
            nextReadMs = clock.nowMs() + readIntervalMs;
            warnOfDraining(servers.values());
            return;
        }
        if (registeredServers == null) {
            log.log(Event.REGISTRY_READ, "zone", zone, "endpoints", servers.size());
        }
        backoffSteps = 0;
        nextReadMs = clock.nowMs() + readIntervalMs;
        registeredServers = servers;
        assign();
    }

    /** Tells the stewards of servers about to end, each once. */
    private void warnOfDraining(Collection<RegistryPage.RegisteredServer> servers) {
        Set<String> drainingIds = new HashSet<>();
        servers.forEach(server -> {
            if (server.isDraining()) {
                drainingIds.add(server.id());
            }
        });
        for (Gateway gateway : gateways.get()) {
            Set<String> alreadyWarned =
                    warnedServers.computeIfAbsent(gateway.node + " " + gateway.incarnation, k -> new HashSet<>());
            Set<String> toWarn = new TreeSet<>(gateway.serverIds);
            toWarn.retainAll(drainingIds);
            toWarn.removeAll(alreadyWarned);
            if (toWarn.isEmpty()) {
                continue;
            }
            ObjectNode request = JsonNodeFactory.instance.objectNode().put("zone", zone);
            toWarn.forEach(request.putArray("leaving")::add);
            transport.call(gateway.peerAddress, "assign", request, callTimeoutMs, response -> {
                if (response != null) {
                    alreadyWarned.addAll(toWarn);
                }
            });
        }
    }

    // ---- the assignment

    private void assign() {
        if (registeredServers == null) {
            return;
        }
        Map<String, Gateway> members = new TreeMap<>();
        gateways.get().forEach(gateway -> members.put(gateway.node, gateway));
        Set<String> eligible = candidates(members.values());
        if (eligible.isEmpty()) {
            return;
        }
        assignmentStates
                .entrySet()
                .removeIf(state -> !members.containsKey(state.getKey())
                        || members.get(state.getKey()).incarnation != state.getValue().incarnation);
        for (Gateway gateway : members.values()) {
            if (!assignmentStates.containsKey(gateway.node)) {
                assignmentStates.put(gateway.node, new AssignmentState(gateway));
                if (eligible.contains(gateway.node)) {
                    gateway.serverIds.forEach(id -> gatewayByServer.putIfAbsent(id, gateway.node));
                }
            }
        }
        gatewayByServer.keySet().retainAll(registeredServers.keySet());
        gatewayByServer.values().retainAll(eligible);
        BalancedAssignment.balance(registeredServers.values(), eligible, gatewayByServer);
        Map<String, List<RegistryPage.RegisteredServer>> wantedByGateway = new HashMap<>();
        members.keySet().forEach(gateway -> wantedByGateway.put(gateway, new ArrayList<>()));
        for (RegistryPage.RegisteredServer server : registeredServers.values()) {
            String assignee = gatewayByServer.get(server.id());
            if (!mayBeHeldElsewhere(server.id(), assignee)) {
                wantedByGateway.get(assignee).add(server);
            }
        }
        for (Gateway gateway : members.values()) {
            AssignmentState state = assignmentStates.get(gateway.node);
            List<RegistryPage.RegisteredServer> wantedServers = wantedByGateway.get(gateway.node);
            if (state.assignedNumber == 0 || !isSameAssignment(state.servers, wantedServers)) {
                state.assignedNumber = ++lastAssignmentNumber;
                state.servers = wantedServers;
            }
            if (state.confirmedNumber != state.assignedNumber && !state.isInFlight) {
                sendAssignment(gateway, state);
            }
        }
    }

    /** The members of the zone, or all where it has none. */
    private Set<String> candidates(Collection<Gateway> members) {
        Set<String> sameZone = new TreeSet<>();
        Set<String> all = new TreeSet<>();
        for (Gateway gateway : members) {
            all.add(gateway.node);
            if (gateway.zone.equals(zone)) {
                sameZone.add(gateway.node);
            }
        }
        return sameZone.isEmpty() ? all : sameZone;
    }

    /** Whether another live hem may still have a gate for this server. */
    private boolean mayBeHeldElsewhere(String serverId, String assignee) {
        for (Map.Entry<String, AssignmentState> state : assignmentStates.entrySet()) {
            if (!state.getKey().equals(assignee)
                    && state.getValue().possibleServers.contains(serverId)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isSameAssignment(
            List<RegistryPage.RegisteredServer> previous, List<RegistryPage.RegisteredServer> current) {
        if (previous.size() != current.size()) {
            return false;
        }
        for (int i = 0; i < previous.size(); i++) {
            RegistryPage.RegisteredServer oldServer = previous.get(i);
            RegistryPage.RegisteredServer newServer = current.get(i);
            // How long a server stays slow runs down by itself and is no change.
            if (!oldServer.id().equals(newServer.id())
                    || oldServer.isDraining() != newServer.isDraining()
                    || oldServer.capacity() != newServer.capacity()
                    || !oldServer.address().equals(newServer.address())
                    || newServer.warmupLeftMs() > oldServer.warmupLeftMs()) {
                return false;
            }
        }
        return true;
    }

    private void sendAssignment(Gateway gateway, AssignmentState state) {
        state.isInFlight = true;
        long number = state.assignedNumber;
        long sentToken = fencingToken;
        ObjectNode request = JsonNodeFactory.instance
                .objectNode()
                .put("zone", zone)
                .put("fence", fencingToken)
                .put("n", number)
                .put("reader", readerId);
        ArrayNode servers = request.putArray("servers");
        Set<String> serverIds = new HashSet<>();
        for (RegistryPage.RegisteredServer server : state.servers) {
            servers.add(server.toJson());
            serverIds.add(server.id());
        }
        state.possibleServers.addAll(serverIds);
        transport.call(gateway.peerAddress, "assign", request, callTimeoutMs, response -> {
            state.isInFlight = false;
            if (response == null || fencingToken != sentToken) {
                return;
            }
            if (response.path("ok").asBoolean()) {
                state.confirmedNumber = number;
                state.possibleServers = serverIds;
            } else if (response.path("fence").asLong() == fencingToken) {
                // This helm told it more in an earlier life, under the same fence: its numbers go on from there.
                lastAssignmentNumber =
                        Math.max(lastAssignmentNumber, response.path("n").asLong());
                state.assignedNumber = ++lastAssignmentNumber;
            }
        });
    }
}
