package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.state.VoterSet;
import java.util.HashSet;
import java.util.Set;

/** The acceptors' replies in one phase of a proposal, under the voters in force at its beginning. */
final class PhaseReplies {
    private final RegisterVoters voters;
    private final VoterSet voterSet;
    private final ProposalNumber number;
    private final Set<String> granting = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();
    private long highestRefusingRound;
    private ProposalNumber newestNumber = ProposalNumber.NONE;
    private String newestValue;
    private boolean hasContradiction;

    PhaseReplies(RegisterVoters voters, ProposalNumber number) {
        this.voters = voters;
        this.voterSet = voters.voterSet();
        this.number = number;
    }

    /** The number of the proposal that the replies are to. */
    ProposalNumber number() {
        return number;
    }

    void add(String voter, AcceptorReply reply) {
        if (reply.isGranted()) {
            granting.add(voter);
            addAccepted(reply.acceptedNumber(), reply.acceptedValue());
        } else {
            refusing.add(voter);
            highestRefusingRound = Math.max(highestRefusingRound, reply.highestSeenRound());
        }
    }

    private void addAccepted(ProposalNumber acceptedNumber, String acceptedValue) {
        int comparison = acceptedNumber.compareTo(newestNumber);
        if (comparison > 0) {
            newestNumber = acceptedNumber;
            newestValue = acceptedValue;
            hasContradiction = false;
        } else if (comparison == 0 && !acceptedNumber.isNone() && !acceptedValue.equals(newestValue)) {
            hasContradiction = true;
        }
    }

    boolean hasQuorum() {
        return voters.hasQuorum(voterSet, granting::contains);
    }

    boolean cannotReachQuorum() {
        return !voters.hasQuorum(voterSet, voter -> !refusing.contains(voter));
    }

    /** The highest round that a refusing acceptor has reported; the next attempt has to be above it. */
    long highestRefusingRound() {
        return highestRefusingRound;
    }

    /**
     * The value that the granting acceptors have accepted under the highest number, or null where they have accepted
     * none. Only a value that can have been chosen is there to be kept ("Paxos Made Simple", section 2.2, condition
     * P2c).
     */
    String newestValue() {
        return newestValue;
    }

    /**
     * Whether the highest number stands for two values. Paxos rules it out; it happens only where one copy of a
     * register has outlived the retention time and another has not, and a proposal without a prepare phase came in
     * between.
     */
    boolean hasContradiction() {
        return hasContradiction;
    }
}
