package bramblespool.coordination.tenancy;

/**
 * A claim of an idempotency key: sets the key's register if it is empty or holds the expected claim.
 *
 * @param expectedClaim the claim that may be replaced; null where the register must be empty
 */
public record IdempotencyClaim(String registerId, String claim, String expectedClaim) {}
