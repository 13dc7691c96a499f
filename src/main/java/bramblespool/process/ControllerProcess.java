package bramblespool.process;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.state.Metrics;
import bramblespool.state.Settings;
import bramblespool.state.SqliteAnswerStore;
import bramblespool.state.SqliteDurableStore;
import bramblespool.transport.EventLoop;
import bramblespool.transport.HttpPeerTransport;
import bramblespool.transport.HttpPlatformClient;
import bramblespool.transport.Listeners;
import bramblespool.transport.UpstreamClient;
import java.io.IOException;
import java.security.SecureRandom;

/** A controller's process: storage, listeners and life cycle. Confined to the event loop. */
public final class ControllerProcess implements ManagedProcess {
    private static final int IDLE_TIMEOUT_MS = 60_000;
    private static final long STOP_POLL_INTERVAL_MS = 10;

    private final EventLoop eventLoop;
    private final ControllerNode controllerNode;
    private final Listeners listeners;
    private final Metrics metrics;
    private final SqliteDurableStore durableStore;
    private final SqliteAnswerStore answerStore;
    private final OperatorEndpoint operatorEndpoint;

    /**
     * Opens the store and the listeners and starts.
     *
     * @throws IOException where an address cannot be bound or the store cannot be opened
     */
    public ControllerProcess(Settings settings, EventLoop eventLoop, EventLog log) throws IOException {
        this.eventLoop = eventLoop;
        metrics = new Metrics(log);
        listeners = new Listeners(eventLoop, log);
        UpstreamClient upstream = new UpstreamClient(eventLoop, listeners.bufferPool());
        HttpPeerTransport transport =
                new HttpPeerTransport(eventLoop, upstream, listeners.bufferPool(), IDLE_TIMEOUT_MS / 2, log);
        durableStore = new SqliteDurableStore(
                settings.dataDirectory(), eventLoop::post, eventLoop::nowMs, log, ControllerProcess::exitAfterDamage);
        answerStore = new SqliteAnswerStore(settings.dataDirectory(), eventLoop::post, log);
        HttpPlatformClient platformClient =
                settings.discovery() == Settings.Discovery.PLATFORM || settings.usageReporting() != null
                        ? new HttpPlatformClient(
                                eventLoop,
                                upstream,
                                settings.platformAddress(),
                                settings.bounds().drainMs() / 8)
                        : null;
        controllerNode = new ControllerNode(
                settings,
                new ControllerNode.Stores(durableStore, answerStore),
                Long.toHexString(new SecureRandom().nextLong()),
                eventLoop,
                transport,
                platformClient,
                log);
        transport.setRequestHandler(controllerNode);
        operatorEndpoint = new OperatorEndpoint(settings, controllerNode, eventLoop, metrics);
        var listenerOptions = Listeners.listenerOptions(
                64 << 10, HttpPeerTransport.MAX_MESSAGE_BYTES, IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS);
        listeners.listen(settings.peerAddress(), transport, listenerOptions);
        listeners.listen(settings.controlAddress(), operatorEndpoint, listenerOptions);
        controllerNode.start();
        log.log(Event.READY, "member", controllerNode.raft().localId());
    }

    /** With a damaged store this controller has to be restarted, as a new member. */
    private static void exitAfterDamage() {
        // In a thread of its own, because the shutdown hook waits for the event loop.
        new Thread(null, () -> System.exit(1), "end", 256 << 10).start();
    }

    @Override
    public void exposeMetrics(String address) {
        MetricsEndpoint.open(listeners, address, metrics);
    }

    @Override
    public void updateSettings(Settings newSettings) {
        controllerNode.updateSettings(newSettings);
    }

    /** Leaves the group, then answers what is left and ends. */
    @Override
    public void stop(long graceMs, Runnable onStopped) {
        controllerNode.leave();
        long deadlineMs = eventLoop.nowMs() + graceMs / 2;
        eventLoop.schedule(graceMs / 50, () -> awaitInFlightRequests(deadlineMs, onStopped));
    }

    private void awaitInFlightRequests(long deadlineMs, Runnable onStopped) {
        boolean isOver = eventLoop.nowMs() >= deadlineMs;
        if (!isOver && (operatorEndpoint.inFlightRequests() > 0 || !controllerNode.hasLeft())) {
            eventLoop.schedule(STOP_POLL_INTERVAL_MS, () -> awaitInFlightRequests(deadlineMs, onStopped));
            return;
        }
        operatorEndpoint.endForShutdown();
        // A turn of the event loop later, when the last responses are written.
        eventLoop.schedule(STOP_POLL_INTERVAL_MS, () -> {
            controllerNode.stop();
            listeners.close();
            durableStore.close();
            answerStore.close();
            onStopped.run();
        });
    }
}
