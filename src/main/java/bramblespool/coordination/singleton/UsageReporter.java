package bramblespool.coordination.singleton;

import bramblespool.coordination.gossip.GossipKeys;
import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.register.RegisterResult;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The duty of reporting usage. Each window's report is an act of its own: what it says is agreed on in a round for that
 * act, in a register, before anybody says it, so that whoever says it again says the same. The fence under which it is said
 * is the duty's, from the log: it must never start over, and registers are forgotten in time.
 */
public final class UsageReporter {
    /** Key of the duty in the agreed log. */
    public static final String ROLE_KEY = "usage";
    /** Begins the ids of the acts' registers. */
    private static final String REGISTER_PREFIX = "usage/";
    /** Rounds of this duty within a window. */
    private static final int ROUNDS_PER_WINDOW = 20;
    /** After its end a window is left alone for this part of {@code usageLate}; sums that are lacking are waited for until that part. */
    private static final double SETTLE_FRACTION = 0.15;

    private static final double MISSING_USAGE_FRACTION = 0.5;
    /** The longest pause after a failed call, and the longest wait for an answer, as a ratio to the window. */
    private static final int MAX_BACKOFF_DIVISOR = 2;

    /** One process's sums, and before which window all of them are final. */
    private static final class ProcessUsage {
        private final String node;
        private long finalBeforeWindow;
        private long lastHeardMs;
        private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();

        private ProcessUsage(String node) {
            this.node = node;
        }
    }

    private final Settings.UsageReporting meteringSettings;
    private final String node;
    private final String peer;
    private final Clock clock;
    private final PeerTransport transport;
    private final PlatformClient platform;
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final SingletonRoles singletonRoles;
    private final RegisterProposer registerProposer;
    private final GossipStore gossip;
    private final Supplier<Collection<String>> controllers;
    private final Supplier<Collection<String>> members;
    private final boolean hasFreshStore;
    private final long callTimeoutMs;
    private final EventLog log;
    private final ClusterClock clusterClock;
    private final Map<String, ProcessUsage> usageByProcess = new HashMap<>();
    private final long retainedWindows;
    private long lastReportedWindow = -1;
    private long currentFencingToken = -1;
    private long ownedSinceMs;
    private boolean isBusy;
    private long backoffMs;
    private long backoffUntilMs;
    private long rejectedFencingToken = -1;

    public UsageReporter(
            Settings settings,
            boolean hasFreshStore,
            Clock clock,
            PeerTransport transport,
            PlatformClient platform,
            RaftNode raft,
            ReplicatedState replicatedState,
            SingletonRoles singletonRoles,
            RegisterProposer registerProposer,
            GossipStore gossip,
            Supplier<Collection<String>> controllers,
            Supplier<Collection<String>> members,
            long callTimeoutMs,
            EventLog log) {
        this.meteringSettings = settings.usageReporting();
        this.node = settings.node();
        this.peer = settings.peerAddress();
        this.hasFreshStore = hasFreshStore;
        this.clock = clock;
        this.transport = transport;
        this.platform = platform;
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.singletonRoles = singletonRoles;
        this.registerProposer = registerProposer;
        this.gossip = gossip;
        this.controllers = controllers;
        this.members = members;
        this.callTimeoutMs = callTimeoutMs;
        this.log = log;
        this.clusterClock = new ClusterClock(clock);
        this.retainedWindows = meteringSettings.usageLateMs() / meteringSettings.reportWindowMs() + 2;
    }

    public void start() {
        clock.scheduleRepeatedly(meteringSettings.reportWindowMs() / ROUNDS_PER_WINDOW, this::runRound);
        synchronizeClock();
    }

    private long currentWindow() {
        return Math.floorDiv(clusterClock.now(), meteringSettings.reportWindowMs());
    }

