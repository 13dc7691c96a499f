package bramblespool.protocol;

/**
 * Whether a request was executed: the result of every attempt. Sent between proxies by its code. Source:
 * PROTOCOL-bramblespool.md, "Answers".
 */
public enum ExecutionOutcome {
    /** Nothing was sent to a server, or the server answered that it did not execute the request. */
    NOT_EXECUTED("n"),
    /** The request was sent and its outcome is unknown. */
    POSSIBLY_EXECUTED("m"),
    /** The server answered. */
    ANSWERED("a");

    /** The value in the header {@link HeaderNames#EXECUTION_OUTCOME}. */
    public final String code;

    ExecutionOutcome(String code) {
        this.code = code;
    }

    /** The outcome that a proxy sent; {@link #POSSIBLY_EXECUTED} where the code is null or unknown. */
    public static ExecutionOutcome fromCode(String code) {
        return "n".equals(code) ? NOT_EXECUTED : "a".equals(code) ? ANSWERED : POSSIBLY_EXECUTED;
    }
}
