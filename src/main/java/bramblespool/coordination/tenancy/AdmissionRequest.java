package bramblespool.coordination.tenancy;

/**
 * A proxy asks whether a request may go on.
 *
 * @param tokenRequest for a token; null where the tenant has no limit
 * @param claim of the request's idempotency key; null where it has none
 * @param timeoutMs how long the proxy waits for the response
 */
public record AdmissionRequest(TokenRequest tokenRequest, IdempotencyClaim claim, long timeoutMs) {}
