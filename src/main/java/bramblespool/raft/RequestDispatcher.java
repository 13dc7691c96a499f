package bramblespool.raft;

import bramblespool.state.EventLog.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Reads the group's requests and hands them to what answers them, by their type. Confined to the event loop. */
final class RequestDispatcher {
    private final RaftContext context;
    private final LocalMembership localMembership;
    private final VoteHandler voteHandler;
    private final LeaderRequestHandler leaderRequestHandler;
    private final MembershipHandler membershipHandler;

    RequestDispatcher(
            RaftContext context,
            LocalMembership localMembership,
            VoteHandler voteHandler,
            LeaderRequestHandler leaderRequestHandler,
            MembershipHandler membershipHandler) {
        this.context = context;
        this.localMembership = localMembership;
        this.voteHandler = voteHandler;
        this.leaderRequestHandler = leaderRequestHandler;
        this.membershipHandler = membershipHandler;
    }

    /**
     * Serves one request.
     *
     * @param callback takes the answer, or null where there is none
     * @return false where the kind is not the group's
     */
    boolean handleRequest(String kind, JsonNode json, Consumer<ObjectNode> callback) {
        if (!RaftMessageCodec.isRaftKind(kind)) {
            return false;
        }
        RaftRequest request = RaftMessageCodec.decodeRequest(kind, json);
        if (request instanceof RaftRequest.Addressed addressed && !isForThisMember(addressed)) {
            context.log()
                    .logOnChange(
                            Event.MESSAGE_DROPPED,
                            kind + addressed.recipientId(),
                            "kind",
                            kind,
                            "cause",
                            "not for this incarnation");
            callback.accept(null);
        } else {
            dispatch(request, new EncodingCallback(callback));
        }
        return true;
    }

    private boolean isForThisMember(RaftRequest.Addressed request) {
        return !localMembership.isStopped() && context.isLocal(request.recipientId());
    }

    private void dispatch(RaftRequest request, ResponseCallback callback) {
        if (request instanceof RaftRequest.FromLeader fromLeader) {
            leaderRequestHandler.handle(fromLeader, callback);
        } else if (request instanceof RaftRequest.Vote vote) {
            voteHandler.handle(vote, callback);
        } else if (request instanceof RaftRequest.Join join) {
            callback.respond(membershipHandler.handle(join));
        } else if (request instanceof RaftRequest.Leave leave) {
            callback.respond(membershipHandler.handle(leave));
        } else if (request instanceof RaftRequest.TransferLeadership transfer) {
            callback.respond(membershipHandler.handle(transfer));
        }
    }

    private record EncodingCallback(Consumer<ObjectNode> callback) implements ResponseCallback {
        @Override
        public void respond(RaftResponse response) {
            callback.accept(RaftMessageCodec.encode(response));
        }

        @Override
        public void refuse() {
            callback.accept(null);
        }
    }
}
