/**
 * The event loop, listeners, the HTTP client with its connection pool, body streams, and the transports for peers and
 * the platform. May depend on {@code state}. The event loop is the process's one thread of logic; everything here is
 * confined to it save {@link bramblespool.transport.EventLoop#post}.
 */
package bramblespool.transport;
