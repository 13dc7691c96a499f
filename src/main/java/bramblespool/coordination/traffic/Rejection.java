package bramblespool.coordination.traffic;

/**
 * Why a {@link ServerAdmission} rejected a request.
 *
 * @param reason sent to the calling proxy, which compares some of the values
 * @param retryAfterMs when to try again; 0 where nothing is known
 */
public record Rejection(String reason, long retryAfterMs) {}
