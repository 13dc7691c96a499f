package bramblespool.raft;

/**
 * The durations that the protocol's timers go by, in milliseconds.
 *
 * @param electionMs without hearing of a leader for so long, a member may start an election
 * @param heartbeatMs a leader sends to each member at least once in this time
 * @param requestMs the time limit of a request without a payload
 * @param absentMs after so long a silent voter gives way to a learner: so early that the group is whole again well
 *     before the next loss that it has to bear
 */
public record RaftTimeouts(long electionMs, long heartbeatMs, long requestMs, long absentMs) {
    /** Ratios to the settings' quiet period. */
    private static final int ELECTION_DIVISOR = 5;

    private static final int HEARTBEAT_DIVISOR = 20;
    private static final int REQUEST_DIVISOR = 8;
    /** Ratio to the time within which a member has to catch up. */
    private static final int ABSENCE_DIVISOR = 4;
    /** Ratio to the election time. */
    private static final int CONTACT_RATIO = 2;

    /**
     * Within so long of its last answer a member counts as in contact; a leader without a majority in contact steps
     * down.
     */
    long contactMs() {
        return electionMs * CONTACT_RATIO;
    }

    /** The durations that follow from the settings' bounds. */
    public static RaftTimeouts of(long quietPeriodMs, long catchUpMs) {
        long electionMs = quietPeriodMs / ELECTION_DIVISOR;
        return new RaftTimeouts(
                electionMs,
                quietPeriodMs / HEARTBEAT_DIVISOR,
                quietPeriodMs / REQUEST_DIVISOR,
                Math.max(electionMs, catchUpMs / ABSENCE_DIVISOR));
    }
}
