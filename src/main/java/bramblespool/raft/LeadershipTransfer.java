package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import java.util.List;
import java.util.Optional;

/**
 * Transfer of leadership (Raft dissertation, section 3.10): a leader that is about to end has a voter that holds the
 * whole log start an election at once. Confined to the event loop.
 */
final class LeadershipTransfer {
    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftLog raftLog;
    private final RaftTransport transport;
    private final RoleTransitions roles;
    private final MembershipChange membershipChange;
    private final LocalMembership localMembership;

    LeadershipTransfer(
            RaftContext context,
            QuorumState quorum,
            RaftLog raftLog,
            RaftTransport transport,
            RoleTransitions roles,
            MembershipChange membershipChange,
            LocalMembership localMembership) {
        this.context = context;
        this.quorum = quorum;
        this.raftLog = raftLog;
        this.transport = transport;
        this.roles = roles;
        this.membershipChange = membershipChange;
        this.localMembership = localMembership;
    }

    /**
     * Hands over and leads no more, if this member is about to end, all that is committed survives without it and
     * there is a successor.
     */
    void transferIfLeaving(LeaderState leader) {
        if (!localMembership.isLeaving()
                || !leader.isReady()
                || !leader.isCommittedWithout(context.localId(), raftLog, context)) {
            return;
        }
        Optional<String> successor = leader.findSuccessor(
                raftLog.voterSet(),
                raftLog.lastIndex(),
                context.nowMs(),
                context.timeouts().electionMs());
        if (successor.isEmpty()) {
            return;
        }
        // The learners are forgotten with the leadership.
        RaftRequest.TransferLeadership request = new RaftRequest.TransferLeadership(
                successor.get(), context.localId(), leader.term(), List.copyOf(membershipChange.learners()));
        context.log().log(Event.LEADERSHIP_TRANSFERRED, "term", leader.term(), "successor", successor.get());
        roles.stepDown(quorum.currentTerm(), "leaving");
        transport.send(request, context.timeouts().requestMs(), response -> {});
    }
}
