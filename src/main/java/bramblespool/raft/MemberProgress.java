package bramblespool.raft;

/**
 * How far a member is, as the leader knows: the highest index on its disk and how many it lacks; what it has of what is
 * under way in parts ({@code size} 0: nothing); snapshots sent since it last had all; since when it has not answered.
 */
public record MemberProgress(
        String memberId,
        long matchIndex,
        long entriesBehind,
        int transferredChars,
        int transferChars,
        int snapshotsSent,
        long silentMs,
        boolean hasDivergedState) {}
