package bramblespool.transport;

import java.util.function.Consumer;

/**
 * The platform: its list of servers and its intake of usage reports. Source: PROTOCOL-bramblespool.md, "Which servers
 * there are", and DEPLOY-bramblespool.md. Confined to the event loop.
 */
public interface PlatformClient {
    /** A response as received; {@code body} is null where none arrived completely in time. */
    record Response(int statusCode, byte[] body) {}

    /** Fetches a page of a zone's list; {@code pageToken} is null for the first. The callback runs exactly once. */
    void fetchPage(String zone, String pageToken, Consumer<Response> callback);

    /**
     * Reports usage as the owner of that singleton role.
     *
     * @param fencingToken the owner's fencing token
     * @param callback runs exactly once, with the status code, or 0 where no complete response arrived in time
     */
    void reportUsage(String owner, long fencingToken, String report, long timeoutMs, Consumer<Integer> callback);
}
