package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog.Event;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A follower's part in transfers of snapshots (Raft dissertation, chapter 5) and of large entries in chunks. Confined
 * to the event loop.
 */
final class ChunkHandler {
    private final RaftContext context;
    private final RaftLog raftLog;
    private final LogApplier applier;
    private final AppendHandler appendHandler;
    private final FollowerWriter writer;
    private final ResponseFactory responses;
    /** The transfer under way, if there is one. */
    private Optional<ChunkAssembler> assembler = Optional.empty();

    ChunkHandler(
            RaftContext context,
            RaftLog raftLog,
            LogApplier applier,
            AppendHandler appendHandler,
            FollowerWriter writer,
            ResponseFactory responses) {
        this.context = context;
        this.raftLog = raftLog;
        this.applier = applier;
        this.appendHandler = appendHandler;
        this.writer = writer;
        this.responses = responses;
    }

    void handle(RaftRequest.SnapshotChunk request, Consumer<RaftResponse> callback) {
        if (request.lastIndex() <= raftLog.commitIndex() && applier.isStateConsistent()) {
            // All of it is here; but the leader may take it for durable only once it is.
            assembler = Optional.empty();
            writer.respondWhenDurable(callback);
            return;
        }
        assemble(request.header(), request.chunk(), request.lastIndex(), callback)
                .ifPresent(data -> installSnapshot(request, data, callback));
    }

    void handle(RaftRequest.EntryChunk request, Consumer<RaftResponse> callback) {
        if (raftLog.termAt(request.index()) == request.entryTerm()) {
            assembler = Optional.empty();
            appendHandler.append(request.toSegment(raftLog.get(request.index())), callback);
            return;
        }
        assemble(request.header(), request.chunk(), request.index(), callback)
                .ifPresent(data -> appendHandler.append(
                        request.toSegment(new DurableStore.LogEntry(request.index(), request.entryTerm(), data)),
                        callback));
    }

    /** Adds a chunk; the whole once it is complete, else empty, and the leader is answered how much is here. */
    private Optional<String> assemble(
            RaftRequest.LeaderHeader header, RaftRequest.Chunk chunk, long index, Consumer<RaftResponse> callback) {
        ChunkAssembler current = assembler
                .filter(transfer -> transfer.isFor(chunk.transferId()))
                .orElseGet(() -> new ChunkAssembler(chunk.transferId(), header.leaderId()));
        assembler = Optional.of(current);
        if (current.changeSender(header.leaderId())) {
            context.log().log(
                    Event.TRANSFER_RESUMED,
                    "index",
                    index,
                    "leader",
                    header.leaderId(),
                    "receivedChars",
                    current.length(),
                    "totalChars",
                    chunk.totalChars());
        }
        current.add(chunk.offset(), chunk.data());
        if (current.length() < chunk.totalChars()) {
            callback.accept(responses.accepted().withProgress(new RaftResponse.ChunkReceived(current.length())));
            return Optional.empty();
        }
        assembler = Optional.empty();
        return Optional.of(current.assembled());
    }

    private void installSnapshot(RaftRequest.SnapshotChunk request, String data, Consumer<RaftResponse> callback) {
        Optional<String> state = SnapshotChecksum.verify(data);
        long index = request.lastIndex();
        if (state.isEmpty() || index < raftLog.snapshotIndex()) {
            String cause = state.isEmpty() ? "digest" : "older than what is here";
            context.log().log(Event.SNAPSHOT_REJECTED, "index", index, "cause", cause);
            callback.accept(responses.rejected());
            return;
        }
        DurableStore.Snapshot snapshot = new DurableStore.Snapshot(index, request.lastTerm(), request.voters(), data);
        boolean keepsEntries = applier.installSnapshot(snapshot, state.get());
        context.log().log(Event.SNAPSHOT_INSTALLED, "index", index);
        writer.writeSnapshot(snapshot, keepsEntries, callback);
        applier.applyCommitted();
    }
}
