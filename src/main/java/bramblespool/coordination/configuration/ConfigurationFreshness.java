package bramblespool.coordination.configuration;

import bramblespool.coordination.gossip.GossipStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Whether what a side found at its start is of late. It is once its news has been compared with a helm in touch with who
 * leads. Where every helm known is silent or out of touch nobody can say: then it serves what it found, and goes on asking.
 */
public final class ConfigurationFreshness {
    private final Supplier<Set<String>> controllers;
    private final LongSupplier newestEpoch;
    private final GossipStore gossip;
    private final PeerTransport transport;
    private final long callTimeoutMs;
    private final EventLog log;
    /** Helms that were silent or out of touch since the start. */
    private final Set<String> unavailableControllers = new HashSet<>();

    private final Set<String> pendingProbes = new HashSet<>();
    private boolean isConfirmed;
    private boolean isWaived;
    private long requiredEpoch;

    /** {@code newest}: the number of the newest version that the news tells of. */
    public ConfigurationFreshness(
            Supplier<Set<String>> controllers,
            LongSupplier newestEpoch,
            GossipStore gossip,
            PeerTransport transport,
            long callTimeoutMs,
            EventLog log) {
        this.controllers = controllers;
        this.newestEpoch = newestEpoch;
        this.gossip = gossip;
        this.transport = transport;
        this.callTimeoutMs = callTimeoutMs;
        this.log = log;
    }

    public boolean isConfirmed() {
        return isConfirmed;
    }

    /** Whether a side with that version need not wait for an answer any more. */
    public boolean mayServe(long epoch) {
        return (isConfirmed || isWaived) && epoch >= requiredEpoch;
    }

    /** News has been compared with that helm. */
    public void onCompared(String controller, GossipStore.ReconciliationResult comparison) {
        if (isConfirmed) {
            return;
        }
        if (comparison == GossipStore.ReconciliationResult.CURRENT) {
            isConfirmed = true;
            requiredEpoch = isWaived ? 0 : newestEpoch.getAsLong();
            log.log(Event.CONFIGURATION_CONFIRMED, "controller", controller, "epoch", newestEpoch.getAsLong());
        } else {
            onUnavailable(controller);
        }
    }

    /** That helm is silent or out of touch: as long as another one may be in touch, the others are asked. */
    public void onUnavailable(String controller) {
        if (isConfirmed || isWaived) {
            return;
        }
        unavailableControllers.add(controller);
        Set<String> knownControllers = controllers.get();
        isWaived = unavailableControllers.containsAll(knownControllers);
        for (String other : knownControllers) {
            if (!isWaived && !unavailableControllers.contains(other) && pendingProbes.add(other)) {
                transport.call(other, "ping", JsonNodeFactory.instance.objectNode(), callTimeoutMs, response -> {
                    pendingProbes.remove(other);
                    if (response != null && response.path("touch").asBoolean()) {
                        gossip.reconcileWith(other, comparison -> onCompared(other, comparison));
                    } else {
                        onUnavailable(other);
                    }
                });
            }
        }
    }
}
