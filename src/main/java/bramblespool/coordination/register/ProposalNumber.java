package bramblespool.coordination.register;

/**
 * A proposal number ("ballot number" in CASPaxos): of two proposals for one register the higher number prevails.
 * Numbers of different proposers differ, as Paxos demands (Lamport, "Paxos Made Simple", section 2.2).
 *
 * <p>Round 0 needs no prepare phase. Only one proposer may use it for one register and one epoch of voters, see
 * {@link Proposal}.
 *
 * @param round counts a proposer's attempts; compared first
 * @param votersEpoch the log index of the entry that made the proposer's voters the voters
 * @param proposer the proposer's member id
 */
record ProposalNumber(long round, long votersEpoch, String proposer) implements Comparable<ProposalNumber> {
    /** Below every number that a proposer uses: nothing was promised, or nothing accepted. */
    static final ProposalNumber NONE = new ProposalNumber(-1, 0, "");

    private static final long UNPREPARED_ROUND = 0;

    /** The number of a proposal that skips the prepare phase. */
    static ProposalNumber unprepared(long votersEpoch, String proposer) {
        return new ProposalNumber(UNPREPARED_ROUND, votersEpoch, proposer);
    }

    /** Whether the proposal of this number has skipped the prepare phase. */
    boolean isUnprepared() {
        return round == UNPREPARED_ROUND;
    }

    boolean isNone() {
        return round < UNPREPARED_ROUND;
    }

    @Override
    public int compareTo(ProposalNumber other) {
        int comparison = Long.compare(round, other.round);
        if (comparison == 0) {
            comparison = Long.compare(votersEpoch, other.votersEpoch);
        }
        return comparison != 0 ? comparison : proposer.compareTo(other.proposer);
    }
}
