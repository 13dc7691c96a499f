package bramblespool.raft;

/**
 * All in milliseconds, ratios to the settings' {@code quiet} and {@code catchUp}. {@code absent}: after how long a silent
 * voter gives way to a spare one, so that the group bears the next loss well before that has to be borne.
 */
public record RaftTimeouts(long electionMs, long heartbeatMs, long requestMs, long absentMs) {
    public static RaftTimeouts of(long quietPeriodMs, long catchUpMs) {
        return new RaftTimeouts(
                quietPeriodMs / 5, quietPeriodMs / 20, quietPeriodMs / 8, Math.max(quietPeriodMs / 5, catchUpMs / 4));
    }
}
