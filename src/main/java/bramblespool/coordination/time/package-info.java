/**
 * The time of day that the controllers agree on. May depend on the layers below only. Confined to the event loop.
 */
package bramblespool.coordination.time;
