package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The acceptors' replies in one phase of a proposal, under the voters in force at its beginning.
 *
 * <p>Acceptors forget a register at different moments, and one that was restarted or cut off may still hold a copy of
 * its former use when the others have chosen a value anew, under a round that may be lower than the copy's. So what was
 * proposed long before another value of the same register is passed over: it was over when that one was proposed.
 */
final class PhaseReplies {
    private record Accepted(ProposalNumber number, String value) {}

    private final RegisterVoters voters;
    private final VoterSet voterSet;
    private final ProposalNumber number;
    private final long formerUseMs;
    private final Set<String> granting = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();
    private final List<Accepted> acceptedValues = new ArrayList<>();
    private long highestRefusingRound;

    /** @param formerUseMs how much older than another value one of the register's former use is at least */
    PhaseReplies(RegisterVoters voters, ProposalNumber number, long formerUseMs) {
        this.voters = voters;
        this.voterSet = voters.voterSet();
        this.number = number;
        this.formerUseMs = formerUseMs;
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
        if (!acceptedNumber.isNone()) {
            acceptedValues.add(new Accepted(acceptedNumber, acceptedValue));
        }
    }

    /** The accepted values that are not of a former use of the register. */
    private Stream<Accepted> presentValues() {
        long latestMs = acceptedValues.stream()
                .mapToLong(accepted -> accepted.number.issuedAtMs())
                .max()
                .orElse(ProposalNumber.NO_TIME);
        return acceptedValues.stream()
                .filter(accepted ->
                        !accepted.number.hasTime() || accepted.number.issuedAtMs() > latestMs - formerUseMs);
    }

    private Optional<Accepted> newest() {
        return presentValues().max(Comparator.comparing(Accepted::number));
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
     * The value of the register's present use that the granting acceptors have accepted under the highest number, or
     * null where they have accepted none. Only a value that can have been chosen is there to be kept ("Paxos Made
     * Simple", section 2.2, condition P2c).
     */
    String newestValue() {
        return newest().map(Accepted::value).orElse(null);
    }

    /** Whether the highest number stands for two values, which Paxos rules out: nothing is decided on that. */
    boolean hasContradiction() {
        return newest().stream()
                .anyMatch(newest -> presentValues()
                        .anyMatch(accepted ->
                                accepted.number.equals(newest.number) && !accepted.value.equals(newest.value)));
    }
}
