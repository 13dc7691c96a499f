package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommitPhaseTest {
    @Test
    void phasesFollowThePaper() {
        List<CommitPhase> phases = new ArrayList<>();
        for (Optional<CommitPhase> phase = Optional.of(CommitPhase.TAG_DISTRIBUTION);
                phase.isPresent();
                phase = phase.get().next()) {
            phases.add(phase.get());
        }
        assertEquals(
                List.of(
                        CommitPhase.TAG_DISTRIBUTION,
                        CommitPhase.TAG_PACKET,
                        CommitPhase.SWAP,
                        CommitPhase.MARK_SHADOW_BIT),
                phases);
        assertTrue(CommitPhase.ABORT.next().isEmpty());
    }

    @Test
    void wireNumbersAreThoseOfThePhases() {
        for (CommitPhase phase : CommitPhase.values()) {
            assertEquals(Optional.of(phase), CommitPhase.ofWireNumber(phase.wireNumber()));
        }
        assertEquals(4, CommitPhase.MARK_SHADOW_BIT.wireNumber());
    }

    @Test
    void logRecordsSwapAndMarkShadowBit() {
        assertEquals(Optional.of(ReplicatedState.Phase.SWAPPED), CommitPhase.SWAP.recordedAs());
        assertEquals(Optional.of(ReplicatedState.Phase.MARKED), CommitPhase.MARK_SHADOW_BIT.recordedAs());
        assertEquals(Optional.empty(), CommitPhase.TAG_PACKET.recordedAs());
    }

    @ParameterizedTest
    @CsvSource({
        "NORMAL, TAG_DISTRIBUTION, TAGS_RECORDED",
        "TAGGING, TAG_DISTRIBUTION, TAGS_RECORDED",
        "SWAPPED, TAG_DISTRIBUTION, TAGS_RECORDED",
        "TAGS_RECORDED, ABORT, NORMAL",
        "TAGGING, ABORT, TAGGING",
        "SWAPPED, ABORT, SWAPPED",
        "TAGS_RECORDED, TAG_PACKET, TAGGING",
        "SWAPPED, TAG_PACKET, SWAPPED",
        "NORMAL, TAG_PACKET, NORMAL",
        "TAGS_RECORDED, SWAP, SWAPPED",
        "TAGGING, SWAP, SWAPPED",
        "SWAPPED, MARK_SHADOW_BIT, NORMAL",
        "TAGGING, MARK_SHADOW_BIT, NORMAL"
    })
    void participantEntersTheStateThatThePhaseLeadsTo(
            ParticipantState before, CommitPhase phase, ParticipantState after) {
        assertEquals(after, before.after(phase));
    }

    @ParameterizedTest
    @CsvSource({"NORMAL, false", "TAGS_RECORDED, false", "TAGGING, true", "SWAPPED, true"})
    void callsBearTagsBetweenTagPacketAndMarkShadowBit(ParticipantState state, boolean usesTags) {
        assertEquals(usesTags, state.usesTags());
    }

    /** What a new leader does, by the phase and the candidate in the log. */
    @ParameterizedTest
    @CsvSource({
        "0, NONE, false, NONE",
        "0, NONE, true, ABORT_CANDIDATE",
        "5, DECIDED, false, FINISH_COMMIT",
        "5, SWAPPED, false, FINISH_COMMIT",
        "5, MARKED, false, NONE",
        "5, MARKED, true, ABORT_CANDIDATE"
    })
    void newLeaderTakesUpWhatTheLastOneLeft(
            long epoch, ReplicatedState.Phase phase, boolean hasCandidate, RecoveryAction expected) {
        ReplicatedState replicatedState = new ReplicatedState();
        replicatedState.restore(ReplicatedStateSnapshotCodec.decode(
                snapshot(epoch, phase, hasCandidate).toString()));
        assertEquals(expected, RecoveryAction.of(replicatedState));
    }

    private static JsonNode snapshot(long epoch, ReplicatedState.Phase phase, boolean hasCandidate) {
        var snapshot = JsonNodeFactory.instance.objectNode().put("phase", phase.name());
        snapshot.putObject("current").put("epoch", epoch);
        if (hasCandidate) {
            snapshot.putObject("candidate").put("epoch", epoch + 1);
        }
        return snapshot;
    }
}
