package bramblespool.coordination.controller;

import java.util.function.Consumer;

/**
 * A responder made of two functions.
 *
 * @param <A> the response
 */
record ResponderOf<A>(Consumer<A> onResponse, Runnable onRejected) implements Responder<A> {
    @Override
    public void respond(A response) {
        onResponse.accept(response);
    }

    @Override
    public void reject() {
        onRejected.run();
    }
}
