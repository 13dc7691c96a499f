package bramblespool.raft;

import static bramblespool.raft.LeadershipConfirmation.CONFIRMED;
import static bramblespool.raft.LeadershipConfirmation.NOT_CONFIRMED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.VoterSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadIndexTest {
    private static final VoterSet VOTERS = VoterSet.decode(List.of("a:1#0", "b:1#0", "c:1#0"));

    private final ReadIndex reads = new ReadIndex();
    private final List<LeadershipConfirmation> answers = new ArrayList<>();

    @Test
    void onlyARequestSentAfterTheReadConfirmsIt() {
        reads.add(100, answers::add);
        assertFalse(reads.completeConfirmed(VOTERS, "a:1#0", voter -> 100));
        assertEquals(List.of(), answers);
        assertTrue(reads.completeConfirmed(VOTERS, "a:1#0", voter -> voter.equals("b:1#0") ? 101 : 0));
        assertEquals(List.of(CONFIRMED), answers);
        assertTrue(reads.isEmpty());
    }

    @Test
    void readThatWaitsTooLongFails() {
        reads.add(100, answers::add);
        reads.add(150, answers::add);
        reads.failExpired(1101, 1000);
        assertEquals(List.of(NOT_CONFIRMED), answers);
        assertEquals(1, reads.drain().size());
        assertTrue(reads.isEmpty());
    }
}
