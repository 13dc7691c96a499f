package bramblespool.coordination.controller;

/**
 * Asks for a token of a tenant's rate limit.
 *
 * @param shard the shard that the tenant belongs to; its owner keeps the bucket
 * @param epoch the version of the configuration that the limit is taken from
 * @param ratePerSecond tokens in a second
 * @param burst tokens that may be saved up
 */
record TokenRequest(String shard, String tenant, long epoch, double ratePerSecond, double burst) {}
