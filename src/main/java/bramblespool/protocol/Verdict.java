package bramblespool.protocol;

/** May the request have run? Every send ends in one of these. */
public enum Verdict {
    /** Nothing was handed to a server, or the server said that it did not run it. */
    NEVER_RAN("n"),
    /** It was handed on and nobody can say. */
    MAY_HAVE_RUN("m"),
    /** The server answered. */
    ANSWERED("a");

    public final String code;

    Verdict(String code) {
        this.code = code;
    }

    /** A peer's word; without one that is understood, the request may have run. */
    public static Verdict of(String code) {
        return "n".equals(code) ? NEVER_RAN : "a".equals(code) ? ANSWERED : MAY_HAVE_RUN;
    }
}
