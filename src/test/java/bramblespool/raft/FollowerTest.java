package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.raft.RaftRequest.LogSegment;
import bramblespool.raft.RaftRequest.SnapshotChunk;
import bramblespool.raft.RaftResponse.ChunkReceived;
import bramblespool.raft.RaftResponse.LogMismatch;
import bramblespool.raft.RaftResponse.PartiallyDurable;
import bramblespool.state.DurableStore.LogEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A follower's {@link AppendHandler}, {@link ChunkHandler} and {@link FollowerWriter}; entry 1 names the voters. */
class FollowerTest {
    private final RaftTestContext test = new RaftTestContext("a:1#0", "b:1#0", "c:1#0");
    private final RaftLog log = test.raftLog;
    private final FakeStateMachine stateMachine = new FakeStateMachine();
    private final LogApplier applier = new LogApplier(
            test.context, test.quorum, log, test.storage, stateMachine, new StateDigests(test.context, log));
    private final ResponseFactory responses = new ResponseFactory(test.quorum, log, stateMachine);
    private final FollowerWriter writer = new FollowerWriter(test.context, test.quorum, log, test.storage, responses);
    private final AppendHandler appendHandler = new AppendHandler(log, test.storage, applier, writer, responses);
    private final ChunkHandler chunkHandler =
            new ChunkHandler(test.context, log, applier, appendHandler, writer, responses);
    private final List<RaftResponse> answers = new ArrayList<>();

    private void append(long previousIndex, long previousTerm, long commitIndex, LogEntry... entries) {
        appendHandler.append(new LogSegment(previousIndex, previousTerm, commitIndex, List.of(entries)), answers::add);
    }

    @Test
    void entriesAreAcceptedOnceTheyAreOnTheDisk() {
        append(1, 0, 2, new LogEntry(2, 1, "x"), new LogEntry(3, 1, "y"));
        assertEquals(List.of(), answers);
        assertEquals(1, log.durableIndex());
        assertEquals(2, applier.lastApplied(), "what is committed is applied at once");
        test.completeWrites();
        assertTrue(answers.get(0).isAccepted());
        assertEquals(3, log.durableIndex());
    }

    @Test
    void slowDiskIsReportedBeforeAHeartbeatIsOver() {
        append(1, 0, 0, new LogEntry(2, 1, "x"));
        test.clock.advance(125);
        assertEquals(
                List.of(new PartiallyDurable(1)),
                answers.stream().map(RaftResponse::progress).toList());
        test.completeWrites();
        assertEquals(1, answers.size(), "answered once");
        assertEquals(2, log.durableIndex());
    }

    @Test
    void gapAndOtherTermAreRejectedWithAHint() {
        append(5, 1, 0);
        append(1, 7, 0);
        assertEquals(
                List.of(new LogMismatch(1), new LogMismatch(0)),
                answers.stream().map(RaftResponse::progress).toList());
        assertTrue(answers.stream().noneMatch(RaftResponse::isAccepted));
    }

    @Test
    void conflictingEntriesGiveWay() {
        append(1, 0, 0, new LogEntry(2, 1, "x"), new LogEntry(3, 1, "y"));
        append(1, 0, 0, new LogEntry(2, 2, "z"));
        assertEquals(2, log.lastIndex());
        assertEquals(2, log.termAt(2));
        assertEquals(2, test.changes.get(1).truncateFrom());
        test.completeWrites();
        assertEquals(2, log.durableIndex(), "not what the first write would have reached");
    }

    @Test
    void onlyWhatTheRequestCoversIsCommitted() {
        append(1, 0, 0, new LogEntry(2, 1, "x"), new LogEntry(3, 1, "y"));
        append(1, 0, 9, new LogEntry(2, 1, "x"));
        assertEquals(2, log.commitIndex());
    }

    @Test
    void snapshotInChunksReplacesTheLogAndTheState() {
        String data = SnapshotChecksum.addChecksum("{x;y}");
        RaftRequest.LeaderHeader header = RaftTestContext.header("b:1#0", 1, 1, 0);
        List<String> voters = List.of("a:1#0", "b:1#0");
        String start = data.substring(0, 30);
        chunkHandler.handle(
                new SnapshotChunk(header, new RaftRequest.Chunk("8", data.length(), 0, start), 8, 1, voters),
                answers::add);
        assertEquals(new ChunkReceived(30), answers.get(0).progress());
        chunkHandler.handle(
                new SnapshotChunk(
                        header, new RaftRequest.Chunk("8", data.length(), 30, data.substring(30)), 8, 1, voters),
                answers::add);
        assertEquals(1, answers.size(), "not before the disk has it");
        test.completeWrites();
        assertTrue(answers.get(1).isAccepted());
        assertEquals(List.of("x", "y"), stateMachine.entries);
        assertEquals(8, log.durableIndex());
        assertEquals(8, log.commitIndex());
        assertEquals(voters, log.voterSet().all());
    }

    @Test
    void damagedSnapshotChangesNothing() {
        String data = SnapshotChecksum.addChecksum("{x;y}").replace('y', 'z');
        chunkHandler.handle(
                new SnapshotChunk(
                        RaftTestContext.header("b:1#0", 1, 1, 0),
                        new RaftRequest.Chunk("8", data.length(), 0, data),
                        8,
                        1,
                        List.of()),
                answers::add);
        assertFalse(answers.get(0).isAccepted());
        assertEquals(0, log.snapshotIndex());
        assertEquals(List.of(), test.changes);
    }
}
