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
 * The singleton role that reads one zone's server list from the platform's registry and assigns each server to a
 * gateway. The desired state follows from the last completely read list and the gateways that are members, the actual
 * state is what each gateway last confirmed, and each round acts on the difference. A server is given to a new gateway
 * only after the old one has confirmed its removal or lost its session. Confined to the event loop.
 */
public final class RegistryReader {
    /**
     * A gateway that servers may be assigned to.
     *
     * @param serverIds the servers that it announces in its present incarnation
     */
    public record Gateway(String node, long incarnation, String peerAddress, String zone, Set<String> serverIds) {}

    /** Pages after which reading a list is given up as endless. */
    private static final int MAX_PAGES = 1000;
    /** Limit of the backoff, in halves of the reading interval. */
    private static final int MAX_BACKOFF_STEPS = 4;
    /** Reading intervals for which the list is read without the role: well above the time to elect a leader. */
    private static final int LEADERLESS_WATCH_PERIODS = 5;

    private static final class AssignmentState {
        private final long incarnation;
        /** The number of the assignment last made for this gateway; 0 before the first. */
        long assignedNumber;
        /** The number of the assignment that it last confirmed. */
        long confirmedNumber;

        List<RegistryPage.RegisteredServer> servers = List.of();
        /** The servers it may have: what it confirmed, and what was sent to it since. */
        Set<String> possibleServers = new HashSet<>();

        boolean isInFlight;

        AssignmentState(Gateway gateway) {
            incarnation = gateway.incarnation;
            possibleServers.addAll(gateway.serverIds);
        }
    }

    private final String zone;
    /** Distinguishes the runs of one controller. */
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
    /** Until when the list is read without the role. */
    private long watchUntilMs;

    private boolean isLeaderless;
    /** The draining servers that each gateway, by name and incarnation, has been informed of without the role. */
    private final Map<String, Set<String>> warnedServers = new HashMap<>();

    private long readGeneration;
    private long nextReadMs;
    private long backoffSteps;
    /** Numbers assignments; never reset within a run, because the role may return with the same fencing token. */
    private long lastAssignmentNumber;

    private Map<String, RegistryPage.RegisteredServer> registeredServers;
    private final Map<String, String> gatewayByServer = new HashMap<>();
    private final Map<String, AssignmentState> assignmentStates = new HashMap<>();

    /**
     * @param gateways the gateways that are members now
     * @param readIntervalMs time between two reads of the list
     * @param callTimeoutMs time-out of a call to a gateway
     */
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

    /** Sets whether this controller owns the role, and its fencing token. A new owner starts with a complete read. */
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
     * Sets whether no leader is known. The time limit for draining servers applies all the same, so the list is read
     * for some time without the role and gateways are informed of their draining servers; nothing is assigned.
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

    /** One round: reads the list when it is time, and assigns. To be called periodically. */
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

    // ---- reading the list

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
            for (RegistryPage.RegisteredServer server : page.servers()) {
                if (server.zone().equals(zone)) {
                    collected.put(server.id(), server);
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

    /** Informs the gateways of their draining servers, of each once. */
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

    // ---- assignment

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

    /** The gateways of the zone, or all where it has none. */
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

    /** Whether another member may still have this server. */
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
            // The remaining warm-up time decreases by itself, which is no change.
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
                // This controller sent it more in an earlier run with the same fencing token: continue from its
                // numbers.
                lastAssignmentNumber =
                        Math.max(lastAssignmentNumber, response.path("n").asLong());
                state.assignedNumber = ++lastAssignmentNumber;
            }
        });
    }
}
