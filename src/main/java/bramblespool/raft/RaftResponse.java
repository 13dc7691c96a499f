package bramblespool.raft;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The answer to any {@link RaftRequest}.
 *
 * @param term the answering member's current term
 * @param isAccepted whether it did what was asked
 * @param isSynced {@link StateMachine#isSynced} there
 * @param progress what it says about the replication of the log
 * @param stateDigest the digest of its state at the index that the request named, if it has it
 * @param snapshotNeededFrom the index from which on a snapshot would repair its state, if that has diverged
 */
record RaftResponse(
        long term,
        boolean isAccepted,
        boolean isSynced,
        Progress progress,
        Optional<String> stateDigest,
        OptionalLong snapshotNeededFrom) {
    /** How far the follower is with what it was sent. */
    sealed interface Progress {}

    /** Nothing to add: what was accepted is complete and on the disk. */
    enum Complete implements Progress {
        INSTANCE
    }

    /** The log does not hold the entry before the ones sent; the leader should go on after this index. */
    record LogMismatch(long lastIndexHint) implements Progress {}

    /** Taken, but the disk is only this far yet. */
    record PartiallyDurable(long durableIndex) implements Progress {}

    /** So much of what comes in chunks is here. */
    record ChunkReceived(int receivedChars) implements Progress {}

    static RaftResponse of(long term, boolean isAccepted, boolean isSynced) {
        return new RaftResponse(term, isAccepted, isSynced, Complete.INSTANCE, Optional.empty(), OptionalLong.empty());
    }

    RaftResponse withProgress(Progress newProgress) {
        return new RaftResponse(term, isAccepted, isSynced, newProgress, stateDigest, snapshotNeededFrom);
    }

    RaftResponse withStateReport(Optional<String> newDigest, OptionalLong newSnapshotNeededFrom) {
        return new RaftResponse(term, isAccepted, isSynced, progress, newDigest, newSnapshotNeededFrom);
    }
}
