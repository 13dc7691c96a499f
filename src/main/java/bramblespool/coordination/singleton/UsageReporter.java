package bramblespool.coordination.singleton;

import bramblespool.coordination.gossip.GossipStore;
import bramblespool.coordination.register.RegisterProposer;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import bramblespool.transport.Clock;
import bramblespool.transport.PlatformClient;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Reports usage to the platform, window by window, while this controller owns that singleton role; and as every
 * controller collects what its proxies report of their usage.
 *
 * <p>One window at a time: the report is agreed on ({@link ReportAgreement}), then sent ({@link ReportSender})
 * under the role's fencing token ({@link UsageRole}). A window is sent until the platform takes it, with growing
 * pauses; the windows behind it wait, and are given up when they are too late. Confined to the event loop.
 */
public final class UsageReporter {
    /** Rounds of this role within a window. */
    private static final int ROUNDS_PER_WINDOW = 20;
    /** The longest pause after a failed call, and the longest wait for an answer, as a ratio to the window. */
    private static final int MAX_PAUSE_DIVISOR = 2;
    /** A request for a higher fencing token is repeated after so many times as long as a call may take. */
    private static final int TOKEN_REQUEST_FACTOR = 2;
    /** Fencing tokens are log indexes, which begin at 1. */
    private static final long NO_TOKEN = 0;

    /** What this process runs on. */
    public record Environment(Clock clock, ClusterClock clusterClock, PlatformClient platform, EventLog log) {}

    /** What the controllers agree by. */
    public record Replication(
            RaftNode raft,
            ReplicatedState replicatedState,
            FencingTokenRenewal tokenRenewal,
            RegisterProposer registerProposer,
            GossipStore gossip) {}

    private final long roundIntervalMs;
    private final Clock clock;
    private final EventLog log;
    private final FencingTokenRenewal tokenRenewal;
    private final long tokenRequestIntervalMs;
    private final UsageWindows windows;
    private final ClusterClock clusterClock;
    private final UsageCollector collector;
    private final UsageRole role;
    private final ReportedWindows reportedWindows;
    private final ReportAgreement agreement;
    private final ReportSender sender;
    private final ReportBackoff backoff;
    private boolean isBusy;
    private long rejectedFencingToken = NO_TOKEN;

    /**
     * @param hasFreshStore whether this process founded its store
     * @param members the nodes of all proxies that have a session
     */
    public UsageReporter(
            Settings settings,
            boolean hasFreshStore,
            Environment environment,
            Replication replication,
            ControllerPeers controllers,
            Supplier<? extends Collection<String>> members) {
        Settings.UsageReporting usageSettings = settings.usageReporting();
        this.clock = environment.clock();
        this.log = environment.log();
        this.tokenRenewal = replication.tokenRenewal();
        this.tokenRequestIntervalMs = controllers.callTimeoutMs() * TOKEN_REQUEST_FACTOR;
        this.windows = UsageWindows.of(usageSettings);
        this.roundIntervalMs = windows.windowMs() / ROUNDS_PER_WINDOW;
        this.clusterClock = environment.clusterClock();
        this.collector = new UsageCollector(clock, windows);
        this.role = new UsageRole(
                settings.peerAddress(),
                hasFreshStore,
                usageSettings.leaseMs(),
                clock,
                replication.raft(),
                replication.replicatedState(),
                log);
        this.reportedWindows = new ReportedWindows(replication.gossip(), windows, clusterClock, role);
        this.agreement = new ReportAgreement(replication.registerProposer(), collector, controllers, members, windows);
        long maxPauseMs = windows.windowMs() / MAX_PAUSE_DIVISOR;
        this.sender = new ReportSender(environment.platform(), settings.node(), maxPauseMs);
        this.backoff = new ReportBackoff(clock, roundIntervalMs, maxPauseMs, usageSettings.callsPerSecond());
    }

