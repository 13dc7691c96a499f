package bramblespool.coordination.tenancy;

/**
 * A shard's owner as the shard's register names it.
 *
 * @param peer the owner's peer address
 * @param leaseId the lease under which it owns the shard; when that has lapsed, it owns the shard no more
 * @param fencingToken rises with every change of the register
 */
record ShardOwner(String peer, String leaseId, long fencingToken) {}
