package bramblespool.coordination.configuration;

import bramblespool.coordination.configuration.ShadowCommitParticipant.CandidateOutcome;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/**
 * Receives the phases of a commit at a proxy, has its {@link ShadowCommitParticipant} carry them out, and acknowledges
 * them. Confined to the event loop.
 */
public final class PhaseHandler {
    private static final String BEHIND = "behind";

    private final TermGuard termGuard;
    private final ShadowCommitParticipant participant;
    private final Runnable onBehind;

    /** @param onBehind runs when a candidate builds on a version that is not in force here */
    public PhaseHandler(TermGuard termGuard, ShadowCommitParticipant participant, Runnable onBehind) {
        this.termGuard = termGuard;
        this.participant = participant;
        this.onBehind = onBehind;
    }

    /** Serves a message of kind {@link PhaseCodec#PHASE_KIND}; a phase that is unknown here is refused. */
    public void handleRequest(JsonNode request, Consumer<ObjectNode> callback) {
        callback.accept(PhaseCodec.decodeMessage(request)
                .map(message -> PhaseCodec.encodeAcknowledgement(handle(message)))
                .orElse(null));
    }

    PhaseAcknowledgement handle(PhaseMessage message) {
        if (!termGuard.accept(PhaseCodec.PHASE_KIND, message)) {
            return new PhaseAcknowledgement.StaleMessage(termGuard.highestTerm());
        }
        long newEpoch = message.newEpoch();
        String stamp = message.stamp();
        return switch (message.phase()) {
            case ABORT -> {
                participant.revert(newEpoch, stamp);
                yield new PhaseAcknowledgement.Applied();
            }
            case TAG_DISTRIBUTION -> recordCandidate(message);
            case TAG_PACKET -> applied(participant.startTagging(newEpoch, stamp));
            case SWAP -> applied(participant.swap(newEpoch, stamp));
            case MARK_SHADOW_BIT -> applied(participant.markShadowBit(newEpoch, stamp));
        };
    }

    private PhaseAcknowledgement recordCandidate(PhaseMessage message) {
        RoutingConfiguration candidate;
        try {
            candidate = RoutingConfigurationParser.parseCompressed(
                    message.candidate().compressedDocument());
        } catch (InvalidConfigurationException e) {
            return new PhaseAcknowledgement.Rejected(e.getMessage());
        }
        CandidateOutcome outcome = participant.recordCandidate(
                message.oldEpoch(),
                message.newEpoch(),
                candidate,
                message.candidate().openForMs());
        if (outcome == CandidateOutcome.BEHIND) {
            onBehind.run();
            return new PhaseAcknowledgement.NotApplied(BEHIND);
        }
        return new PhaseAcknowledgement.CandidateRecorded(candidate.difference(participant.realConfiguration()));
    }

    private static PhaseAcknowledgement applied(boolean isApplied) {
        return isApplied ? new PhaseAcknowledgement.Applied() : new PhaseAcknowledgement.NotApplied("");
    }
}
