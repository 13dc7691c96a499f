package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog.Event;
import java.util.List;
import java.util.Optional;

/**
 * Applies committed entries to the state machine, takes snapshots of it, and keeps whether its state is the group's.
 * Confined to the event loop.
 */
final class LogApplier {
    /** The log is replaced by a snapshot at a checkpoint once so many entries are applied behind the last snapshot, */
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 128;
    /** or once these are so many times as large as a snapshot. */
    private static final int SNAPSHOT_SIZE_RATIO = 2;

    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftStorage storage;
    private final StateMachine stateMachine;
    private final StateDigests stateDigests;
    private long lastApplied;
    private boolean isStateConsistent = true;
    private boolean isSnapshotIntact = true;

    /** Restores the state machine from the snapshot on the disk, if there is one and it is intact. */
    LogApplier(
            RaftContext context,
            QuorumState quorum,
            RaftLog raftLog,
            RaftStorage storage,
            StateMachine stateMachine,
            StateDigests stateDigests) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.storage = storage;
        this.stateMachine = stateMachine;
        this.stateDigests = stateDigests;
        this.lastApplied = raftLog.snapshotIndex();
        if (raftLog.snapshot().data() != null) {
            restoreAtStart(raftLog.snapshot());
        }
    }

    private void restoreAtStart(DurableStore.Snapshot snapshot) {
        Optional<String> state = SnapshotChecksum.verify(snapshot.data());
        if (state.isPresent()) {
            stateMachine.restore(state.get());
            stateDigests.add(snapshot.index(), SnapshotChecksum.shortDigest(snapshot.data()));
        } else {
            isStateConsistent = false;
            isSnapshotIntact = false;
            context.log().log(Event.SNAPSHOT_REJECTED, "index", snapshot.index(), "cause", "digest, at the start");
        }
    }

    /** The highest index that the state machine has had. */
    long lastApplied() {
        return lastApplied;
    }

    /** Whether the state is the group's, as far as is known; a member whose state is not never leads. */
    boolean isStateConsistent() {
        return isStateConsistent;
    }

    /**
     * Whether there is a state to apply entries to: the snapshot on the disk was intact, or another has replaced it.
     */
    boolean isSnapshotIntact() {
        return isSnapshotIntact;
    }

    /** The state is not the group's: until a snapshot from another member replaces it this one does not lead. */
    void markStateInconsistent() {
        isStateConsistent = false;
    }

    /** Applies all that is committed, and ends the proposals among it. */
    void applyCommitted() {
        while (isSnapshotIntact && lastApplied < Math.min(raftLog.commitIndex(), raftLog.lastIndex())) {
            lastApplied++;
            DurableStore.LogEntry entry = raftLog.get(lastApplied);
            stateMachine.apply(entry.index(), entry.data());
            if (lastApplied % StateDigests.DIGEST_INTERVAL_ENTRIES == 0) {
                onCheckpoint();
            }
            quorum.leader().ifPresent(leader -> leader.completeProposal(entry.index()));
        }
    }

    /**
     * All members take snapshots at the same indices, so that one can go on sending a snapshot that another had
     * begun.
     */
    private void onCheckpoint() {
        String snapshotData = SnapshotChecksum.addChecksum(stateMachine.snapshot());
        stateDigests.add(lastApplied, SnapshotChecksum.shortDigest(snapshotData));
        if (lastApplied - raftLog.snapshotIndex() >= SNAPSHOT_INTERVAL_ENTRIES
                || raftLog.sizeInChars(raftLog.snapshotIndex() + 1, lastApplied)
                        >= SNAPSHOT_SIZE_RATIO * snapshotData.length()) {
            takeSnapshot(snapshotData);
        }
    }

    /** Takes a snapshot of all that is applied, at whatever index that is. */
    void takeSnapshot() {
        takeSnapshot(SnapshotChecksum.addChecksum(stateMachine.snapshot()));
    }

    private void takeSnapshot(String snapshotData) {
        raftLog.compact(lastApplied, snapshotData);
        storage.save(0, List.of(), raftLog.snapshot(), () -> {});
        context.log().log(Event.SNAPSHOT_TAKEN, "index", raftLog.snapshotIndex());
    }

    /**
     * Replaces log and state by another member's snapshot.
     *
     * @param state the snapshot's data without its checksum
     * @return whether the entries behind it stay
     */
    boolean installSnapshot(DurableStore.Snapshot snapshot, String state) {
        boolean keepsEntries = raftLog.installSnapshot(snapshot);
        lastApplied = snapshot.index();
        stateMachine.restore(state);
        stateDigests.add(snapshot.index(), SnapshotChecksum.shortDigest(snapshot.data()));
        isStateConsistent = true;
        isSnapshotIntact = true;
        return keepsEntries;
    }
}
