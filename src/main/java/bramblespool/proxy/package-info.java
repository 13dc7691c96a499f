/**
 * The data plane on HTTP: a request's way from a client through the outbound and inbound handlers to a server, with
 * attempts, retries and responses. Source: PROTOCOL-bramblespool.md, "Requests" and "Answers". May depend on {@code
 * coordination}, {@code protocol}, {@code state} and {@code transport}. Confined to the event loop.
 */
package bramblespool.proxy;
