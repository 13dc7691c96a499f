package bramblespool.coordination.register;

/**
 * The number of a round: of two rounds the higher one holds. Rounds of number 0 need no prepare; for one register and one
 * {@code epoch} of voters only one proposer may use that number, see {@link RegisterProposer}.
 */
record ProposalNumber(long number, long votersChangedIndex, String proposer) implements Comparable<ProposalNumber> {
    @Override
    public int compareTo(ProposalNumber other) {
        int comparison = Long.compare(number, other.number);
        if (comparison == 0) {
            comparison = Long.compare(votersChangedIndex, other.votersChangedIndex);
        }
        return comparison != 0 ? comparison : proposer.compareTo(other.proposer);
    }

    String encode() {
        return number + " " + votersChangedIndex + " " + proposer;
    }

    /** Reads what {@link #encode} wrote; null where nothing was. */
    static ProposalNumber decode(String encoded) {
        if (encoded == null || encoded.isEmpty()) {
            return null;
        }
        int firstSpace = encoded.indexOf(' ');
        int secondSpace = encoded.indexOf(' ', firstSpace + 1);
        return new ProposalNumber(
                Long.parseLong(encoded.substring(0, firstSpace)),
                Long.parseLong(encoded.substring(firstSpace + 1, secondSpace)),
                encoded.substring(secondSpace + 1));
    }
}
