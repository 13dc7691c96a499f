package bramblespool.raft;

import bramblespool.raft.RaftRequest.LeaderHeader;
import java.util.function.Consumer;

/**
 * A leader's requests to a follower: what each carries, and what any answer reports before the request's own part of it
 * is looked at. Confined to the event loop.
 */
final class LeaderRequests {
    private final RaftContext context;
    private final QuorumState quorum;
    private final RaftTransport transport;
    private final RoleTransitions roles;
    private final LogApplier applier;
    private final VoterLeases voterLeases;
    private final StateDigests stateDigests;

    LeaderRequests(
            RaftContext context,
            QuorumState quorum,
            RaftTransport transport,
            RoleTransitions roles,
            LogApplier applier,
            VoterLeases voterLeases,
            StateDigests stateDigests) {
        this.context = context;
        this.quorum = quorum;
        this.transport = transport;
        this.roles = roles;
        this.applier = applier;
        this.voterLeases = voterLeases;
        this.stateDigests = stateDigests;
    }

    /** The header of the next request to a follower, with a number of its own. */
    LeaderHeader newHeader(LeaderState leader, FollowerProgress follower) {
        long sequence = follower.nextSequence();
        return new LeaderHeader(
                new RaftRequest.Identity(follower.memberId(), context.localId(), leader.term()),
                context.controlAddress(),
                sequence,
                follower.lastAnsweredSequence(),
                voterLeases.isGranting(leader),
                stateDigests.queryFor(follower),
                follower.hasDivergedState());
    }

    /**
     * Sends a request, of which there is one at a time to each follower.
     *
     * @param payloadChars the characters of entries or of a chunk in it
     * @param onContact called with an answer to this leadership
     */
    void send(
            LeaderState leader,
            FollowerProgress follower,
            RaftRequest.FromLeader request,
            int payloadChars,
            Consumer<RaftResponse> onContact) {
        long sentAtMs = context.nowMs();
        follower.onSent(sentAtMs, payloadChars);
        boolean isChunk = !(request instanceof RaftRequest.Append);
        long timeoutMs = follower.requestTimeoutMs(context.timeouts(), payloadChars, isChunk);
        transport.send(request, timeoutMs, new RaftTransport.ResponseHandler() {
            @Override
            public void onResponse(RaftResponse response) {
                follower.onRequestEnded();
                if (!acceptResponse(leader, follower, request.header(), sentAtMs, response)) {
                    return;
                }
                // An answer that did not wait for a slow disk says nothing of the link's speed.
                if (!(response.progress() instanceof RaftResponse.PartiallyDurable)) {
                    follower.onAnswered(context.nowMs() - sentAtMs, payloadChars, context.timeouts());
                }
                onContact.accept(response);
            }

            @Override
            public void onNoResponse() {
                follower.onRequestEnded();
                follower.onTimeout(payloadChars);
            }
        });
    }

    /** Sends a heartbeat beside a request that takes long to cross a slow link or to reach a slow disk. */
    void sendHeartbeat(LeaderState leader, FollowerProgress follower, Runnable onContact) {
        long sentAtMs = context.nowMs();
        follower.onHeartbeatSent(sentAtMs);
        LeaderHeader header = newHeader(leader, follower);
        transport.send(new RaftRequest.Heartbeat(header), context.timeouts().requestMs(), response -> {
            if (acceptResponse(leader, follower, header, sentAtMs, response)) {
                onContact.run();
            }
        });
    }

    /** A follower's state has been replaced by this member's. */
    void onStateReplaced(FollowerProgress follower) {
        follower.clearDivergedState();
        stateDigests.forgetMember(follower.memberId());
    }

    /** Answers whether the response is to this leadership, and that still stands after it. */
    private boolean acceptResponse(
            LeaderState leader, FollowerProgress follower, LeaderHeader header, long sentAtMs, RaftResponse response) {
        if (!quorum.isCurrent(leader) || !leader.isCurrent(follower)) {
            return false;
        }
        if (response.term() > leader.term()) {
            roles.stepDown(response.term(), "newer term");
            return false;
        }
        follower.onContact(context.nowMs(), sentAtMs, header.sequence(), response);
        StateDigests.Comparison comparison =
                stateDigests.onResponse(leader, follower, header.digestIndex(), response.stateDigest());
        if (comparison == StateDigests.Comparison.LOCAL_STATE_DIVERGED) {
            applier.markStateInconsistent();
            roles.stepDown(leader.term(), "state differs");
            return false;
        }
        return true;
    }
}
