/**
 * A proxy's part in the control plane: wires its gossip, its session with a controller, its role in the shadow commit
 * and its server admissions, and answers peer messages. May depend on the other packages of {@code coordination} but
 * {@code controller}, and on all layers below. Confined to the event loop.
 */
package bramblespool.coordination.dataplane;
