package bramblespool.protocol;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** The header names of the protocol, and which headers travel on. */
public final class HeaderNames {
    public static final HttpString ATTEMPT_ID = new HttpString("X-Attempt-Id");
    public static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");
    public static final HttpString SERVER_SEAL = new HttpString("X-Server-Seal");
    public static final HttpString TARGET_INSTANCE = new HttpString("X-Target-Instance");
    public static final HttpString NOT_EXECUTED = new HttpString("X-Not-Executed");
    public static final HttpString CALLER_SERVICE = new HttpString("X-Caller-Service");
    public static final HttpString WARMUP = new HttpString("X-Warmup-Ms");
    public static final HttpString INSTANCE_ID = new HttpString("X-Instance-Id");
    public static final HttpString TENANT = new HttpString("X-Tenant");
    public static final HttpString OPERATION_KEY = new HttpString("X-Operation-Key");
    /** Between daemons of the data plane only. */
    public static final HttpString VERSION_MARK = new HttpString("X-Spool-Mark");

    public static final HttpString TARGET_SERVICE = new HttpString("X-Spool-Service");
    public static final HttpString SENDER_NODE = new HttpString("X-Spool-From");
    public static final HttpString EXECUTION_OUTCOME = new HttpString("X-Spool-Verdict");
    public static final HttpString REASON = new HttpString("X-Spool-Why");
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

    /** Copies what travels on. Headers that the system sets itself never do: each daemon sets its own. */
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

    /** Seconds that a kept connection lasts, as its other end tells, or -1. */
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
