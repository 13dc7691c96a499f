/**
 * A controller node: wires consensus, gossip, sessions and the singleton roles, and dispatches peer messages to them.
 * May depend on the other packages of {@code coordination} but {@code dataplane}, and on all layers below. Confined to
 * the event loop.
 */
package bramblespool.coordination.controller;
