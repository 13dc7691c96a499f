package bramblespool.transport;

import java.util.function.Consumer;

/** The platform that keeps the list of servers and takes reports. */
public interface PlatformClient {
    /** A page as it came; {@code body} is null where none came in time. */
    record Response(int statusCode, byte[] body) {}

    /** Asks for a page of a zone's list; {@code token} is null for the first. */
    void fetchPage(String zone, String pageToken, Consumer<Response> callback);

    /** Reports usage as the holder of that duty; the code is 0 where no whole answer came in time. */
    void reportUsage(String owner, long fencingToken, String report, long timeoutMs, Consumer<Integer> callback);
}