    /** Asks all helms for their time of day and takes the median. */
    private void synchronizeClock() {
        List<Long> offsets = new ArrayList<>();
        long askedAtMs = clock.nowMs();
        for (String controller : controllers.get()) {
            transport.call(controller, "time", JsonNodeFactory.instance.objectNode(), callTimeoutMs, response -> {
                if (response != null && response.path("wall").isNumber()) {
                    offsets.add(clusterClock.offsetOf(response.path("wall").asLong(), clock.nowMs() - askedAtMs));
                }
            });
        }
        clock.schedule(callTimeoutMs + 1, () -> {
            clusterClock.adoptMedian(offsets);
            clock.schedule(callTimeoutMs * 2, this::synchronizeClock);
        });
    }

    // ---- sums

    /** A side tells what began to run at its gates; the answer goes back with its session's. */
    public void onUsage(String proxy, JsonNode request, ObjectNode response) {
        recordUsage(proxy, request);
        response.put("change", request.path("change").asLong()).put("time", clusterClock.now());
    }

    private void recordUsage(String proxy, JsonNode request) {
        String incarnation = request.path("life").asText();
        ProcessUsage usage = usageByProcess.computeIfAbsent(proxy + " " + incarnation, k -> new ProcessUsage(proxy));
        usage.finalBeforeWindow =
                Math.max(usage.finalBeforeWindow, request.path("through").asLong());
        usage.lastHeardMs = clock.nowMs();
        request.path("windows").fields().forEachRemaining(windowEntry -> {
            Map<String, Integer> counts = new HashMap<>();
            windowEntry
                    .getValue()
                    .fields()
                    .forEachRemaining(tenantCount -> counts.put(
                            tenantCount.getKey(), tenantCount.getValue().asInt()));
            usage.windows.put(Long.parseLong(windowEntry.getKey()), counts);
        });
        while (usage.windows.size() > retainedWindows + 2) {
            usage.windows.pollFirstEntry();
        }
    }

