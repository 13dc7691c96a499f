package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import java.util.Optional;
import java.util.OptionalLong;

/** A follower's part in comparing the members' states. Confined to the event loop. */
final class StateReports {
    private final RaftContext context;
    private final RaftLog raftLog;
    private final LogApplier applier;
    private final StateDigests stateDigests;

    StateReports(RaftContext context, RaftLog raftLog, LogApplier applier, StateDigests stateDigests) {
        this.context = context;
        this.raftLog = raftLog;
        this.applier = applier;
        this.stateDigests = stateDigests;
    }

    /** Takes note where the leader says that this member's state is not the group's. */
    void onLeaderRequest(RaftRequest.LeaderHeader header) {
        if (header.isStateDiverged() && applier.isStateConsistent()) {
            context.log().log(
                    Event.STATE_DIVERGED,
                    "member",
                    context.localId(),
                    "index",
                    applier.lastApplied(),
                    "leader",
                    header.leaderId());
            applier.markStateInconsistent();
        }
    }

    /** Adds what the leader asked of this member's state, as it is when the answer goes. */
    RaftResponse addTo(RaftResponse response, RaftRequest.LeaderHeader header) {
        Optional<String> digest = header.digestIndex().isPresent()
                ? stateDigests.digestAt(header.digestIndex().getAsLong())
                : Optional.empty();
        OptionalLong snapshotNeededFrom =
                applier.isStateConsistent() ? OptionalLong.empty() : OptionalLong.of(raftLog.snapshotIndex());
        return response.withStateReport(digest, snapshotNeededFrom);
    }
}
