package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The stored form of log entries, which must never change. */
class ReplicatedEntryCodecTest {
    private static Stream<Arguments> storedForms() {
        return Stream.of(
                Arguments.of(
                        new ReplicatedEntry.CandidateStored(7, 5, "ab", "doc"),
                        "{\"k\":\"candidate\",\"epoch\":7,\"base\":5,\"digest\":\"ab\",\"doc\":\"doc\"}"),
                Arguments.of(new ReplicatedEntry.CommitAborted(7), "{\"k\":\"abort\",\"epoch\":7}"),
                Arguments.of(new ReplicatedEntry.CommitDecided(7), "{\"k\":\"decide\",\"epoch\":7}"),
                Arguments.of(
                        new ReplicatedEntry.PhaseReached(7, ReplicatedState.Phase.SWAPPED),
                        "{\"k\":\"phase\",\"epoch\":7,\"phase\":\"SWAPPED\"}"),
                Arguments.of(
                        new ReplicatedEntry.VotersChanged(VoterSet.decode(List.of("a", "-b", "+c"))),
                        "{\"k\":\"members\",\"voters\":[\"a\",\"-b\",\"+c\"]}"),
                Arguments.of(
                        new ReplicatedEntry.EvacuationChanged("east", true),
                        "{\"k\":\"evac\",\"zone\":\"east\",\"on\":true}"),
                Arguments.of(
                        new ReplicatedEntry.SingletonRoleAssigned("list/east", "a:1"),
                        "{\"k\":\"duty\",\"key\":\"list/east\",\"holder\":\"a:1\"}"),
                Arguments.of(new ReplicatedEntry.Ignored("noop"), "{\"k\":\"noop\"}"));
    }

    @ParameterizedTest
    @MethodSource("storedForms")
    void entriesAreWrittenAndReadInTheirStoredForm(ReplicatedEntry entry, String stored) {
        assertEquals(stored, ReplicatedEntryCodec.encode(entry));
        assertEquals(entry, ReplicatedEntryCodec.decode(stored));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {"{\"k\":\"later\",\"x\":1}|later", "{}|``"})
    void unknownKindsAreIgnored(String stored, String kind) {
        assertEquals(new ReplicatedEntry.Ignored(kind), ReplicatedEntryCodec.decode(stored));
    }

    @Test
    void textThatIsNotJsonIsAnError() {
        assertThrows(IllegalStateException.class, () -> ReplicatedEntryCodec.decode("{\"k\":"));
    }
}
