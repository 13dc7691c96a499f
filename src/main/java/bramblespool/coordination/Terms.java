package bramblespool.coordination;

import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The highest term that this daemon has heard of a leader in, and the last round of phases of that leader's. What was said
 * in a lower term, or in an earlier round, is late and refused: whoever leads now says what holds.
 */
final class Terms {
    private final EventLog log;
    private long highest;
    private long round;

    Terms(EventLog log) {
        this.log = log;
    }

    long highest() {
        return highest;
    }

    /** Somebody has led in this term. */
    void heard(long term) {
        if (term > highest) {
            highest = term;
            round = 0;
        }
    }

    /** Takes note of what a leader says; false where that is late. */
    boolean take(String kind, JsonNode m) {
        long term = m.path("term").asLong();
        long in = m.path("round").asLong();
        heard(term);
        if (term < highest) {
            log.log(
                    Event.STALE_TERM_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    m.path("phase").asInt(),
                    "term",
                    term,
                    "knownTerm",
                    highest);
            return false;
        }
        if (in < round) {
            log.log(
                    Event.STALE_ROUND_REJECTED,
                    "kind",
                    kind,
                    "phase",
                    m.path("phase").asInt(),
                    "round",
                    in,
                    "knownRound",
                    round);
            return false;
        }
        round = in;
        return true;
    }
}
