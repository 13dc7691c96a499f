/**
 * Sessions of proxies with controllers, and the directory of proxies and endpoints with the choice of an endpoint for
 * a request. Source: RULES-bramblespool.md, "In touch". May depend on {@code gossip}, {@code configuration}, {@code
 * singleton}, {@code hashing}, {@code time} and the layers below. Confined to the event loop.
 */
package bramblespool.coordination.membership;
