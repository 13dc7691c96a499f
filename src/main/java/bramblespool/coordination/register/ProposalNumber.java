package bramblespool.coordination.register;

/**
 * A proposal number ("ballot number" in CASPaxos): of two proposals for one register the higher number prevails.
 * Numbers of different proposals differ, as Paxos demands (Lamport, "Paxos Made Simple", section 2.2).
 *
 * <p>Round 0 needs no prepare phase. Only one proposer may use it for one register and one epoch of voters, see
 * {@link Proposal}.
 *
 * <p>A number also tells when its proposal began. So a copy of a register tells its own age, after a restart too, and a
 * copy that one acceptor has kept of a register's former use is known from the values of its present one, whose rounds
 * begin anew, see {@link PhaseReplies}.
 *
 * @param round counts a proposer's attempts; compared first
 * @param votersEpoch the log index of the entry that made the proposer's voters the voters
 * @param proposer the proposer's member id
 * @param issuedAtMs the cluster's time of day at which the proposal began, in milliseconds since the epoch, or
 *     {@link #NO_TIME}
 */
record ProposalNumber(long round, long votersEpoch, String proposer, long issuedAtMs)
        implements Comparable<ProposalNumber> {
    /** Stands for the time in numbers of versions before 0.6.0, which wrote none. */
    static final long NO_TIME = 0;
    /** Below every number that a proposer uses: nothing was promised, or nothing accepted. */
    static final ProposalNumber NONE = new ProposalNumber(-1, 0, "", NO_TIME);

    private static final long UNPREPARED_ROUND = 0;

    /** The number of a proposal that skips the prepare phase. */
    static ProposalNumber unprepared(long votersEpoch, String proposer, long issuedAtMs) {
        return new ProposalNumber(UNPREPARED_ROUND, votersEpoch, proposer, issuedAtMs);
    }

    /** Whether the proposal of this number has skipped the prepare phase. */
    boolean isUnprepared() {
        return round == UNPREPARED_ROUND;
    }

    boolean isNone() {
        return round < UNPREPARED_ROUND;
    }

    /** Whether it says when its proposal began. */
    boolean hasTime() {
        return issuedAtMs != NO_TIME;
    }

    @Override
    public int compareTo(ProposalNumber other) {
        int comparison = Long.compare(round, other.round);
        if (comparison == 0) {
            comparison = Long.compare(votersEpoch, other.votersEpoch);
        }
        if (comparison == 0) {
            comparison = proposer.compareTo(other.proposer);
        }
        return comparison != 0 ? comparison : Long.compare(issuedAtMs, other.issuedAtMs);
    }
}
