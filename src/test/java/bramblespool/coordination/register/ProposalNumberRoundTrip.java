package bramblespool.coordination.register;

/** Lets tests of other packages use the written form of proposal numbers. */
public final class ProposalNumberRoundTrip {
    private ProposalNumberRoundTrip() {}

    /** A proposal number read and written again; an empty text stands for none. */
    public static String reencode(String written) {
        ProposalNumber number = ProposalNumber.decode(written);
        return number == null ? "" : number.encode();
    }
}
