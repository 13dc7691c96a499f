package bramblespool.coordination.answer;

import java.util.List;

/**
 * The first response to a request with an idempotency key, as every repeated request gets it.
 *
 * @param headers names and values in turn
 */
public record StoredResponse(int statusCode, List<String> headers, byte[] body) {
    /** Approximate size in memory. */
    public int sizeBytes() {
        int total = body.length;
        for (String header : headers) {
            total += header.length();
        }
        return total;
    }
}
