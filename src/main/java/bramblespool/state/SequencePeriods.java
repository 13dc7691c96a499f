package bramblespool.state;

import java.util.ArrayDeque;
import java.util.OptionalLong;

/** Tells which rows of a store are old, by the sequence number that the last row had at the end of each period. */
final class SequencePeriods {
    /** The numbers at the ends of the last periods, the oldest first. */
    private final ArrayDeque<Long> lastSequences = new ArrayDeque<>();

    /**
     * Ends a period.
     *
     * @param lastSequence the last row's number; 0 where there was none yet
     * @param retainedPeriods how many ended periods are kept
     * @return up to which number rows are older than that; empty while no period is
     */
    OptionalLong end(long lastSequence, int retainedPeriods) {
        lastSequences.add(lastSequence);
        return lastSequences.size() > retainedPeriods ? OptionalLong.of(lastSequences.poll()) : OptionalLong.empty();
    }
}
