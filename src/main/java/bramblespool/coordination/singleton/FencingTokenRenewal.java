package bramblespool.coordination.singleton;

import bramblespool.raft.RaftNode;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/**
 * Gets a singleton role's owner a higher fencing token where the present one has been refused: the owner asks the
 * leader, and the leader assigns the role again. Confined to the event loop.
 */
public final class FencingTokenRenewal {
    private final RaftNode raft;
    private final SingletonRoles singletonRoles;
    private final PeerTransport transport;
    private final long callTimeoutMs;
    private final EventLog log;

    /** Creates both ends of the request; {@code callTimeoutMs} bounds a call to the leader. */
    public FencingTokenRenewal(
            RaftNode raft, SingletonRoles singletonRoles, PeerTransport transport, long callTimeoutMs, EventLog log) {
        this.raft = raft;
        this.singletonRoles = singletonRoles;
        this.transport = transport;
        this.callTimeoutMs = callTimeoutMs;
        this.log = log;
    }

    /** Asks the leader, as the role's owner. Nothing comes back: the message may be lost, and is to be repeated. */
    void requestHigherToken(String roleKey, long fencingToken) {
        String leader = raft.leaderId();
        if (leader == null || raft.isLeader()) {
            singletonRoles.raiseFencingToken(roleKey, fencingToken);
            return;
        }
        FencingTokenCodec.RaiseRequest request =
                new FencingTokenCodec.RaiseRequest(roleKey, fencingToken, raft.currentTerm());
        transport.call(
                RaftNode.addressOf(leader),
                FencingTokenCodec.KIND,
                FencingTokenCodec.encodeRequest(request),
                callTimeoutMs,
                ignored -> {});
    }

    /**
     * Serves a message of kind {@link FencingTokenCodec#KIND}, as the leader. A request that names another term is
     * late or meant for another leader, and is not followed (docs/control.md, section 1).
     */
    public void handleRequest(JsonNode message, Consumer<ObjectNode> callback) {
        FencingTokenCodec.RaiseRequest request = FencingTokenCodec.decodeRequest(message);
        raft.observeTerm(request.term());
        if (request.term() == raft.currentTerm()) {
            singletonRoles.raiseFencingToken(request.roleKey(), request.fencingToken());
        } else {
            log.log(
                    Event.STALE_TERM_REJECTED,
                    "kind",
                    FencingTokenCodec.KIND,
                    "term",
                    request.term(),
                    "knownTerm",
                    raft.currentTerm());
        }
        callback.accept(FencingTokenCodec.encodeResponse(raft.currentTerm()));
    }
}
