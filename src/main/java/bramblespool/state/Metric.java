package bramblespool.state;

import java.util.Locale;

/** Every counter of a process. The names are part of the interface to monitoring and are never reused. */
public enum Metric {
    /** Requests of clients and of the local server that were read to their end. */
    REQUESTS_READ("Requests of clients and of the local server that were read to their end"),
    /** Requests that were answered to the end. */
    REQUESTS_ANSWERED("Requests that were answered to the end"),
    /** Requests whose client closed its connection before it was answered. */
    REQUESTS_CLIENT_CLOSED("Requests whose client closed its connection before it was answered"),
    /** Requests refused because the process is shutting down. */
    REQUESTS_REFUSED_AT_SHUTDOWN("Requests refused because the process is shutting down"),
    /** Requests still unanswered at the end of the graceful shutdown, which were given a final response. */
    REQUESTS_ENDED_AT_SHUTDOWN("Requests ended with a final response at the end of the graceful shutdown"),
    /** Requests of other proxies that were read to their end. */
    FORWARDED_READ("Requests of other proxies that were read to their end"),
    /** Requests of other proxies that were answered to the end. */
    FORWARDED_ANSWERED("Requests of other proxies that were answered to the end"),
    /** Requests of other proxies whose connection was closed before they were answered. */
    FORWARDED_CLIENT_CLOSED("Requests of other proxies whose connection was closed before they were answered"),
    /** Attempts at other proxies that were cancelled. */
    PEER_ATTEMPTS_CANCELLED("Attempts at other proxies that were cancelled"),
    /** Requests sent to a server. */
    SERVER_REQUESTS("Requests sent to a server"),
    /** Requests that were cancelled in the queue of a server's admission. */
    QUEUED_REQUESTS_CANCELLED("Requests that were cancelled in the queue of a server's admission"),
    /** Requests at a server that were cancelled by closing its connection. */
    SERVER_REQUESTS_CANCELLED("Requests at a server that were cancelled by closing the connection"),
    /** Requests at a server that run on although nobody waits, because they must not be broken off. */
    SERVER_REQUESTS_DETACHED("Requests at a server that run on although their client has left"),
    /** Calls of the operator that were read to their end by the leader. */
    OPERATOR_REQUESTS_READ("Calls of the operator that were read to their end by the leader"),
    /** Calls of the operator that the leader answered to the end. */
    OPERATOR_REQUESTS_ANSWERED("Calls of the operator that the leader answered to the end"),
    /** Invariant: nothing is sent on for a client whose close was noticed. */
    VIOLATIONS_SENT_AFTER_CLOSE("Invariant violations: a request was sent on after its client's close was noticed"),
    /** Invariant: a client's close ends all work that may be broken off. */
    VIOLATIONS_WORK_AFTER_CLOSE("Invariant violations: cancelled work still held a slot or a connection"),
    /** Invariant: a request that was read is answered unless its client has left. */
    VIOLATIONS_UNANSWERED("Invariant violations: a request was read and its exchange ended without a response"),
    /** Invariant: no exchange outlives its deadline. */
    VIOLATIONS_OVERDUE("Invariant violations: an exchange was still open long after its deadline");

    private final String help;

    Metric(String help) {
        this.help = help;
    }

    /** What is counted, in a sentence. */
    public String help() {
        return help;
    }

    /** The name in the text exposition. */
    public String exposedName() {
        return "bramblespool_" + name().toLowerCase(Locale.ROOT) + "_total";
    }

    /** Whether it counts violations of an invariant, and so is to stay 0. */
    public boolean isViolation() {
        return name().startsWith("VIOLATIONS_");
    }
}
