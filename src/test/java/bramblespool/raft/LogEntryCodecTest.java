package bramblespool.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The texts are those that disks written by version 0.4.0 hold. */
class LogEntryCodecTest {
    @Test
    void noopKeepsItsText() {
        assertEquals("{\"k\":\"noop\"}", LogEntryCodec.encodeNoop());
        assertFalse(LogEntryCodec.isVotersEntry(LogEntryCodec.encodeNoop()));
    }

    @Test
    void votersKeepTheirTextAndAreReadBack() {
        List<String> voters = List.of("a:1#0", "-b:1#0", "+c:1#0");
        String entry = LogEntryCodec.encodeVoters(VoterSet.decode(voters));
        assertEquals("{\"k\":\"members\",\"voters\":[\"a:1#0\",\"-b:1#0\",\"+c:1#0\"]}", entry);
        assertTrue(LogEntryCodec.isVotersEntry(entry));
        assertEquals(voters, LogEntryCodec.decodeVoters(entry));
    }
}
