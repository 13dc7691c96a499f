package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Entry 1 names the voters; entries 2 to 5 are of term 1. */
class RaftLogTest {
    private final RaftLog log = new RaftTestContext("a:1#0", "b:1#0").raftLog;

    RaftLogTest() {
        for (int index = 2; index <= 5; index++) {
            log.append(new LogEntry(index, 1, "entry"));
        }
        log.markDurable(5, 1);
    }

    @Test
    void truncatedEntriesAreNotDurable() {
        log.truncateFrom(4);
        assertEquals(3, log.durableIndex());
        log.append(new LogEntry(4, 2, "other"));
        log.markDurable(4, 1);
        assertEquals(3, log.durableIndex(), "the write of the entry that was there before");
        log.markDurable(4, 2);
        assertEquals(4, log.durableIndex());
    }

    @Test
    void snapshotKeepsTheVotersAndTheEntriesThatAreSmallerThanIt() {
        log.compact(4, "0123456789");
        assertEquals(List.of("a:1#0", "b:1#0"), log.snapshot().voters());
        assertEquals(2, log.precedingIndex(), "two entries of five characters stay");
        assertEquals(1, log.termAt(2));
        assertEquals(RaftLog.UNKNOWN_TERM, log.termAt(1));
        assertEquals(List.of("a:1#0", "b:1#0"), log.voterSet().all());
    }

    @Test
    void installedSnapshotKeepsEntriesThatAgreeWithIt() {
        assertTrue(log.installSnapshot(new Snapshot(4, 1, List.of("c:1#0"), "{}")));
        assertEquals(5, log.lastIndex());
        assertEquals(5, log.durableIndex());
        assertEquals(4, log.commitIndex());
        assertEquals(List.of("c:1#0"), log.voterSet().all());
    }

    @Test
    void installedSnapshotOfAnotherTermDropsTheEntries() {
        assertFalse(log.installSnapshot(new Snapshot(4, 2, List.of("c:1#0"), "{}")));
        assertEquals(4, log.lastIndex());
        assertEquals(2, log.lastTerm());
        assertEquals(0, log.durableIndex(), "the snapshot is not on the disk yet");
    }

    @Test
    void newestVotersEntryCountsCommittedOrNot() {
        log.append(new LogEntry(6, 1, LogEntryCodec.encodeVoters(VoterSet.decode(List.of("a:1#0", "+d:1#0")))));
        assertTrue(log.voterSet().isJoint());
        assertTrue(log.hasVotersEntryAfter(5));
        assertFalse(log.hasVotersEntryAfter(6));
        log.truncateFrom(6);
        assertEquals(List.of("a:1#0", "b:1#0"), log.voterSet().all());
    }
}
