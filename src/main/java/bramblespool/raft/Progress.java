package bramblespool.raft;

/**
 * How far a member is, as the leader knows: the highest index on its disk and how many it lacks; what it has of what is
 * under way in parts ({@code size} 0: nothing); snapshots sent since it last had all; since when it has not answered.
 */
public record Progress(
        String member, long match, long behind, int sent, int size, int snapshots, long silentMs, boolean differs) {}
