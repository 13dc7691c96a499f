package bramblespool.raft;

import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/**
 * A leader's reads that wait until a majority has confirmed, after each was requested, that it still leads (Raft
 * dissertation, section 6.4). Confined to the event loop.
 */
final class ReadIndex {
    private record PendingRead(long requestedAtMs, Consumer<LeadershipConfirmation> callback) {}

    private final List<PendingRead> pendingReads = new ArrayList<>();

    boolean isEmpty() {
        return pendingReads.isEmpty();
    }

    void add(long nowMs, Consumer<LeadershipConfirmation> callback) {
        pendingReads.add(new PendingRead(nowMs, callback));
    }

    /**
     * Ends the reads that a majority has confirmed.
     *
     * @param lastAckedSendMs for each voter, when the last request that it has answered was sent
     * @return whether some were confirmed and none is left
     */
    boolean completeConfirmed(VoterSet voterSet, String localId, ToLongFunction<String> lastAckedSendMs) {
        List<PendingRead> confirmed = new ArrayList<>();
        for (PendingRead read : pendingReads) {
            if (voterSet.hasMajority(
                    voter -> voter.equals(localId) || lastAckedSendMs.applyAsLong(voter) > read.requestedAtMs)) {
                confirmed.add(read);
            }
        }
        pendingReads.removeAll(confirmed);
        confirmed.forEach(read -> read.callback.accept(LeadershipConfirmation.CONFIRMED));
        return !confirmed.isEmpty() && pendingReads.isEmpty();
    }

    /** Ends the reads that have waited longer than this without a majority. */
    void failExpired(long nowMs, long timeoutMs) {
        pendingReads.removeIf(read -> {
            boolean isExpired = nowMs - read.requestedAtMs > timeoutMs;
            if (isExpired) {
                read.callback.accept(LeadershipConfirmation.NOT_CONFIRMED);
            }
            return isExpired;
        });
    }

    /** Takes out all that wait, for the caller to end. */
    List<Consumer<LeadershipConfirmation>> drain() {
        List<Consumer<LeadershipConfirmation>> callbacks = new ArrayList<>();
        pendingReads.forEach(read -> callbacks.add(read.callback));
        pendingReads.clear();
        return callbacks;
    }
}
