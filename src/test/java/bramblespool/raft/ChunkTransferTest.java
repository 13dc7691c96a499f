package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A sender's {@link ChunkedTransfer} and a receiver's {@link ChunkAssembler}. */
class ChunkTransferTest {
    private static final String STATE = "{\"state\":\"0123456789\"}";

    @Test
    void entryArrivesWhole() {
        ChunkedTransfer transfer = new ChunkedTransfer.OfEntry(new DurableStore.LogEntry(7, 3, STATE));
        ChunkAssembler assembler = new ChunkAssembler("7.3", "a:1#0");
        assertTrue(transfer.isOffsetKnown());
        while (assembler.length() < transfer.totalChars()) {
            RaftRequest.Chunk chunk = transfer.nextChunk(5);
            assertTrue(assembler.isFor(chunk.transferId()));
            assembler.add(chunk.offset(), chunk.data());
            transfer.onReceived(assembler.length());
        }
        assertEquals(STATE, assembler.assembled());
        assertEquals(7, transfer.lastIndex());
    }

    @Test
    void chunkOutOfTurnIsIgnored() {
        ChunkAssembler assembler = new ChunkAssembler("x", "a:1#0");
        assembler.add(0, "abc");
        assembler.add(0, "abc");
        assembler.add(5, "f");
        assembler.add(3, "de");
        assertEquals("abcde", assembler.assembled());
    }

    @Test
    void anotherSenderGoesOnWhereTheLastOneEnded() {
        DurableStore.Snapshot snapshot =
                new DurableStore.Snapshot(7, 3, List.of(), SnapshotChecksum.addChecksum(STATE));
        ChunkedTransfer first = new ChunkedTransfer.OfSnapshot(snapshot);
        ChunkedTransfer second = new ChunkedTransfer.OfSnapshot(snapshot);
        assertFalse(second.isOffsetKnown(), "asks first how much is there");
        assertEquals(first.nextChunk(1).transferId(), second.nextChunk(1).transferId());
        ChunkAssembler assembler = new ChunkAssembler(first.nextChunk(1).transferId(), "a:1#0");
        assembler.add(0, first.nextChunk(10).data());
        assertFalse(assembler.changeSender("a:1#0"));
        assertTrue(assembler.changeSender("b:1#0"));
        second.onReceived(assembler.length());
        assembler.add(second.offset(), second.nextChunk(1000).data());
        assertEquals(snapshot.data(), assembler.assembled());
    }

    @Test
    void reportedLengthStaysWithinTheData() {
        ChunkedTransfer transfer = new ChunkedTransfer.OfEntry(new DurableStore.LogEntry(1, 1, "abc"));
        transfer.onReceived(99);
        assertEquals(3, transfer.offset());
        transfer.onReceived(-1);
        assertEquals(0, transfer.offset());
    }
}
