package bramblespool.coordination.answer;

/**
 * A copy of an answer.
 *
 * @param fingerprint of the request that was executed
 * @param remainingMs for how long it is still valid
 */
public record FoundAnswer(long fingerprint, long remainingMs, StoredResponse response) {}
