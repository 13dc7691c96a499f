package bramblespool.coordination.membership;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The proxies and the endpoints they announce by gossip, combined with what this process has observed of them:
 * outstanding requests, reported load, suspicion. Chooses the endpoint for a request. Confined to the event loop.
 */
public final class EndpointDirectory {
    /** A sidecar or gateway, this process included. */
    public static final class Proxy {
        /** The node's name. */
        public final String node;
        /** The peer address; null as long as only a session of the node is known. */
        public String address;
        /** Where it accepts requests from other proxies; null like {@link #address}. */
        public String inboundAddress;
        /** The node's zone; null like {@link #address}. */
        public String zone;

        boolean hasLeft;
        boolean hasNoSession;
        long suspectedUntilMs;
        /** When this process last received an answer from it, on the event loop's clock. */
        public long lastHeardMs;
        /** When anti-entropy with it was last started because it used an old version mark. */
        public long lastUpdateSentMs;

        private final Map<String, Endpoint> endpoints = new HashMap<>();

        Proxy(String node) {
            this.node = node;
        }

        private boolean isHealthy(long nowMs) {
            return !hasLeft && !hasNoSession && suspectedUntilMs <= nowMs;
        }
    }

    /** A proxy's servers of one service. A sidecar has one endpoint with one server. */
    public static final class Endpoint {
        /** The proxy through which the servers are reached. */
        public final Proxy proxy;
        /** The service. */
        public final String target;
        /** The servers' ids, separated by spaces; empty where none is known. */
        public String serverIds = "";

        int capacity = 1;
        boolean isAccepting;
        long warmingUpUntilMs;
        double failureRate;
        int slownessLevel;
        int outstandingRequests;
        int reportedLoad;
        long reportedAtMs;

        private Endpoint(Proxy proxy, String target) {
            this.proxy = proxy;
            this.target = target;
        }
    }

    /** Time constant of the exponential decay of a reported load towards the service's typical utilization. */
    private static final double REPORT_DECAY_MS = 400;
    /** Age from which a reported load is ignored: a remainder of it must not decide between two endpoints. */
    private static final long REPORT_EXPIRY_MS = 800;
    /** Utilization below which an endpoint of the own zone is preferred to one of another zone. */
    private static final double SAME_ZONE_UTILIZATION_LIMIT = 0.8;

    /** Added to the cost of an endpoint in slow start, as utilization. */
    private static final double WARMUP_COST = 0.6;
    /**
     * Added to the cost at a failure rate of 1, as utilization: a server that fails some requests gets fewer, not none.
     */
    public static final double FAILURE_COST = 2;
    /**
     * Added to the cost for each slowness level, as utilization: at a slow server a request misses its latency target.
     */
    public static final double SLOWNESS_COST = 1;
    /** Weight of one report in the moving average of a service's typical utilization. */
    private static final double UTILIZATION_EWMA_WEIGHT = 0.02;

    private final Clock clock;
    private final String localNode;
    private final String localZone;
    private final long suspicionMs;
    private final ToIntFunction<String> localLoad;
    private final Map<String, Proxy> proxies = new HashMap<>();
    private final Map<String, List<Endpoint>> endpointsByService = new HashMap<>();
    /** For each service, the moving average of its endpoints' reported utilization. */
    private final Object2DoubleOpenHashMap<String> typicalUtilization = new Object2DoubleOpenHashMap<>();

    private final Set<String> evacuatedZones = new HashSet<>();

    /**
     * @param suspicionMs how long a proxy that did not answer is avoided
     * @param localLoad the number of requests that this process's own admissions of a service hold
     */
    public EndpointDirectory(
            Clock clock, String localNode, String localZone, long suspicionMs, ToIntFunction<String> localLoad) {
        this.localLoad = localLoad;
        this.clock = clock;
        this.localNode = localNode;
        this.localZone = localZone;
        this.suspicionMs = suspicionMs;
    }

    /** The peer addresses of the controllers known by gossip and of the seed peers. */
    public static Set<String> controllerAddresses(GossipStore gossip, Settings settings) {
        Set<String> addresses = new LinkedHashSet<>();
        for (GossipStore.GossipEntry entry : gossip.entriesWithPrefix(GossipKeys.CONTROLLER_KEY_PREFIX)) {
            if (!entry.body().path("gone").asBoolean()) {
                addresses.add(entry.body().path("peer").asText());
            }
        }
        settings.seedPeers().forEach(s -> addresses.add(settings.peerAddressOf(s)));
        return addresses;
    }

    /** The peer addresses of the controllers that announce themselves as voters; of all known ones where none does. */
    public static List<String> voterAddresses(GossipStore gossip, Settings settings) {
        List<String> addresses = new ArrayList<>();
        for (GossipStore.GossipEntry entry : gossip.entriesWithPrefix(GossipKeys.CONTROLLER_KEY_PREFIX)) {
            if (!entry.body().path("gone").asBoolean()
                    && entry.body().path("voter").asBoolean()) {
                addresses.add(entry.body().path("peer").asText());
            }
        }
        return addresses.isEmpty() ? new ArrayList<>(controllerAddresses(gossip, settings)) : addresses;
    }

