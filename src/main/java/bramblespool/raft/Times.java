package bramblespool.raft;

/** All in milliseconds, ratios to the settings' {@code quiet} and {@code stretch}. */
public record Times(long election, long heartbeat, long call, long absent) {
    public static Times of(long quiet, long stretch) {
        return new Times(quiet / 5, quiet / 20, quiet / 8, stretch);
    }
}
