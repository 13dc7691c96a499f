package bramblespool.state;

/**
 * The disk cannot be read or written now: no room, a failed read or write, a lock, a missing folder. Nothing has
 * changed on it, and the same operation may succeed later.
 */
final class StoreUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    StoreUnavailableException(Exception cause) {
        super(cause.getMessage(), cause);
    }
}
