/**
 * The life cycle of a running role: a process opens its listeners and storage, wires the nodes and handlers below,
 * takes reloaded settings, and shuts down gracefully. Holds no protocol logic. May depend on every package but {@code
 * cli}. Confined to the event loop.
 */
package bramblespool.process;
