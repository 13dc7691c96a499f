package bramblespool.coordination.configuration;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The highest term that this daemon has heard of a leader in, and the last round of phases of that leader's. What was said
 * in a lower term, or in an earlier round, is late and refused: whoever leads now says what holds.
 */
public final class TermGuard {
    private final EventLog log;
    private long highestTerm;
    private long lastRound;

    public TermGuard(EventLog log) {
        this.log = log;
    }

    public long highestTerm() {
        return highestTerm;
    }

    /** Somebody has led in this term. */
    public void observeTerm(long term) {
        if (term > highestTerm) {
            highestTerm = term;
            lastRound = 0;
        }
    }

    /** Takes note of what a leader says; false where that is late. */
    public boolean acceptMessage(String kind, JsonNode request) {
        long term = request.path("term").asLong();
        long messageRound = request.path("round").asLong();
        observeTerm(term);
        if (term < highestTerm) {
            log.log(
                    Event.STALE_TERM_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    request.path("phase").asInt(),
                    "term",
                    term,
                    "knownTerm",
                    highestTerm);
            return false;
        }
        if (messageRound < lastRound) {
            log.log(
                    Event.STALE_ROUND_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    request.path("phase").asInt(),
                    "round",
                    messageRound,
                    "knownRound",
                    lastRound);
            return false;
        }
        lastRound = messageRound;
        return true;
    }
}
