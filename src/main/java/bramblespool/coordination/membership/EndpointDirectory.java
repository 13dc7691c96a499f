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

/** The data plane's daemons and their doors as the news tells, with what this daemon has itself seen of them. */
public final class EndpointDirectory {
    /** Another daemon of the data plane. */
    public static final class Proxy {
        public final String node;
        public String address;
        public String inboundAddress;
        public String zone;
        boolean hasLeft;
        boolean hasNoSession;
        long suspectedUntilMs;
        public long lastHeardMs;
        /** When it was last told the news because its marks were old. */
        public long lastUpdateSentMs;

        private final Map<String, Endpoint> endpoints = new HashMap<>();

        Proxy(String node) {
            this.node = node;
        }

        private boolean isHealthy(long nowMs) {
            return !hasLeft && !hasNoSession && suspectedUntilMs <= nowMs;
        }
    }

    /** What a daemon leads to: its servers of one service, behind its gates. A weft has one door, with one server. */
    public static final class Endpoint {
        public final Proxy proxy;
        public final String target;
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

    /** After so long a reported load says little more than what the service's doors report on the whole. */
    private static final double REPORT_DECAY_MS = 400;
    /** And then nothing more: a trace of old news must not decide between two doors. */
    private static final long REPORT_EXPIRY_MS = 800;
    /** Below this share of its capacity a near server is taken before a far one. */
    private static final double SAME_ZONE_UTILIZATION_LIMIT = 0.8;

    private static final double WARMUP_COST = 0.6;
    /** What a server that fails everything costs more, in loads of itself: one that fails a part gets less, not nothing. */
    public static final double FAILURE_COST = 2;
    /** What each step of slowness costs more: a request at a server that takes many times as long misses its aim. */
    public static final double SLOWNESS_COST = 1;
    /** How much one report weighs in what a service's doors usually report. */
    private static final double UTILIZATION_EWMA_WEIGHT = 0.02;

    private final Clock clock;
    private final String localNode;
    private final String localZone;
    private final long suspicionMs;
    private final ToIntFunction<String> localLoad;
    private final Map<String, Proxy> proxies = new HashMap<>();
    private final Map<String, List<Endpoint>> endpointsByService = new HashMap<>();
    /** For each service, the share of their capacity that its doors usually report as taken. */
    private final Object2DoubleOpenHashMap<String> typicalUtilization = new Object2DoubleOpenHashMap<>();

    private final Set<String> evacuatedZones = new HashSet<>();

    /** {@code own}: how many requests this daemon's own gates of a service hold. */
    public EndpointDirectory(
            Clock clock, String localNode, String localZone, long suspicionMs, ToIntFunction<String> localLoad) {
        this.localLoad = localLoad;
        this.clock = clock;
        this.localNode = localNode;
        this.localZone = localZone;
        this.suspicionMs = suspicionMs;
    }

    /** The peer addresses of the helms that the news knows, and of the seeds. */
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

    /** The helms that say they are voters; all that are known where none does. */
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

    public Proxy findProxy(String node) {
        return proxies.get(node);
    }

    /** How many daemons of the data plane there are. */
    public int proxyCount() {
        int count = 0;
        for (Proxy proxy : proxies.values()) {
            if (proxy.address != null && !proxy.hasLeft) {
                count++;
            }
        }
        return count;
    }

    /** The least capacity that servers of a service are known to have, or the given one where none is known. */
    public int smallestCapacity(String service, int defaultCapacity) {
        int least = Integer.MAX_VALUE;
        for (Endpoint endpoint : endpointsByService.getOrDefault(service, List.of())) {
            if (!endpoint.serverIds.isEmpty()) {
                least = Math.min(least, endpoint.capacity);
            }
        }
        return least == Integer.MAX_VALUE ? defaultCapacity : least;
    }

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

    public boolean isEvacuated(String zone) {
        return evacuatedZones.contains(zone);
    }

    /** Those to pass news to; with {@code near}, of the own zone only. */
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

    // ---- what is seen of them

    public void onRequestStarted(Endpoint endpoint) {
        endpoint.outstandingRequests++;
    }

    public void onRequestEnded(Endpoint endpoint) {
        endpoint.outstandingRequests--;
    }

    public void recordLoad(Endpoint endpoint, int load) {
        endpoint.reportedLoad = load;
        endpoint.reportedAtMs = clock.nowMs();
        endpoint.proxy.lastHeardMs = endpoint.reportedAtMs;
        endpoint.proxy.suspectedUntilMs = 0;
        double typical = typicalUtilization.getDouble(endpoint.target);
        typicalUtilization.put(
                endpoint.target, typical + UTILIZATION_EWMA_WEIGHT * ((double) load / endpoint.capacity - typical));
    }

    public void markSuspected(Proxy proxy) {
        proxy.suspectedUntilMs = clock.nowMs() + suspicionMs;
    }

    public boolean isSuspected(Proxy proxy) {
        return proxy.suspectedUntilMs > clock.nowMs();
    }

    /**
     * The share of a door's capacity that is likely taken: what it reported, the less believed the older it is, and the
     * rest as with the service's doors on the whole. So one that was seen idle goes before one nobody has seen lately,
     * and that before one that was seen full.
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

    /** A door of the service not tried yet, or null where there is none. */
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
        // Where all seem lost it is likelier that the news is: any server that said it was open is tried.
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