    /** Takes a new version of a gossip entry; entries of other kinds are ignored. */
    public void onUpdate(GossipStore.GossipEntry entry) {
        if (entry.key().startsWith(GossipKeys.PROXY_KEY_PREFIX)) {
            updateProxy(proxy(entry.key().substring(GossipKeys.PROXY_KEY_PREFIX.length())), entry.body());
        } else if (entry.key().startsWith(GossipKeys.SESSION_KEY_PREFIX)) {
            Proxy proxy = proxy(entry.key().substring(GossipKeys.SESSION_KEY_PREFIX.length()));
            proxy.hasNoSession = !entry.body().path("open").asBoolean();
            if (!proxy.hasNoSession) {
                proxy.suspectedUntilMs = 0;
            }
        } else if (entry.key().startsWith(GossipKeys.EVACUATION_KEY_PREFIX)) {
            String zone = entry.key().substring(GossipKeys.EVACUATION_KEY_PREFIX.length());
            if (entry.body().path("on").asBoolean()) {
                evacuatedZones.add(zone);
            } else {
                evacuatedZones.remove(zone);
            }
        }
    }

    private Proxy proxy(String node) {
        return proxies.computeIfAbsent(node, Proxy::new);
    }

    private void updateProxy(Proxy proxy, JsonNode body) {
        proxy.address = body.path("peer").asText();
        proxy.inboundAddress = body.path("inbound").asText();
        proxy.zone = body.path("zone").asText();
        proxy.hasLeft = body.path("gone").asBoolean();
        Set<String> announced = new HashSet<>();
        for (JsonNode endpoint : body.path("doors")) {
            String target = endpoint.path("target").asText();
            announced.add(target);
            updateEndpoint(
                    proxy.endpoints.computeIfAbsent(target, service -> {
                        Endpoint created = new Endpoint(proxy, service);
                        endpointsByService
                                .computeIfAbsent(service, x -> new ArrayList<>())
                                .add(created);
                        return created;
                    }),
                    endpoint);
        }
        proxy.endpoints.values().removeIf(endpoint -> {
            boolean isRemoved = !announced.contains(endpoint.target);
            if (isRemoved) {
                endpointsByService.get(endpoint.target).remove(endpoint);
            }
            return isRemoved;
        });
    }

    private void updateEndpoint(Endpoint endpoint, JsonNode body) {
        String servers = body.path("servers").asText();
        if (!servers.equals(endpoint.serverIds)) {
            endpoint.proxy.suspectedUntilMs = 0;
            endpoint.reportedLoad = 0;
        }
        endpoint.serverIds = servers;
        endpoint.capacity = Math.max(1, body.path("capacity").asInt());
        endpoint.isAccepting = body.path("open").asBoolean();
        endpoint.failureRate = body.path("ill").asDouble();
        endpoint.slownessLevel = body.path("slow").asInt();
        long warmupLeftMs = body.path("cold").asLong();
        endpoint.warmingUpUntilMs = warmupLeftMs > 0 ? clock.nowMs() + warmupLeftMs : 0;
    }

    /** The proxy of that name, or null. */
    public Proxy findProxy(String node) {
        return proxies.get(node);
    }

    /** How many proxies there are, those that have left not counted. */
    public int proxyCount() {
        int count = 0;
        for (Proxy proxy : proxies.values()) {
            if (proxy.address != null && !proxy.hasLeft) {
                count++;
            }
        }
        return count;
    }

    /** The smallest capacity announced for an endpoint of the service, or the default where none is known. */
    public int smallestCapacity(String service, int defaultCapacity) {
        int least = Integer.MAX_VALUE;
        for (Endpoint endpoint : endpointsByService.getOrDefault(service, List.of())) {
            if (!endpoint.serverIds.isEmpty()) {
                least = Math.min(least, endpoint.capacity);
            }
        }
        return least == Integer.MAX_VALUE ? defaultCapacity : least;
    }

