package bramblespool.coordination.tenancy;

/**
 * What a proxy adds to its request for a token: it can be told who holds the tenant's bucket, and can hold it itself.
 *
 * @param candidate this proxy and the run of its process, if it would hold the bucket; else null
 * @param unavailableHolder the peer address of a holder that did not give an answer just now; null for none
 * @param knownVersion the {@link BucketMap#version()} that the proxy has from the controller it asks, 0 for none
 */
public record BucketQuery(String candidate, String unavailableHolder, long knownVersion) {}
