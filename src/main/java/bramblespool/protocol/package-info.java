/**
 * What the project's pages put on the wire: header names, operator requests, heartbeats, registry pages and the
 * outcome of an execution. Source: PROTOCOL-bramblespool.md. May depend on {@code state}. Stateless, immutable values.
 */
package bramblespool.protocol;
