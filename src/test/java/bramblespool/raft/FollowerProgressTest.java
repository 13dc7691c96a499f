package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class FollowerProgressTest {
    private static final RaftTimeouts TIMEOUTS = RaftTestContext.TIMEOUTS;
    private static final int CHUNK = FollowerProgress.INITIAL_CHUNK_CHARS;

    private final FollowerProgress follower = new FollowerProgress("b:1#0", 11, 0);

    @Test
    void mismatchGoesBackToTheHintAndAtLeastOne() {
        follower.onLogMismatch(20);
        assertEquals(10, follower.nextIndex());
        follower.onLogMismatch(3);
        assertEquals(4, follower.nextIndex());
        follower.onLogMismatch(-1);
        assertEquals(1, follower.nextIndex());
    }

    @Test
    void whatIsNotDurableThereIsSentButDoesNotMatch() {
        follower.onReplicated(15, OptionalLong.of(12), 0);
        assertEquals(12, follower.matchIndex());
        assertEquals(16, follower.nextIndex());
        assertTrue(follower.hasOutstandingEntries(15));
        follower.onReplicated(15, OptionalLong.empty(), 0);
        assertEquals(15, follower.matchIndex());
        assertFalse(follower.hasOutstandingEntries(15));
        follower.onReplicated(13, OptionalLong.empty(), 0);
        assertEquals(15, follower.matchIndex(), "an old answer takes nothing back");
    }

    @Test
    void snapshotsAreCountedUntilItHasAllThatIsCommitted() {
        follower.onSnapshotStarted();
        follower.onReplicated(11, OptionalLong.empty(), 12);
        assertEquals(1, follower.toMemberProgress(12, 0).snapshotsSent());
        follower.onReplicated(12, OptionalLong.empty(), 12);
        assertEquals(0, follower.toMemberProgress(12, 0).snapshotsSent());
    }

    @Test
    void fastAnswersDoubleTheChunkAndSlowOnesHalveIt() {
        follower.onAnswered(10, CHUNK, TIMEOUTS);
        assertEquals(2 * CHUNK, follower.chunkChars());
        follower.onAnswered(10, 1, TIMEOUTS);
        assertEquals(2 * CHUNK, follower.chunkChars(), "a small payload shows nothing");
        follower.onAnswered(200, 2 * CHUNK, TIMEOUTS);
        assertEquals(CHUNK, follower.chunkChars());
    }

    @Test
    void secondTimeoutInARowHalvesTheChunkAndThenDoublesTheTimeLimit() {
        follower.onAnswered(100, CHUNK, TIMEOUTS);
        follower.onTimeout(CHUNK);
        assertEquals(CHUNK, follower.chunkChars(), "that one was lost");
        for (int i = 0; i < 3; i++) {
            follower.onTimeout(CHUNK);
        }
        assertEquals(CHUNK / 8, follower.chunkChars());
        follower.onTimeout(CHUNK / 8);
        assertEquals(CHUNK / 8, follower.chunkChars());
        assertEquals(2 * TIMEOUTS.requestMs(), follower.requestTimeoutMs(TIMEOUTS, 1, true));
        assertEquals(TIMEOUTS.requestMs(), follower.requestTimeoutMs(TIMEOUTS, 0, true), "without a payload");
    }

    @Test
    void lostChunkIsSentAgainAfterAMultipleOfTheTypicalLatency() {
        follower.onAnswered(100, CHUNK, TIMEOUTS);
        assertEquals(400, follower.requestTimeoutMs(TIMEOUTS, CHUNK, true));
        assertEquals(TIMEOUTS.requestMs(), follower.requestTimeoutMs(TIMEOUTS, CHUNK, false));
    }

    @Test
    void heartbeatIsDueBesideAPayloadOnly() {
        follower.onSent(1000, 0);
        assertFalse(follower.isHeartbeatDue(2000, 250));
        follower.onSent(1000, 5);
        assertFalse(follower.isHeartbeatDue(1249, 250));
        assertTrue(follower.isHeartbeatDue(1250, 250));
        follower.onHeartbeatSent(1250);
        assertFalse(follower.isHeartbeatDue(1300, 250));
    }

    @Test
    void answersOutOfOrderTakeNothingBack() {
        RaftResponse response = RaftResponse.of(1, true, true);
        follower.onContact(500, 400, 7, response);
        follower.onContact(510, 300, 6, response);
        assertEquals(7, follower.lastAnsweredSequence());
        assertEquals(400, follower.lastAckedSendMs());
        assertEquals(510, follower.lastContactMs());
    }
}
