package bramblespool.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads that wait until a majority has confirmed, after each was asked for, that this member still leads (ReadIndex). */
final class ReadIndex {
    private record PendingRead(long requestedAtMs, Consumer<LeadershipConfirmation> callback) {}

    private final RaftNode raft;
    private final List<PendingRead> pendingReads = new ArrayList<>();

    ReadIndex(RaftNode raft) {
        this.raft = raft;
    }

    boolean isEmpty() {
        return pendingReads.isEmpty();
    }

    /** Answers true once a majority has confirmed that this member still leads. */
    void confirmLeadership(Consumer<LeadershipConfirmation> callback) {
        if (!raft.isLeader()) {
            callback.accept(LeadershipConfirmation.NOT_CONFIRMED);
            return;
        }
        pendingReads.add(new PendingRead(raft.clock.nowMs(), callback));
        if (!completeConfirmed()) {
            raft.replication.replicate(true);
        }
    }

    boolean completeConfirmed() {
        List<PendingRead> confirmed = new ArrayList<>();
        for (PendingRead read : pendingReads) {
            if (raft.voterSet()
                    .hasMajority(voter -> voter.equals(raft.localId)
                            || raft.replication.lastAckedSendMs(voter) > read.requestedAtMs)) {
                confirmed.add(read);
            }
        }
        pendingReads.removeAll(confirmed);
        confirmed.forEach(read -> read.callback.accept(LeadershipConfirmation.CONFIRMED));
        return !confirmed.isEmpty() && pendingReads.isEmpty();
    }

    /** Gives up those that have waited for longer than an election takes. */
    void failExpired(long nowMs) {
        pendingReads.removeIf(read -> {
            boolean isExpired = nowMs - read.requestedAtMs > raft.timeouts.electionMs();
            if (isExpired) {
                read.callback.accept(LeadershipConfirmation.NOT_CONFIRMED);
            }
            return isExpired;
        });
    }

    /** The lead is lost: takes out all that wait, to be answered false. */
    List<Consumer<LeadershipConfirmation>> drainCallbacks() {
        List<Consumer<LeadershipConfirmation>> callbacks = new ArrayList<>();
        pendingReads.forEach(read -> callbacks.add(read.callback));
        pendingReads.clear();
        return callbacks;
    }
}