    /** What this helm has heard of a window, by process. */
    private ObjectNode collectedUsage(long window) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        usageByProcess.forEach((key, usage) -> {
            ObjectNode usageNode =
                    response.putObject(key).put("node", usage.node).put("through", usage.finalBeforeWindow);
            Map<String, Integer> countsByTenant = usage.windows.get(window);
            if (countsByTenant != null) {
                ObjectNode counts = usageNode.putObject("counts");
                countsByTenant.forEach(counts::put);
            }
        });
        return response;
    }

    /** Serves this duty's messages; false where the kind is another's. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        switch (kind) {
            case "time" -> callback.accept(JsonNodeFactory.instance.objectNode().put("wall", clock.wallTimeMs()));
            case "usage" ->
                callback.accept(collectedUsage(request.path("window").asLong()));
            default -> {
                return false;
            }
        }
        return true;
    }

    // ---- acting

    /** The window before which all are known to be reported. */
    private long lastReportedWindow() {
        GossipStore.GossipEntry entry = gossip.get(GossipKeys.REPORTED_USAGE_KEY);
        if (entry != null) {
            lastReportedWindow =
                    Math.max(lastReportedWindow, entry.body().path("window").asLong());
        }
        if (lastReportedWindow < 0) {
            // The first holder of all begins with the window it is in; another one with all that can still be in time.
            ReplicatedState.SingletonRole role =
                    replicatedState.singletonRoles().get(ROLE_KEY);
            lastReportedWindow =
                    currentWindow() - (hasFreshStore && role != null && role.isFirstOwner() ? 0 : retainedWindows - 1);
        }
        // What is so late that nobody holds its sums any more is not made up.
        lastReportedWindow = Math.max(lastReportedWindow, currentWindow() - retainedWindows - 1);
        return lastReportedWindow;
    }

    private boolean isActingOwner() {
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(ROLE_KEY);
        if (role == null || !role.owner().equals(peer) || !raft.hasLease()) {
            return false;
        }
        if (role.fencingToken() != currentFencingToken) {
            currentFencingToken = role.fencingToken();
            ownedSinceMs = clock.nowMs();
            log.log(Event.SINGLETON_ROLE_ACQUIRED, "role", ROLE_KEY, "fencingToken", currentFencingToken);
        }
        // Whoever held it before may have acted just now.
        return hasFreshStore && role.isFirstOwner() || clock.nowMs() - ownedSinceMs > meteringSettings.leaseMs();
    }

    private void runRound() {
        usageByProcess
                .values()
                .removeIf(usage -> clock.nowMs() - usage.lastHeardMs > meteringSettings.usageLateMs() * 2);
        if (isBusy || clock.nowMs() < backoffUntilMs || !isActingOwner()) {
            return;
        }
        if (rejectedFencingToken == currentFencingToken) {
            // Nothing is said under it any more; the word for a higher one may have been lost.
            backoffUntilMs = clock.nowMs() + callTimeoutMs * 2;
            requestHigherFencingToken(currentFencingToken);
            return;
        }
        long window = lastReportedWindow() + 1;
        long elapsedMs = clusterClock.now() - (window + 1) * meteringSettings.reportWindowMs();
        if (elapsedMs < meteringSettings.usageLateMs() * SETTLE_FRACTION) {
            return;
        }
        isBusy = true;
        registerProposer.read(REGISTER_PREFIX + window, callTimeoutMs * 4, result -> {
            if (result instanceof RegisterResult.Chosen chosen) {
                // Somebody has won this act before; what it says is settled.
                sendReport(window, chosen.value());
            } else if (result instanceof RegisterResult.Empty) {
                gatherUsage(window, elapsedMs);
            } else {
                backOff("no majority");
            }
        });
    }

    private void backOff(String reason) {
        isBusy = false;
        backoffMs = Math.max(
                meteringSettings.reportWindowMs() / ROUNDS_PER_WINDOW,
                Math.min(backoffMs * 2, meteringSettings.reportWindowMs() / MAX_BACKOFF_DIVISOR));
        backoffUntilMs =
                clock.nowMs() + Math.max(backoffMs, (long) (1000 / Math.max(0.1, meteringSettings.callsPerSecond())));
        log.logOnChange(Event.USAGE_REPORT_FAILED, reason, "cause", reason, "fencingToken", currentFencingToken);
    }

    /** Asks all helms what they have heard of a window, and adds up each process once. */
    private void gatherUsage(long window, long elapsedMs) {
        Map<String, JsonNode> merged = new HashMap<>();
        mergeUsage(merged, collectedUsage(window));
        Collection<String> otherControllers = controllers.get();
        int[] pending = {otherControllers.size() + 1};
        boolean[] isAnySilent = new boolean[1];
        Runnable onResponse = () -> {
            if (--pending[0] == 0) {
                proposeReport(window, elapsedMs, merged, isAnySilent[0]);
            }
        };
        for (String controller : otherControllers) {
            transport.call(
                    controller,
                    "usage",
                    JsonNodeFactory.instance.objectNode().put("window", window),
                    callTimeoutMs,
                    response -> {
                        if (response == null) {
                            isAnySilent[0] = true;
                        } else {
                            mergeUsage(merged, response);
                        }
                        onResponse.run();
                    });
        }
        onResponse.run();
    }

    private static void mergeUsage(Map<String, JsonNode> merged, JsonNode received) {
        received.fields().forEachRemaining(process -> {
            JsonNode known = merged.get(process.getKey());
            // A sum only grows until it is final, but for runs that were taken back: the one heard last counts.
            boolean isNewer = known == null
                    || process.getValue().path("through").asLong()
                            > known.path("through").asLong()
                    || process.getValue().path("through").asLong()
                                    == known.path("through").asLong()
                            && process.getValue().has("counts")
                            && total(process.getValue()) > total(known);
            if (isNewer && (process.getValue().has("counts") || known == null || !known.has("counts"))) {
                merged.put(process.getKey(), process.getValue());
            }
        });
    }

    private static int total(JsonNode usage) {
        int sum = 0;
        for (JsonNode count : usage.path("counts")) {
            sum += count.asInt();
        }
        return sum;
    }

    private void proposeReport(long window, long elapsedMs, Map<String, JsonNode> merged, boolean isAnySilent) {
        Set<String> finishedNodes = new HashSet<>();
        merged.values().forEach(usage -> {
            if (usage.path("through").asLong() > window) {
                finishedNodes.add(usage.path("node").asText());
            }
        });
        boolean isComplete = !isAnySilent && finishedNodes.containsAll(members.get());
        if (!isComplete && elapsedMs < meteringSettings.usageLateMs() * MISSING_USAGE_FRACTION) {
            isBusy = false;
            return;
        }
        TreeMap<String, Integer> totals = new TreeMap<>();
        merged.values()
                .forEach(usage -> usage.path("counts")
                        .fields()
                        .forEachRemaining(tenantCount -> totals.merge(
                                tenantCount.getKey(), tenantCount.getValue().asInt(), Integer::sum)));
        ObjectNode report = JsonNodeFactory.instance.objectNode().put("windowNo", window);
        ObjectNode totalsNode = report.putObject("tallies");
        totals.forEach(totalsNode::put);
        registerProposer.setIfAbsent(REGISTER_PREFIX + window, report.toString(), callTimeoutMs * 4, result -> {
            if (result instanceof RegisterResult.Chosen chosen) {
                sendReport(window, chosen.value());
            } else {
                backOff("no majority");
            }
        });
    }

    private void sendReport(long window, String report) {
        long fencingToken = currentFencingToken;
        if (!isActingOwner() || currentFencingToken != fencingToken) {
            // It stood still, or lost touch, since it began: whoever holds the duty now says it.
            isBusy = false;
            return;
        }
        platform.reportUsage(
                node, fencingToken, report, meteringSettings.reportWindowMs() / MAX_BACKOFF_DIVISOR, statusCode -> {
                    if (statusCode == 200) {
                        isBusy = false;
                        backoffMs = 0;
                        lastReportedWindow = Math.max(lastReportedWindow, window);
                        gossip.publish(
                                GossipKeys.REPORTED_USAGE_KEY,
                                fencingToken,
                                window,
                                JsonNodeFactory.instance.objectNode().put("window", window));
                        log.log(Event.USAGE_REPORTED, "window", window, "fencingToken", fencingToken);
                    } else if (statusCode == 409) {
                        // The platform has seen a higher fence: under this one nothing more is said.
                        rejectedFencingToken = fencingToken;
                        isBusy = false;
                        log.log(Event.USAGE_REPORT_FENCED, "fencingToken", fencingToken);
                        requestHigherFencingToken(fencingToken);
                    } else {
                        backOff(statusCode == 0 ? "no answer" : "answered " + statusCode);
                    }
                });
    }

    /** Asks the leader for a higher fence, in case the duty is still this helm's. */
    private void requestHigherFencingToken(long fencingToken) {
        String leader = raft.leaderId();
        if (leader != null && !raft.isLeader()) {
            transport.call(
                    RaftNode.addressOf(leader),
                    "raise",
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("key", ROLE_KEY)
                            .put("fence", fencingToken)
                            .put("term", raft.currentTerm()),
                    callTimeoutMs,
                    ignored -> {});
        } else {
            singletonRoles.raiseFencingToken(ROLE_KEY, fencingToken);
        }
    }

    public ObjectNode status() {
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(ROLE_KEY);
        return JsonNodeFactory.instance
                .objectNode()
                .put("holder", role == null ? "" : role.owner())
                .put("fence", role == null ? 0 : role.fencingToken())
                .put("oldest", lastReportedWindow() + 1)
                .put("current", currentWindow())
                .put("heard", usageByProcess.size());
    }
}
