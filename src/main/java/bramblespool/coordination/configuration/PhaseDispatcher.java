package bramblespool.coordination.configuration;

import bramblespool.transport.PeerTransport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;

/**
 * Sends the leader's phases to the proxies by way of the zone controllers that hold their sessions, so that a document
 * crosses each link between zones once. Confined to the event loop.
 */
public final class PhaseDispatcher implements PhaseSender {
    /** A zone controller waits for its proxies this part of the leader's time limit, so that its answer is in time. */
    private static final int RELAY_TIMEOUT_NUMERATOR = 4;

    private static final int RELAY_TIMEOUT_DENOMINATOR = 5;

    private final PeerTransport transport;
    private final String localAddress;
    private final PhaseRelay localRelay;
    private final Function<String, Optional<String>> controllerOfProxy;
    private final LongConsumer termObserver;

    /**
     * @param localAddress this controller's own peer address
     * @param localRelay this controller's own part as a zone controller
     * @param controllerOfProxy the peer address of the controller that holds a proxy's session; empty where unknown
     * @param termObserver takes each term that an answer names
     */
    public PhaseDispatcher(
            PeerTransport transport,
            String localAddress,
            PhaseRelay localRelay,
            Function<String, Optional<String>> controllerOfProxy,
            LongConsumer termObserver) {
        this.transport = transport;
        this.localAddress = localAddress;
        this.localRelay = localRelay;
        this.controllerOfProxy = controllerOfProxy;
        this.termObserver = termObserver;
    }

    @Override
    public void send(
            PhaseMessage message, Set<String> proxies, long timeoutMs, Consumer<PhaseAcknowledgements> callback) {
        PhaseAcknowledgements acknowledgements = new PhaseAcknowledgements(new HashSet<>(), new HashSet<>());
        if (proxies.isEmpty()) {
            callback.accept(acknowledgements);
            return;
        }
        Map<String, Set<String>> proxiesByController = groupByController(proxies);
        int[] pending = {proxiesByController.size()};
        Consumer<Optional<PhaseRelayResult>> onResult = result -> {
            result.ifPresent(gathered -> add(gathered, acknowledgements));
            if (--pending[0] == 0) {
                callback.accept(acknowledgements);
            }
        };
        long relayTimeoutMs = timeoutMs * RELAY_TIMEOUT_NUMERATOR / RELAY_TIMEOUT_DENOMINATOR;
        proxiesByController.forEach((controller, nodes) -> {
            PhaseRelayRequest request = new PhaseRelayRequest(message, List.copyOf(nodes), relayTimeoutMs);
            if (controller.equals(localAddress)) {
                localRelay.relay(request, result -> onResult.accept(Optional.of(result)));
                return;
            }
            transport.call(
                    controller,
                    PhaseCodec.RELAY_KIND,
                    PhaseCodec.encodeRelayRequest(request),
                    timeoutMs,
                    response -> onResult.accept(Optional.ofNullable(response).map(PhaseCodec::decodeRelayResult)));
        });
    }

    private Map<String, Set<String>> groupByController(Set<String> proxies) {
        Map<String, Set<String>> proxiesByController = new HashMap<>();
        for (String proxy : proxies) {
            controllerOfProxy
                    .apply(proxy)
                    .ifPresent(controller -> proxiesByController
                            .computeIfAbsent(controller, k -> new LinkedHashSet<>())
                            .add(proxy));
        }
        return proxiesByController;
    }

    private void add(PhaseRelayResult result, PhaseAcknowledgements acknowledgements) {
        acknowledgements.confirmed().addAll(result.confirmed());
        acknowledgements.rejected().addAll(result.rejected());
        termObserver.accept(result.newerTerm());
    }
}
