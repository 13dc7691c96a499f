package bramblespool.raft;

import bramblespool.state.VoterSet;

/** A candidate: the votes granted to it in its term. Confined to the event loop. */
final class CandidateState implements RoleState {
    private final VoteTally votes = new VoteTally();

    /** True once: when this vote makes a majority. */
    boolean recordVote(String voterId, VoterSet voterSet) {
        votes.add(voterId);
        return votes.winOnMajority(voterSet);
    }
}
