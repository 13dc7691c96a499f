package bramblespool.coordination.configuration;

import java.util.Set;
import java.util.function.Consumer;

/** Carries one phase of a commit to proxies and gathers their acknowledgements. */
@FunctionalInterface
public interface PhaseSender {
    /**
     * Sends a phase. The callback runs once: when all have answered, or after the time limit with the answers there
     * are.
     */
    void send(PhaseMessage message, Set<String> proxies, long timeoutMs, Consumer<PhaseAcknowledgements> callback);
}
