package bramblespool.coordination.tenancy;

import bramblespool.state.VoterSet;
import java.util.HashSet;
import java.util.Set;

/** The voters' answers to one lease request, under the voters in force when it was made. */
final class LeaseVote {
    private final VoterSet voterSet;
    private final Set<String> granting = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();

    LeaseVote(VoterSet voterSet) {
        this.voterSet = voterSet;
    }

    void add(String voter, boolean isGranted) {
        (isGranted ? granting : refusing).add(voter);
    }

    boolean hasMajority() {
        return voterSet.hasMajority(granting::contains);
    }

    boolean cannotReachMajority() {
        return !voterSet.hasMajority(voter -> !refusing.contains(voter));
    }
}
