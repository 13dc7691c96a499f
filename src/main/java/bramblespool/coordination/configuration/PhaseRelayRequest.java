package bramblespool.coordination.configuration;

import java.util.List;

/**
 * Asks a zone controller to hand a phase to those of its proxies that are named.
 *
 * @param message the phase
 * @param proxies names of the proxies' nodes
 * @param timeoutMs how long the zone controller may wait for their acknowledgements
 */
public record PhaseRelayRequest(PhaseMessage message, List<String> proxies, long timeoutMs) {}
