package bramblespool.coordination.configuration;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * How the proxies answered one phase. A proxy in neither set did not answer, or the phase did not fit it.
 *
 * @param confirmed nodes that acknowledged the phase
 * @param rejected nodes that found the candidate invalid
 */
public record PhaseAcknowledgements(Set<String> confirmed, Set<String> rejected) {
    /** Those of the given proxies that have not confirmed. */
    Set<String> unconfirmedOf(Collection<String> proxies) {
        Set<String> unconfirmed = new HashSet<>(proxies);
        unconfirmed.removeAll(confirmed);
        return unconfirmed;
    }
}
