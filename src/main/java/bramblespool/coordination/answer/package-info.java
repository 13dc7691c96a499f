/**
 * Copies of the answers to requests with idempotency keys, so that an answer outlives the proxy that gave it: proxies
 * hand them to controllers, controllers keep them on as many disks as may be lost and one more, and any proxy finds
 * them there. May depend on {@code hashing} and {@code time}, and on the layers below. Confined to the event loop.
 */
package bramblespool.coordination.answer;
