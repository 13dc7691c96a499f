package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
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
        raft.propose(
                ReplicatedState.entry("candidate")
                        .put("epoch", candidate.epoch)
                        .put("base", change.baseVersion())
                        .put("digest", change.digest())
                        .put("doc", candidate.compressedDocument)
                        .toString(),
                callback);
    }

    /** The candidate is given up. */
    void abortCandidate(long epoch, Consumer<ProposalOutcome> callback) {
        raft.propose(ReplicatedState.entry("abort").put("epoch", epoch).toString(), callback);
    }

    /** The candidate becomes the version in force, if its base still is. */
    void decideCandidate(long epoch, Consumer<ProposalOutcome> callback) {
        raft.propose(ReplicatedState.entry("decide").put("epoch", epoch).toString(), callback);
    }

    /** A phase of the version in force is over. */
    void recordPhase(long epoch, ReplicatedState.Phase phase, Consumer<ProposalOutcome> callback) {
        raft.propose(
                ReplicatedState.entry("phase")
                        .put("epoch", epoch)
                        .put("phase", phase.name())
                        .toString(),
                callback);
    }
}