    /** Begins the rounds. */
    public void start() {
        clock.scheduleRepeatedly(roundIntervalMs, this::runRound);
    }

    /**
     * Takes the usage that a proxy reports with the renewal of its session.
     *
     * @param request the proxy's {@link UsageUpdate}
     * @param response the answer to the renewal, into which the receipt is written
     */
    public void onUsage(String proxy, JsonNode request, ObjectNode response) {
        UsageUpdate update = UsageCodec.decodeUpdate(request);
        collector.add(proxy, update);
        UsageCodec.writeReceipt(response, new UsageReceipt(update.change(), clusterClock.now()));
    }

    /** Serves other controllers' questions; false where the kind is another's. */
    public boolean handleRequest(String kind, JsonNode request, Consumer<ObjectNode> callback) {
        switch (kind) {
            case UsageCodec.QUERY_KIND ->
                callback.accept(UsageCodec.encodeUsage(collector.usageOf(UsageCodec.decodeQuery(request))));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void runRound() {
        collector.removeSilentProcesses();
        if (isBusy || backoff.isPaused() || !role.isActingOwner()) {
            return;
        }
        long fencingToken = role.fencingToken();
        if (rejectedFencingToken == fencingToken) {
            // Nothing is reported under it any more; the request for a higher one may have been lost.
            backoff.pauseFor(tokenRequestIntervalMs);
            tokenRenewal.requestHigherToken(SingletonRoleKeys.USAGE, fencingToken);
            return;
        }
        long window = reportedWindows.oldestUnreported();
        long elapsedMs = windows.elapsedSinceEnd(window, clusterClock.now());
        if (!windows.isSettled(elapsedMs)) {
            return;
        }
        isBusy = true;
        agreement.agree(window, elapsedMs, outcome -> onAgreement(window, fencingToken, outcome));
    }

    private void onAgreement(long window, long fencingToken, ReportAgreement.Outcome outcome) {
        if (outcome instanceof ReportAgreement.NoMajority) {
            backOff("no majority", fencingToken);
            return;
        }
        if (outcome instanceof ReportAgreement.Incomplete) {
            isBusy = false;
            return;
        }
        if (!role.isActingOwner() || role.fencingToken() != fencingToken) {
            // This process was paused, or lost touch, since the round began: the present owner reports the window.
            isBusy = false;
            return;
        }
        String report = ((ReportAgreement.Agreed) outcome).report();
        sender.send(report, fencingToken, sent -> onSent(window, fencingToken, sent));
    }

    private void onSent(long window, long fencingToken, ReportSender.Outcome outcome) {
        if (outcome instanceof ReportSender.Failed failed) {
            backOff(failed.reason(), fencingToken);
            return;
        }
        isBusy = false;
        if (outcome instanceof ReportSender.Fenced) {
            rejectedFencingToken = fencingToken;
            log.log(Event.USAGE_REPORT_FENCED, "fencingToken", fencingToken);
            tokenRenewal.requestHigherToken(SingletonRoleKeys.USAGE, fencingToken);
            return;
        }
        backoff.onSuccess();
        reportedWindows.onReported(window, fencingToken);
        log.log(Event.USAGE_REPORTED, "window", window, "fencingToken", fencingToken);
    }

    private void backOff(String reason, long fencingToken) {
        isBusy = false;
        backoff.onFailure();
        log.logOnChange(Event.USAGE_REPORT_FAILED, reason, "cause", reason, "fencingToken", fencingToken);
    }

    /** This role's part of the status page. */
    public ObjectNode status() {
        ReplicatedState.SingletonRole assignment = role.assignment().orElse(null);
        return UsageCodec.encodeStatus(new UsageStatus(
                assignment == null ? "" : assignment.owner(),
                assignment == null ? 0 : assignment.fencingToken(),
                reportedWindows.oldestUnreported(),
                windows.windowAt(clusterClock.now()),
                collector.processCount()));
    }
}
