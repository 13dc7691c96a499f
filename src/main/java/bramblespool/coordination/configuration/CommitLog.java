package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import java.util.function.Consumer;

/**
 * Writes a commit's progress to the controllers' replicated log, so that the next leader can take it up.
 */
final class CommitLog {
    private final RaftNode raft;

    CommitLog(RaftNode raft) {
        this.raft = raft;
    }

    /** The candidate, before any proxy gets it. */
    void storeCandidate(
            OperatorRequest.ConfigurationChange change,
            RoutingConfiguration candidate,
            Consumer<ProposalOutcome> callback) {
        propose(
                new ReplicatedEntry.CandidateStored(
                        candidate.epoch(), change.baseVersion(), change.digest(), candidate.compressedDocument()),
                callback);
    }

    /** The candidate is given up. */
    void abortCandidate(long epoch, Consumer<ProposalOutcome> callback) {
        propose(new ReplicatedEntry.CommitAborted(epoch), callback);
    }

    /** The candidate becomes the version in force, if its base still is. */
    void decideCandidate(long epoch, Consumer<ProposalOutcome> callback) {
        propose(new ReplicatedEntry.CommitDecided(epoch), callback);
    }

    /** A phase of the version in force is over. */
    void recordPhase(long epoch, ReplicatedState.Phase phase, Consumer<ProposalOutcome> callback) {
        propose(new ReplicatedEntry.PhaseReached(epoch, phase), callback);
    }

    private void propose(ReplicatedEntry entry, Consumer<ProposalOutcome> callback) {
        raft.propose(ReplicatedEntryCodec.encode(entry), callback);
    }
}
