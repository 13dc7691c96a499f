package bramblespool.raft;

/**
 * How far a member is, as the leader knows, for operators.
 *
 * @param matchIndex the highest index known to be on its disk
 * @param entriesBehind how many entries of the leader's log are not
 * @param transfer what is on its way to it in chunks
 * @param snapshotsSent snapshots begun since it last had all that is committed
 * @param silentMs for how long it has not answered, in milliseconds
 * @param hasDivergedState whether its state is known to differ from the group's
 */
public record MemberProgress(
        String memberId,
        long matchIndex,
        long entriesBehind,
        Transfer transfer,
        int snapshotsSent,
        long silentMs,
        boolean hasDivergedState) {
    /**
     * A transfer in chunks.
     *
     * @param receivedChars how many characters the member has
     * @param totalChars the size of the whole; 0 where nothing is on its way
     */
    public record Transfer(int receivedChars, int totalChars) {
        static final Transfer NONE = new Transfer(0, 0);
    }

    /** How many characters of the transfer under way the member has. */
    public int transferredChars() {
        return transfer.receivedChars;
    }

    /** The size of the transfer under way; 0 where there is none. */
    public int transferChars() {
        return transfer.totalChars;
    }
}
