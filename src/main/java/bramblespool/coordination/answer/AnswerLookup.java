package bramblespool.coordination.answer;

import bramblespool.transport.PeerTransport;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Finds the copy of an answer whose proxy can't be asked any more. That is rare, so all controllers are asked at once,
 * and nobody has to know which of them hold it. Confined to the event loop.
 */
public final class AnswerLookup {
    private final PeerTransport transport;
    private final Supplier<List<String>> controllers;

    /** @param controllers the controllers' peer addresses */
    public AnswerLookup(PeerTransport transport, Supplier<List<String>> controllers) {
        this.transport = transport;
        this.controllers = controllers;
    }

    /** The callback gets the answer of this claim, or none where no controller that answers in time has it. */
    public void find(String registerId, String claim, long timeoutMs, Consumer<Optional<FoundAnswer>> callback) {
        List<String> asked = controllers.get();
        if (asked.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        Search search = new Search(asked.size(), callback);
        for (String controller : asked) {
            transport.call(
                    controller,
                    AnswerCodec.FIND_KIND,
                    AnswerCodec.encodeFind(registerId, claim),
                    timeoutMs,
                    response ->
                            search.onResponse(response == null ? Optional.empty() : AnswerCodec.decodeFound(response)));
        }
    }

    /** One question to all: ends with the first answer found, or when nobody is left who may have it. */
    private static final class Search {
        private final Consumer<Optional<FoundAnswer>> callback;
        private int outstanding;
        private boolean isFinished;

        Search(int outstanding, Consumer<Optional<FoundAnswer>> callback) {
            this.outstanding = outstanding;
            this.callback = callback;
        }

        void onResponse(Optional<FoundAnswer> found) {
            outstanding--;
            if (!isFinished && (found.isPresent() || outstanding == 0)) {
                isFinished = true;
                callback.accept(found);
            }
        }
    }
}
