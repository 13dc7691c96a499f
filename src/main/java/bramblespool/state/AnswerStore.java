package bramblespool.state;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A controller's copies of the answers that proxies gave to requests with idempotency keys. They outlive the proxies
 * and, on the disk, the controller's process; they are of use for a key's window only, and one that is lost is no
 * damage to anything else. Confined to the event loop; callbacks run there.
 */
public interface AnswerStore {
    /**
     * An answer as it is stored.
     *
     * @param registerId the register of the key
     * @param claim the claim under which the request was executed; one claim has one answer
     * @param fingerprint distinguishes different requests under one key
     * @param expiresAtMs by the cluster's time of day, in milliseconds since the epoch
     * @param response the answer in the form in which proxies write it
     * @param otherHolders the peer addresses of the other controllers that keep it, separated by spaces
     */
    record Answer(
            String registerId, String claim, long fingerprint, long expiresAtMs, String response, String otherHolders) {
        /** The same answer, kept by these others. */
        public Answer withOtherHolders(String newHolders) {
            return new Answer(registerId, claim, fingerprint, expiresAtMs, response, newHolders);
        }
    }

    /**
     * Some answers in the order in which they were stored.
     *
     * @param lastSequence the number of the last one
     * @param hasMore whether there may be more behind it
     */
    record AnswerPage(List<Answer> answers, long lastSequence, boolean hasMore) {
        /** No answers, and none to come. */
        public static final AnswerPage NONE = new AnswerPage(List.of(), 0, false);
    }

    /** Writes answers; the callback gets whether all of them are durable. */
    void saveAnswers(List<Answer> answers, Consumer<Boolean> callback);

    /** Finds the answer of a claim; the callback gets none where there is none, or where it can't be read. */
    void findAnswer(String registerId, String claim, Consumer<Optional<Answer>> callback);

    /**
     * Reads the answers that another controller keeps, too.
     *
     * @param afterSequence the number behind which to begin; 0 for the first page
     */
    void pageAnswers(String otherHolder, long afterSequence, int limit, Consumer<AnswerPage> callback);

    /** To be called once in each period: answers stored more than so many calls ago are removed. */
    void expireAnswers(int retainedPeriods);
}
