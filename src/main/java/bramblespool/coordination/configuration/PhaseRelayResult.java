package bramblespool.coordination.configuration;

import java.util.List;

/**
 * What a zone controller gathered from its proxies for one phase.
 *
 * @param confirmed nodes that acknowledged the phase
 * @param rejected nodes that found the candidate invalid
 * @param newerTerm a term above the message's that a proxy or the zone controller knows, or {@link #NO_NEWER_TERM}
 */
public record PhaseRelayResult(List<String> confirmed, List<String> rejected, long newerTerm) {
    /** Terms begin at 1. */
    public static final long NO_NEWER_TERM = 0;
}
