/**
 * Rendezvous hashing: an order of candidates for a key on which all processes agree without communication. Depends on
 * no other package. Stateless, so usable from any thread.
 */
package bramblespool.coordination.hashing;
