package bramblespool.raft;

import java.util.function.Consumer;

/** Answers a leader's requests, as a follower or on becoming one. Confined to the event loop. */
final class LeaderRequestHandler {
    private final RaftStorage storage;
    private final RoleTransitions roles;
    private final VoterLeases voterLeases;
    private final StateReports stateReports;
    private final AppendHandler appendHandler;
    private final ChunkHandler chunkHandler;
    private final ResponseFactory responses;

    LeaderRequestHandler(
            RaftStorage storage,
            RoleTransitions roles,
            VoterLeases voterLeases,
            StateReports stateReports,
            AppendHandler appendHandler,
            ChunkHandler chunkHandler,
            ResponseFactory responses) {
        this.storage = storage;
        this.roles = roles;
        this.voterLeases = voterLeases;
        this.stateReports = stateReports;
        this.appendHandler = appendHandler;
        this.chunkHandler = chunkHandler;
        this.responses = responses;
    }

    void handle(RaftRequest.FromLeader request, ResponseCallback callback) {
        RaftRequest.LeaderHeader header = request.header();
        if (!roles.followLeader(header)) {
            callback.respond(responses.staleTerm());
            return;
        }
        voterLeases.onLeaderRequest(header);
        stateReports.onLeaderRequest(header);
        Consumer<RaftResponse> respond = response -> callback.respond(stateReports.addTo(response, header));
        if (request instanceof RaftRequest.Append append) {
            appendHandler.handle(append, respond);
        } else if (request instanceof RaftRequest.SnapshotChunk chunk) {
            chunkHandler.handle(chunk, respond);
        } else if (request instanceof RaftRequest.EntryChunk chunk) {
            chunkHandler.handle(chunk, respond);
        } else if (storage.isHealthy()) {
            respond.accept(responses.accepted());
        } else {
            // A heartbeat says nothing of the disk; but whoever has none that works is not to be counted on.
            callback.refuse();
        }
    }
}
