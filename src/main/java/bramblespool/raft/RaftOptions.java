package bramblespool.raft;

/**
 * Who a member is and what its group is to bear.
 *
 * @param localId the member's id, {@code address#incarnation}
 * @param controlAddress where the member serves operators
 * @param founderCount how many members founded the group
 * @param tolerableLosses how many disks may be lost at one time with nothing committed lost and a majority left
 * @param timeouts the protocol's durations
 */
public record RaftOptions(
        String localId, String controlAddress, int founderCount, int tolerableLosses, RaftTimeouts timeouts) {
    /** On how many disks an entry must be before it counts as committed, as far as there are that many. */
    int requiredReplicas() {
        return tolerableLosses + 1;
    }

    /** How many voters there are to be, as far as there are members enough. */
    int targetVoterCount() {
        return Math.max(founderCount, 2 * tolerableLosses + 1);
    }
}
