/**
 * The eventually consistent table of entries that all processes share: versions, push of updates, anti-entropy by
 * digests, and the entries' keys. Depends on {@code hashing} and {@code transport} only. Confined to the event loop.
 */
package bramblespool.coordination.gossip;
