package bramblespool.coordination.singleton;

import bramblespool.transport.PlatformClient;
import java.util.function.Consumer;

/** Sends a window's report to the platform under a fencing token. */
final class ReportSender {
    private static final int STATUS_ACCEPTED = 200;
    private static final int STATUS_FENCED = 409;
    /** The platform client's code for no answer, or half of one. */
    private static final int STATUS_NO_ANSWER = 0;

    /** What the platform made of a report. */
    sealed interface Outcome {}

    /** The platform has the report. */
    record Accepted() implements Outcome {}

    /** The platform has seen a higher fencing token: under this one nothing more is taken. */
    record Fenced() implements Outcome {}

    /**
     * Whether the platform has the report is not known: it is to be sent again.
     *
     * @param reason what happened, for the log
     */
    record Failed(String reason) implements Outcome {}

    private final PlatformClient platform;
    private final String node;
    private final long timeoutMs;

    ReportSender(PlatformClient platform, String node, long timeoutMs) {
        this.platform = platform;
        this.node = node;
        this.timeoutMs = timeoutMs;
    }

    void send(String report, long fencingToken, Consumer<Outcome> callback) {
        platform.reportUsage(
                node, fencingToken, report, timeoutMs, statusCode -> callback.accept(outcomeOf(statusCode)));
    }

    static Outcome outcomeOf(int statusCode) {
        return switch (statusCode) {
            case STATUS_ACCEPTED -> new Accepted();
            case STATUS_FENCED -> new Fenced();
            case STATUS_NO_ANSWER -> new Failed("no answer");
            default -> new Failed("answered " + statusCode);
        };
    }
}
