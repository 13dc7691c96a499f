package bramblespool.raft;

/**
 * All in milliseconds, ratios to the settings' {@code quiet} and {@code catchUp}. {@code absent}: after how long a silent
 * voter gives way to a spare one, so that the group bears the next loss well before that has to be borne.
 */
public record Times(long election, long heartbeat, long call, long absent) {
    public static Times of(long quiet, long catchUp) {
        return new Times(quiet / 5, quiet / 20, quiet / 8, Math.max(quiet / 5, catchUp / 4));
    }
}
