package bramblespool.coordination.controller;

import bramblespool.coordination.singleton.SingletonRoleKeys;
import bramblespool.coordination.traffic.RetryBudgetLeases;
import bramblespool.raft.RaftNode;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;

/**
 * Leases retries of a service: as the owner of its retry budget, or by asking the owner. Where there is none yet, the
 * leader takes note that one is wanted and grants nothing until there is. Confined to the event loop.
 */
final class RetryLeaseHandler {
    private final ControllerContext context;
    private final RaftNode raft;
    private final ReplicatedState replicatedState;
    private final SingletonRoleScheduler roleScheduler;
    private final RetryBudgetLeases leases;

    RetryLeaseHandler(ControllerContext context, GroupMember member, SingletonRoleScheduler roleScheduler) {
        Settings.Bounds bounds = context.local().settings().bounds();
        this.context = context;
        this.raft = member.raft();
        this.replicatedState = member.replicatedState();
        this.roleScheduler = roleScheduler;
        this.leases = new RetryBudgetLeases(context.clock(), bounds.retryAllowance(), bounds.retryWindowMs());
    }

    /** Grants retries, or passes the request on; refuses it where nobody is known to ask. */
    void handle(RetryLeaseRequest request, Responder<RetryLeaseResponse> responder) {
        String service = request.service();
        String roleKey = SingletonRoleKeys.RETRY_BUDGET_PREFIX + service;
        ReplicatedState.SingletonRole role = replicatedState.singletonRoles().get(roleKey);
        String owner = role == null ? leaderAddress() : role.owner();
        if (context.local().peerAddress().equals(owner)) {
            if (role == null) {
                roleScheduler.requestRole(roleKey);
            }
            responder.respond(new RetryLeaseResponse(leases.leaseDurationMs(), grant(service, role)));
        } else if (owner == null || request.isForwarded()) {
            responder.reject();
        } else {
            forward(owner, service, responder);
        }
    }

    private String leaderAddress() {
        return raft.leaderId() == null ? null : RaftNode.addressOf(raft.leaderId());
    }

    private int grant(String service, ReplicatedState.SingletonRole role) {
        return role == null || !raft.hasLeaderContact() ? 0 : leases.grant(service, role.fencingToken());
    }

    private void forward(String owner, String service, Responder<RetryLeaseResponse> responder) {
        context.transport()
                .call(
                        owner,
                        PeerMessageKinds.RETRY_LEASE,
                        RetryLeaseCodec.INSTANCE.encodeForwardedRequest(service),
                        context.callTimeoutMs() / 2,
                        response -> {
                            if (response == null) {
                                responder.reject();
                            } else {
                                responder.respond(RetryLeaseCodec.INSTANCE.decodeResponse(response));
                            }
                        });
    }
}
