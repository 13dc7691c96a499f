package bramblespool.proxy;

import bramblespool.state.Route;

/** What happens to a request whose client has left, by its route's class. */
enum ClientClosePolicy {
    /** It ends everywhere, at its server too: nobody needs its result, and it may be broken off. */
    CANCEL,
    /** It ends everywhere but at its server, where a run that has begun is not to be broken off. */
    FINISH_RUN,
    /** It goes on as if nothing had happened: its result is stored for a repeat with the same idempotency key. */
    CONTINUE;

    static ClientClosePolicy of(Route route) {
        if (route.isKeyed()) {
            return CONTINUE;
        }
        return route.isIdempotent() ? CANCEL : FINISH_RUN;
    }
}