    /** Whether any endpoint of any service accepts requests. */
    public boolean hasAvailableServer() {
        for (Proxy proxy : proxies.values()) {
            for (Endpoint endpoint : proxy.endpoints.values()) {
                if (endpoint.isAccepting && !proxy.hasLeft) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether the operator has evacuated the zone. */
    public boolean isEvacuated(String zone) {
        return evacuatedZones.contains(zone);
    }

    /** The peer addresses of the other proxies that have a session, optionally only those of the own zone. */
    public List<String> peerAddresses(boolean sameZoneOnly) {
        List<String> addresses = new ArrayList<>();
        for (Proxy proxy : proxies.values()) {
            if (proxy.address != null
                    && !proxy.hasLeft
                    && !proxy.hasNoSession
                    && !proxy.node.equals(localNode)
                    && (!sameZoneOnly || proxy.zone.equals(localZone))) {
                addresses.add(proxy.address);
            }
        }
        return addresses;
    }

    // ---- observations

    /** Counts a request sent to the endpoint; to be followed by {@link #onRequestEnded}. */
    public void onRequestStarted(Endpoint endpoint) {
        endpoint.outstandingRequests++;
    }

    /** Ends what {@link #onRequestStarted} began. */
    public void onRequestEnded(Endpoint endpoint) {
        endpoint.outstandingRequests--;
    }

    /** Takes the load, running and queued requests, that the endpoint reported with a response. */
    public void recordLoad(Endpoint endpoint, int load) {
        endpoint.reportedLoad = load;
        endpoint.reportedAtMs = clock.nowMs();
        endpoint.proxy.lastHeardMs = endpoint.reportedAtMs;
        endpoint.proxy.suspectedUntilMs = 0;
        double typical = typicalUtilization.getDouble(endpoint.target);
        typicalUtilization.put(
                endpoint.target, typical + UTILIZATION_EWMA_WEIGHT * ((double) load / endpoint.capacity - typical));
    }

    /** Records that the proxy did not answer: it is avoided for {@code suspicionMs}, or until it answers. */
    public void markSuspected(Proxy proxy) {
        proxy.suspectedUntilMs = clock.nowMs() + suspicionMs;
    }

    /** Whether {@link #markSuspected} is still in effect. */
    public boolean isSuspected(Proxy proxy) {
        return proxy.suspectedUntilMs > clock.nowMs();
    }

    /**
     * The estimated utilization of an endpoint: its last report, decaying with age to the service's typical
     * utilization. So an endpoint that was idle precedes one without a recent report, and that precedes one that was
     * full.
     */
    private double utilization(Endpoint endpoint, long nowMs) {
        if (endpoint.proxy.node.equals(localNode)) {
            return (double) localLoad.applyAsInt(endpoint.target) / endpoint.capacity
                    + (endpoint.warmingUpUntilMs > nowMs ? WARMUP_COST : 0);
        }
        double typical = typicalUtilization.getDouble(endpoint.target);
        double estimated = nowMs - endpoint.reportedAtMs > REPORT_EXPIRY_MS
                ? typical
                : typical
                        + ((double) endpoint.reportedLoad / endpoint.capacity - typical)
                                * Math.exp((endpoint.reportedAtMs - nowMs) / REPORT_DECAY_MS);
        return Math.max((double) endpoint.outstandingRequests / endpoint.capacity, estimated)
                + (endpoint.warmingUpUntilMs > nowMs ? WARMUP_COST : 0);
    }

    private double cost(Endpoint endpoint, long nowMs) {
        return utilization(endpoint, nowMs)
                + endpoint.failureRate * FAILURE_COST
                + endpoint.slownessLevel * SLOWNESS_COST;
    }

    /**
     * Chooses an endpoint of the service by power of two choices: of the own zone where one has room, else of any zone;
     * null where all have been tried or none exists.
     */
    public Endpoint chooseEndpoint(String service, Set<Endpoint> tried) {
        List<Endpoint> candidates = endpointsByService.get(service);
        if (candidates == null) {
            return null;
        }
        long nowMs = clock.nowMs();
        List<Endpoint> sameZone = new ArrayList<>(candidates.size());
        List<Endpoint> healthy = new ArrayList<>(candidates.size());
        List<Endpoint> unhealthy = new ArrayList<>(candidates.size());
        for (Endpoint endpoint : candidates) {
            Proxy proxy = endpoint.proxy;
            if (tried.contains(endpoint)
                    || proxy.hasLeft
                    || proxy.inboundAddress == null
                    || evacuatedZones.contains(proxy.zone)) {
                continue;
            }
            if (!endpoint.isAccepting || !proxy.isHealthy(nowMs)) {
                if (endpoint.isAccepting) {
                    unhealthy.add(endpoint);
                }
                continue;
            }
            if (proxy.node.equals(localNode) && cost(endpoint, nowMs) < SAME_ZONE_UTILIZATION_LIMIT) {
                return endpoint;
            }
            healthy.add(endpoint);
            if (proxy.zone.equals(localZone)
                    && utilization(endpoint, nowMs)
                            <= Math.max(SAME_ZONE_UTILIZATION_LIMIT, typicalUtilization.getDouble(service))) {
                sameZone.add(endpoint);
            }
        }
        // Where all seem unhealthy the information is more likely wrong: any endpoint that announced itself open is
        // tried.
        return pickByPowerOfTwoChoices(
                !sameZone.isEmpty() ? sameZone : !healthy.isEmpty() ? healthy : unhealthy, nowMs);
    }

    private Endpoint pickByPowerOfTwoChoices(List<Endpoint> candidates, long nowMs) {
        if (candidates.isEmpty()) {
            return null;
        }
        int firstIndex = (int) (clock.random() * candidates.size());
        if (candidates.size() == 1) {
            return candidates.get(0);
        }
        Endpoint firstChoice = candidates.get(firstIndex);
        Endpoint secondChoice =
                candidates.get((firstIndex + 1 + (int) (clock.random() * (candidates.size() - 1))) % candidates.size());
        return cost(secondChoice, nowMs) < cost(firstChoice, nowMs) ? secondChoice : firstChoice;
    }
}
