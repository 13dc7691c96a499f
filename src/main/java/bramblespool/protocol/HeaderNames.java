package bramblespool.protocol;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/**
 * Names of the headers of PROTOCOL-bramblespool.md ("Requests", "Answers", "Servers") and of those between proxies, and
 * the rule which headers are forwarded.
 */
public final class HeaderNames {
    /** Names an attempt; every response names the attempt that it answers. */
    public static final HttpString ATTEMPT_ID = new HttpString("X-Attempt-Id");
    /** Milliseconds left for the request. */
    public static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");
    /** Set by a server on each of its responses. */
    public static final HttpString SERVER_SEAL = new HttpString("X-Server-Seal");
    /** The id of the server that a request is meant for. */
    public static final HttpString TARGET_INSTANCE = new HttpString("X-Target-Instance");
    /** A server's promise that it did not execute the request. */
    public static final HttpString NOT_EXECUTED = new HttpString("X-Not-Executed");
    /** The service that sends the request. */
    public static final HttpString CALLER_SERVICE = new HttpString("X-Caller-Service");
    /** Milliseconds of slow start that a server has left, in the answer to a health check. */
    public static final HttpString WARMUP = new HttpString("X-Warmup-Ms");
    /** A server's id, in the answer to a health check. */
    public static final HttpString INSTANCE_ID = new HttpString("X-Instance-Id");
    /** The tenant of the request; set by the system only. */
    public static final HttpString TENANT = new HttpString("X-Tenant");
    /** The idempotency key. */
    public static final HttpString OPERATION_KEY = new HttpString("X-Operation-Key");
    /** Between proxies: the version of the routing configuration by which the request is routed. */
    public static final HttpString VERSION_MARK = new HttpString("X-Spool-Mark");
    /** Between proxies: the service that the request is for. */
    public static final HttpString TARGET_SERVICE = new HttpString("X-Spool-Service");
    /** Between proxies: the sending proxy's node. */
    public static final HttpString SENDER_NODE = new HttpString("X-Spool-From");
    /** Between proxies: the code of an {@link ExecutionOutcome}. */
    public static final HttpString EXECUTION_OUTCOME = new HttpString("X-Spool-Verdict");
    /** Between proxies: why a request was not answered; a final {@code !} means that it reached the server. */
    public static final HttpString REASON = new HttpString("X-Spool-Why");
    /** Between proxies: running and queued requests of the service at the answering proxy. */
    public static final HttpString SERVER_LOAD = new HttpString("X-Spool-Load");

    private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
    private static final HttpString PROXY_CONNECTION = new HttpString("Proxy-Connection");
    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            KEEP_ALIVE,
            PROXY_CONNECTION,
            Headers.TE,
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.EXPECT,
            Headers.CONTENT_LENGTH,
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION);
    private static final Set<HttpString> INTERNAL = Set.of(
            CALLER_SERVICE,
            TARGET_INSTANCE,
            VERSION_MARK,
            TARGET_SERVICE,
            SENDER_NODE,
            EXECUTION_OUTCOME,
            REASON,
            SERVER_LOAD);

    private HeaderNames() {}

    /** Copies the end-to-end headers. Headers that the system sets itself are left out: each process sets its own. */
    public static void copyEndToEnd(HeaderMap source, HeaderMap destination) {
        HeaderValues connection = source.get(Headers.CONNECTION);
        for (long cursor = source.fastIterateNonEmpty(); cursor != -1; cursor = source.fiNextNonEmpty(cursor)) {
            HeaderValues values = source.fiCurrent(cursor);
            HttpString name = values.getHeaderName();
            if (HOP_BY_HOP.contains(name) || INTERNAL.contains(name) || isNamedByConnection(connection, name)) {
                continue;
            }
            destination.putAll(name, values);
        }
    }

    private static boolean isNamedByConnection(HeaderValues connection, HttpString name) {
        if (connection == null) {
            return false;
        }
        for (String value : connection) {
            for (String option : value.split(",")) {
                if (option.strip().equalsIgnoreCase(name.toString())
                        && !name.equals(ATTEMPT_ID)
                        && !name.equals(TENANT)
                        && !name.equals(OPERATION_KEY)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Seconds that an idle connection is kept by the peer, from its Keep-Alive header; -1 where it announces none. */
    public static int keepAliveSeconds(HeaderMap headers) {
        String value = headers.getFirst(KEEP_ALIVE);
        if (value != null) {
            for (String part : value.split(",")) {
                String parameter = part.strip();
                if (parameter.startsWith("timeout=")) {
                    try {
                        return Integer.parseInt(parameter.substring(8).strip());
                    } catch (NumberFormatException e) {
                        return -1;
                    }
                }
            }
        }
        return -1;
    }
}
