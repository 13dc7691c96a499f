package bramblespool.raft;

/** What a leader knows of another member. */
final class Follower {
    final String id;
    /** The next index to send, and the highest one known to be on its disk. */
    long next;
    long match;
    /** A message is under way, and another is to follow at once. */
    boolean busy;
    boolean again;
    /** When it last answered, and when what it answered had been sent. */
    long heard;
    long ackedSent;
    boolean settled;
    /** Messages sent to it, and the last one it has answered. */
    long sent;
    long answered;

    Follower(String id, long next, long now) {
        this.id = id;
        this.next = next;
        this.heard = now;
    }
}
