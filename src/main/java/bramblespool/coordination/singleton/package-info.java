/**
 * Singleton roles, which one controller owns at a time under a fencing token, and the role that reports usage to the
 * platform with the usage counts that it collects. May depend on {@code gossip}, {@code hashing}, {@code register},
 * {@code time} and the layers below. Confined to the event loop.
 */
package bramblespool.coordination.singleton;
