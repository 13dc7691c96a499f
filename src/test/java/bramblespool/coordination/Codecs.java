package bramblespool.coordination;

/** Lets tests of other packages read and write the forms that only this package knows. */
public final class Codecs {
    private Codecs() {
    }

    /** A ballot read and written again; an empty text stands for none. */
    public static String ballot(String written) {
        Ballot b = Ballot.read(written);
        return b == null ? "" : b.written();
    }
}
