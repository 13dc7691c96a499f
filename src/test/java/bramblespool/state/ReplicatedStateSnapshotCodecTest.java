package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The stored form of snapshots, which must never change. */
class ReplicatedStateSnapshotCodecTest {
    private static final String EMPTY = "{\"current\":{\"epoch\":0,\"doc\":null,\"digest\":\"\"},"
            + "\"previous\":{\"epoch\":0,\"doc\":null,\"digest\":\"\"},\"phase\":\"NONE\",\"taken\":{},\"evac\":{},"
            + "\"voters\":{},\"votersSince\":0,\"group\":[],\"duties\":{}}";

    private static final String FULL = "{\"current\":{\"epoch\":5,\"doc\":\"five\",\"digest\":\"d5\"},"
            + "\"previous\":{\"epoch\":0,\"doc\":null,\"digest\":\"\"},"
            + "\"candidate\":{\"epoch\":6,\"doc\":\"six\",\"digest\":\"d6\"},\"base\":5,"
            + "\"phase\":\"MARKED\",\"taken\":{\"d5\":5},\"evac\":{\"east\":{\"on\":true,\"index\":5}},"
            + "\"voters\":{\"a\":1,\"b\":1},\"votersSince\":1,\"group\":[\"a\",\"-b\"],"
            + "\"duties\":{\"list/east\":{\"holder\":\"a\",\"fence\":6,\"first\":true}}}";

    private static ReplicatedState fullState() {
        ReplicatedState state = new ReplicatedState();
        state.apply(1, new ReplicatedEntry.VotersChanged(VoterSet.decode(List.of("a", "-b"))));
        state.apply(2, new ReplicatedEntry.CandidateStored(5, 0, "d5", "five"));
        state.apply(3, new ReplicatedEntry.CommitDecided(5));
        state.apply(4, new ReplicatedEntry.PhaseReached(5, ReplicatedState.Phase.MARKED));
        state.apply(5, new ReplicatedEntry.EvacuationChanged("east", true));
        state.apply(6, new ReplicatedEntry.SingletonRoleAssigned("list/east", "a"));
        state.apply(7, new ReplicatedEntry.CandidateStored(6, 5, "d6", "six"));
        return state;
    }

    @Test
    void snapshotsAreWrittenInTheirStoredForm() {
        assertEquals(EMPTY, ReplicatedStateSnapshotCodec.encode(new ReplicatedState().snapshot()));
        assertEquals(FULL, ReplicatedStateSnapshotCodec.encode(fullState().snapshot()));
    }

    @Test
    void snapshotsAreReadAgain() {
        for (String stored : List.of(EMPTY, FULL)) {
            ReplicatedState state = fullState();
            state.restore(ReplicatedStateSnapshotCodec.decode(stored));
            assertEquals(stored, ReplicatedStateSnapshotCodec.encode(state.snapshot()));
        }
    }

    /** Early versions stored whole digests, and no group of voters. */
    @Test
    void earlyFormIsRead() {
        String digest = "0123456789abcdef".repeat(4);
        ReplicatedState state = new ReplicatedState();
        state.restore(ReplicatedStateSnapshotCodec.decode("{\"current\":{\"epoch\":5,\"doc\":\"x\",\"digest\":\""
                + digest + "\"},\"phase\":\"MARKED\",\"taken\":{\"" + digest + "\":5},\"voters\":{\"a\":1,\"b\":3}}"));
        assertTrue(state.isCommitted(digest));
        assertEquals(List.of("a", "b"), state.voterSet().all());
        assertEquals(3, state.voterSinceIndexes().get("b"));
    }

    @Test
    void textThatIsNotJsonIsAnError() {
        assertThrows(IllegalStateException.class, () -> ReplicatedStateSnapshotCodec.decode("{"));
    }
}
