package bramblespool.coordination;

/**
 * The number of a round: of two rounds the higher one holds. Rounds of number 0 need no prepare; for one register and one
 * {@code epoch} of voters only one proposer may use that number, see {@link Registers}.
 */
record Ballot(long number, long epoch, String proposer) implements Comparable<Ballot> {
    @Override
    public int compareTo(Ballot o) {
        int c = Long.compare(number, o.number);
        if (c == 0) {
            c = Long.compare(epoch, o.epoch);
        }
        return c != 0 ? c : proposer.compareTo(o.proposer);
    }

    String written() {
        return number + " " + epoch + " " + proposer;
    }

    /** Reads what {@link #written} wrote; null where nothing was. */
    static Ballot read(String written) {
        if (written == null || written.isEmpty()) {
            return null;
        }
        int first = written.indexOf(' ');
        int second = written.indexOf(' ', first + 1);
        return new Ballot(
                Long.parseLong(written.substring(0, first)),
                Long.parseLong(written.substring(first + 1, second)),
                written.substring(second + 1));
    }
}
