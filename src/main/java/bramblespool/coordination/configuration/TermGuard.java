package bramblespool.coordination.configuration;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;

/**
 * Refuses the phases of deposed leaders and late phases of the present one.
 *
 * <p>It keeps the highest Raft term in which this process knows of a leader, and the last round of that leader's phase
 * messages. A message of a lower term, or of an earlier round, is stale: the present leader has gone on without it
 * (docs/control.md, section 1). Confined to the event loop.
 */
public final class TermGuard {
    private final EventLog log;
    private long highestTerm;
    private long lastRound;

    /** Creates a guard that knows of no leader. */
    public TermGuard(EventLog log) {
        this.log = log;
    }

    /** The highest term in which a leader is known; 0 before the first. */
    public long highestTerm() {
        return highestTerm;
    }

    /** Records that a leader was elected in this term; a lower term than the highest known changes nothing. */
    public void observeTerm(long term) {
        if (term > highestTerm) {
            highestTerm = term;
            lastRound = 0;
        }
    }

    /**
     * Records the term and round of a phase message.
     *
     * @param kind the message's kind, for the log
     * @return whether the message is current; a stale one must not be acted on
     */
    boolean accept(String kind, PhaseMessage message) {
        observeTerm(message.term());
        if (message.term() < highestTerm) {
            log.log(
                    Event.STALE_TERM_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    message.phase().wireNumber(),
                    "term",
                    message.term(),
                    "knownTerm",
                    highestTerm);
            return false;
        }
        if (message.round() < lastRound) {
            log.log(
                    Event.STALE_ROUND_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    message.phase().wireNumber(),
                    "round",
                    message.round(),
                    "knownRound",
                    lastRound);
            return false;
        }
        lastRound = message.round();
        return true;
    }
}
