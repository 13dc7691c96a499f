package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import java.util.Optional;

/** This member's own joining and leaving of the group, asked of whoever leads. Confined to the event loop. */
final class LocalMembership {
    /** Ratio to the absence time after which a voter without contact to a leader asks to be added again. */
    private static final int REJOIN_RATIO = 2;

    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftTransport transport;
    private long joinRequestedAtMs;
    private boolean isStopped;
    private boolean isLeaving;
    private boolean hasLeft;

    LocalMembership(RaftContext context, QuorumState quorum, RaftLog raftLog, RaftTransport transport) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.transport = transport;
    }

    /** Whether this member takes no further part. */
    boolean isStopped() {
        return isStopped;
    }

    void stop() {
        isStopped = true;
    }

    /** Whether this member is about to end, and should not be elected any more. */
    boolean isLeaving() {
        return isLeaving;
    }

    /** Whether this member may end without the group missing it. */
    boolean hasLeft() {
        return hasLeft;
    }

    /** Begins to ask the leader, again and again, to be removed. */
    void leave() {
        isLeaving = true;
        requestRemoval();
    }

    private void requestRemoval() {
        if (isStopped || hasLeft) {
            return;
        }
        context.clock().schedule(context.timeouts().heartbeatMs(), this::requestRemoval);
        if (quorum.isLeader()) {
            return;
        }
        Optional<String> leaderId = quorum.leaderId();
        if (!raftLog.voterSet().contains(context.localId())) {
            hasLeft = true;
        } else if (leaderId.isPresent()) {
            transport.send(
                    new RaftRequest.Leave(leaderId.get(), context.localId()),
                    context.timeouts().requestMs(),
                    response -> hasLeft |= response.isAccepted());
        }
    }

    /**
     * Asks to be taken in where no leader sends to this member: it is new, or was replaced while it was away and
     * cannot know that.
     */
    void requestJoin(Iterable<String> addresses) {
        if (isStopped || isLeaving || quorum.hasRecentLeader()) {
            return;
        }
        if (!raftLog.voterSet().contains(context.localId())) {
            context.log().logOnChange(Event.JOIN_REQUESTED, context.localId(), "member", context.localId());
        } else if (context.nowMs() - Math.max(quorum.lastLeaderContactMs(), joinRequestedAtMs)
                < context.timeouts().absentMs() * REJOIN_RATIO) {
            // Most likely there is just nobody who leads.
            return;
        }
        joinRequestedAtMs = context.nowMs();
        for (String address : addresses) {
            if (!address.equals(RaftNode.addressOf(context.localId()))) {
                transport.send(
                        address,
                        new RaftRequest.Join(context.localId()),
                        context.timeouts().requestMs(),
                        ignored -> {});
            }
        }
    }
}
