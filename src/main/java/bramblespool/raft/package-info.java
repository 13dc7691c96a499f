/**
 * Consensus after Ongaro, "Consensus: Bridging Theory and Practice": elections with pre-vote, log replication,
 * snapshots, membership changes, read index and leases. Knows nothing of what it replicates. May depend on {@code
 * state} for durable storage and on {@code transport} for messages and timers. Confined to the event loop.
 */
package bramblespool.raft;
