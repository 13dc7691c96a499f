package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class SnapshotChecksumTest {
    private static final String STATE = "{\"a\":1}";

    @Test
    void stateIsReadBack() {
        assertEquals(Optional.of(STATE), SnapshotChecksum.verify(SnapshotChecksum.addChecksum(STATE)));
    }

    @Test
    void damageIsDetected() {
        String data = SnapshotChecksum.addChecksum(STATE);
        assertEquals(Optional.empty(), SnapshotChecksum.verify(data.replace("1}", "2}")));
        assertEquals(Optional.empty(), SnapshotChecksum.verify(data.substring(0, 40)));
    }

    @Test
    void dataWithoutAChecksumIsTakenAsItIs() {
        assertEquals(Optional.of(STATE), SnapshotChecksum.verify(STATE));
        assertEquals(
                SnapshotChecksum.shortDigest(SnapshotChecksum.addChecksum(STATE)), SnapshotChecksum.shortDigest(STATE));
    }
}
