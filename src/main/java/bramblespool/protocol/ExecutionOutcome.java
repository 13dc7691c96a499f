package bramblespool.protocol;

/** May the request have run? Every send ends in one of these. */
public enum ExecutionOutcome {
    /** Nothing was handed to a server, or the server said that it did not run it. */
    NOT_EXECUTED("n"),
    /** It was handed on and nobody can say. */
    POSSIBLY_EXECUTED("m"),
    /** The server answered. */
    ANSWERED("a");

    public final String code;

    ExecutionOutcome(String code) {
        this.code = code;
    }

    /** A peer's word; without one that is understood, the request may have run. */
    public static ExecutionOutcome fromCode(String code) {
        return "n".equals(code) ? NOT_EXECUTED : "a".equals(code) ? ANSWERED : POSSIBLY_EXECUTED;
    }
}
