package bramblespool.coordination.controller;

import bramblespool.coordination.configuration.ShadowCommitCoordinator;
import bramblespool.protocol.OperatorRequest;
import bramblespool.raft.LeadershipConfirmation;
import bramblespool.raft.ProposalOutcome;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import java.util.function.Consumer;

/**
 * The operator's requests at the leader. What they are answered with holds for the whole group: a change is answered
 * once it is committed, and what is read is answered once a majority has confirmed the leader (Raft dissertation,
 * section 6.4). Confined to the event loop.
 */
public final class OperatorRequestHandler {
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final ShadowCommitCoordinator commitCoordinator;
    private final ThreadConfinement confinement = new ThreadConfinement();

    OperatorRequestHandler(RaftNode raft, ReplicatedState replicatedState, ShadowCommitCoordinator commitCoordinator) {
        this.raft = raft;
        this.replicatedState = replicatedState;
        this.commitCoordinator = commitCoordinator;
    }

    /** Replaces or amends the configuration. */
    public void submitChange(OperatorRequest.ConfigurationChange change, Consumer<OperatorRequest.Result> callback) {
        assert confinement.isOwnThread() : "not on the event loop";
        if (!raft.isLeader()) {
            callback.accept(OperatorRequest.Result.unknown("not the leader"));
            return;
        }
        commitCoordinator.submit(change, outcome -> callback.accept(outcome.toResult()));
    }

    /** Evacuates a zone, or ends that. Where the zone is in that state already, nothing is written. */
    public void evacuate(String zone, boolean isEvacuated, Consumer<EvacuationOutcome> callback) {
        assert confinement.isOwnThread() : "not on the event loop";
        // What is proposed and not applied yet may be the opposite.
        if (raft.isLeader() && !raft.hasUnappliedEntries() && isEvacuated(zone) == isEvacuated) {
            raft.confirmLeadership(
                    confirmation -> callback.accept(outcomeOf(confirmation == LeadershipConfirmation.CONFIRMED)));
            return;
        }
        raft.propose(
                ReplicatedEntryCodec.encode(new ReplicatedEntry.EvacuationChanged(zone, isEvacuated)),
                outcome -> callback.accept(outcomeOf(outcome == ProposalOutcome.COMMITTED)));
    }

    private static EvacuationOutcome outcomeOf(boolean isCommitted) {
        return isCommitted ? EvacuationOutcome.COMMITTED : EvacuationOutcome.LEADERSHIP_LOST;
    }

    private boolean isEvacuated(String zone) {
        ReplicatedState.Evacuation evacuation = replicatedState.evacuations().get(zone);
        return evacuation != null && evacuation.isEvacuated();
    }

    /** Reads the newest version. */
    public void readConfiguration(Consumer<ConfigurationReadResult> callback) {
        assert confinement.isOwnThread() : "not on the event loop";
        raft.confirmLeadership(confirmation -> callback.accept(
                confirmation == LeadershipConfirmation.CONFIRMED
                        ? currentVersion()
                        : new ConfigurationReadResult.Unconfirmed()));
    }

    private ConfigurationReadResult currentVersion() {
        ReplicatedState.Version version = replicatedState.current();
        return version.compressedDocument() == null
                ? new ConfigurationReadResult.None()
                : new ConfigurationReadResult.Current(version);
    }
}
