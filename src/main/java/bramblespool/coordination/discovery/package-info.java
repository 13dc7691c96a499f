/**
 * The platform's server registry: the singleton role that reads a zone's list and assigns its servers to gateways, and
 * a gateway's assigned servers. Source: PROTOCOL-bramblespool.md, "Which servers there are". May depend on {@code
 * hashing}, {@code traffic} and the layers below. Confined to the event loop.
 */
package bramblespool.coordination.discovery;
