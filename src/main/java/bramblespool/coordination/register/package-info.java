/**
 * Replicated registers after Rystsov, "CASPaxos: Replicated State Machines without logs": proposer, acceptor and
 * proposal numbers. Each register is a single value that changes by compare-and-set, without a leader. May depend on
 * {@code hashing} and {@code time}, on {@code raft} for the set of voters, and on the layers below. Confined to the
 * event loop.
 */
package bramblespool.coordination.register;
