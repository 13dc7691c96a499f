package bramblespool.protocol;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** The header names of the protocol, and which headers travel on. */
public final class Names {
    public static final HttpString ATTEMPT = new HttpString("X-Attempt-Id");
    public static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");
    public static final HttpString SEAL = new HttpString("X-Server-Seal");
    public static final HttpString INSTANCE = new HttpString("X-Target-Instance");
    public static final HttpString NOT_RUN = new HttpString("X-Not-Executed");
    public static final HttpString CALLER = new HttpString("X-Caller-Service");
    public static final HttpString WARMUP = new HttpString("X-Warmup-Ms");
    public static final HttpString INSTANCE_ID = new HttpString("X-Instance-Id");
    public static final HttpString TENANT = new HttpString("X-Tenant");
    public static final HttpString OPERATION = new HttpString("X-Operation-Key");
    /** Between daemons of the data plane only. */
    public static final HttpString MARK = new HttpString("X-Spool-Mark");

    public static final HttpString SERVICE = new HttpString("X-Spool-Service");
    public static final HttpString FROM = new HttpString("X-Spool-From");
    public static final HttpString VERDICT = new HttpString("X-Spool-Verdict");
    public static final HttpString WHY = new HttpString("X-Spool-Why");
    public static final HttpString LOAD = new HttpString("X-Spool-Load");

    private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
    private static final HttpString PROXY_CONNECTION = new HttpString("Proxy-Connection");
    private static final Set<HttpString> ONE_HOP = Set.of(
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
    private static final Set<HttpString> OURS = Set.of(CALLER, INSTANCE, MARK, SERVICE, FROM, VERDICT, WHY, LOAD);

    private Names() {}

    /** Copies what travels on. Headers that the system sets itself never do: each daemon sets its own. */
    public static void copy(HeaderMap from, HeaderMap to) {
        HeaderValues connection = from.get(Headers.CONNECTION);
        for (long at = from.fastIterateNonEmpty(); at != -1; at = from.fiNextNonEmpty(at)) {
            HeaderValues v = from.fiCurrent(at);
            HttpString name = v.getHeaderName();
            if (ONE_HOP.contains(name) || OURS.contains(name) || named(connection, name)) {
                continue;
            }
            to.putAll(name, v);
        }
    }

    private static boolean named(HeaderValues connection, HttpString name) {
        if (connection == null) {
            return false;
        }
        for (String v : connection) {
            for (String word : v.split(",")) {
                if (word.strip().equalsIgnoreCase(name.toString())
                        && !name.equals(ATTEMPT)
                        && !name.equals(TENANT)
                        && !name.equals(OPERATION)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Seconds that a kept connection lasts, as its other end tells, or -1. */
    public static int keepAliveSeconds(HeaderMap headers) {
        String v = headers.getFirst(KEEP_ALIVE);
        if (v != null) {
            for (String word : v.split(",")) {
                String w = word.strip();
                if (w.startsWith("timeout=")) {
                    try {
                        return Integer.parseInt(w.substring(8).strip());
                    } catch (NumberFormatException e) {
                        return -1;
                    }
                }
            }
        }
        return -1;
    }
}
