package bramblespool.coordination.controller;

/**
 * Guards state that is confined to the event loop, for use in {@code assert} statements: the first thread that asks is
 * taken for the event loop's. A node may be built on another thread, before its first message arrives.
 */
final class ThreadConfinement {
    private Thread owner;

    /** Whether all calls so far, this one among them, came on one thread. */
    boolean isOwnThread() {
        if (owner == null) {
            owner = Thread.currentThread();
        }
        return owner == Thread.currentThread();
    }
}
