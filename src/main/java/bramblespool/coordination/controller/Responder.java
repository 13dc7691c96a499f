package bramblespool.coordination.controller;

/**
 * Takes the response to one request. Exactly one of the two methods is called, once, on the event loop; at once or
 * later.
 *
 * @param <A> the response
 */
interface Responder<A> {
    /** Answers the request. */
    void respond(A response);

    /** Refuses the request: for the caller this is the same as no response. */
    void reject();
}
