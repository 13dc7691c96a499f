package bramblespool.coordination.configuration;

import bramblespool.coordination.gossip.GossipStore;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.PeerTransport;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Whether the configuration that a proxy found at its start is up to date (docs/control.md, section 1).
 *
 * <p>It is confirmed once the proxy's gossip store has been compared with a controller in touch with the leader.
 * Where every known controller is silent or out of touch nobody can confirm it: then confirmation is waived, so
 * that the proxy serves with what it found, and it goes on asking. Confined to the event loop.
 */
public final class ConfigurationFreshness {
    private enum State {
        UNCONFIRMED,
        /** No controller known can confirm. */
        WAIVED,
        CONFIRMED
    }

    private final Supplier<Set<String>> controllers;
    private final LongSupplier newestEpoch;
    private final GossipStore gossip;
    private final PeerTransport transport;
    private final long callTimeoutMs;
    private final EventLog log;
    /** Controllers that were silent or out of touch since the start. */
    private final Set<String> unavailableControllers = new HashSet<>();

    private final Set<String> pendingProbes = new HashSet<>();
    private State state = State.UNCONFIRMED;
    private long requiredEpoch;

    /**
     * @param controllers peer addresses of all controllers known
     * @param newestEpoch the number of the newest version that the gossip store names; 0 where it names none
     */
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

    /** Whether a controller in touch with the leader has confirmed what is known here. */
    public boolean isConfirmed() {
        return state == State.CONFIRMED;
    }

    /** Whether a proxy with that version in force need not wait for a confirmation. */
    public boolean mayServe(long epoch) {
        return state != State.UNCONFIRMED && epoch >= requiredEpoch;
    }

    /** The gossip store has been compared with that controller's. */
    public void onCompared(String controller, GossipStore.ReconciliationResult comparison) {
        if (state == State.CONFIRMED) {
            return;
        }
        if (comparison != GossipStore.ReconciliationResult.CURRENT) {
            onUnavailable(controller);
            return;
        }
        // Who serves already goes on with the version it has until it has fetched the newest.
        requiredEpoch = state == State.WAIVED ? 0 : newestEpoch.getAsLong();
        state = State.CONFIRMED;
        log.log(Event.CONFIGURATION_CONFIRMED, "controller", controller, "epoch", newestEpoch.getAsLong());
    }

    /** That controller is silent or out of touch. The others are probed, as long as one of them may be in touch. */
    public void onUnavailable(String controller) {
        if (state != State.UNCONFIRMED) {
            return;
        }
        unavailableControllers.add(controller);
        Set<String> knownControllers = controllers.get();
        if (unavailableControllers.containsAll(knownControllers)) {
            state = State.WAIVED;
            return;
        }
        for (String other : knownControllers) {
            if (!unavailableControllers.contains(other) && pendingProbes.add(other)) {
                probe(other);
            }
        }
    }

    private void probe(String controller) {
        transport.call(controller, PingCodec.KIND, PingCodec.encodeRequest(), callTimeoutMs, response -> {
            pendingProbes.remove(controller);
            if (response != null && PingCodec.decodeLeaderContact(response)) {
                gossip.reconcileWith(controller, comparison -> onCompared(controller, comparison));
            } else {
                onUnavailable(controller);
            }
        });
    }
}
