package bramblespool.raft;

import bramblespool.state.VoterSet;
import java.util.HashSet;
import java.util.Set;

/** Counts the votes granted in one election or pre-vote. Confined to the event loop. */
final class VoteTally {
    private final Set<String> grantedBy = new HashSet<>();
    private boolean isWon;

    void add(String voterId) {
        grantedBy.add(voterId);
    }

    /** True once: the first time that the votes are a majority. */
    boolean winOnMajority(VoterSet voterSet) {
        if (isWon || !voterSet.hasMajority(grantedBy::contains)) {
            return false;
        }
        isWon = true;
        return true;
    }
}
