/**
 * The shadow commit of routing configurations: the leader's coordinator, a proxy's participant, recovery after a
 * change of leader, and the freshness of a proxy's configuration at its start. Source: "Shadow Configuration as a
 * Network Management Primitive", sections 6 and 7. May depend on {@code gossip} and the layers below. Confined to the
 * event loop.
 */
package bramblespool.coordination.configuration;
