package bramblespool.coordination.tenancy;

import java.util.Map;

/**
 * A shard's owner lends the token buckets of a group to the proxy that asked.
 *
 * @param leaseMs for how long the owner lends them to nobody else, counted from when it answered
 * @param isContinued whether nobody else has held them since the last lease of this run of the proxy's process
 * @param isFull whether a bucket that is not among {@code tokens} is full; it holds one token otherwise
 * @param tokens what is left in buckets, by tenant
 */
public record BucketGrant(long leaseMs, boolean isContinued, boolean isFull, Map<String, Double> tokens) {}
