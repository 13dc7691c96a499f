package bramblespool.coordination.answer;

/**
 * An operation that was executed and answered.
 *
 * @param registerId the register of its idempotency key
 * @param claim the claim under which it was executed; one claim has one answer
 * @param fingerprint distinguishes different requests under one key
 * @param response its answer
 * @param expiresAtMs until when repeats get the answer, by the clock of this process
 */
public record ExecutedOperation(
        String registerId, String claim, long fingerprint, StoredResponse response, long expiresAtMs) {}
