package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import bramblespool.state.CompressedDocument;
import bramblespool.state.InvalidConfigurationException;
import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.RoutingConfigurationParser;
import com.google.gson.JsonObject;
import java.util.Optional;

/**
 * Judges a change against the replicated state and compiles the candidate that it leads to. Confined to the event loop.
 */
final class CandidateFactory {
    /** Either a candidate to commit, or what is decided about the change without a commit. */
    sealed interface Evaluation {}

    record Candidate(RoutingConfiguration configuration) implements Evaluation {}

    record Decided(ChangeOutcome outcome) implements Evaluation {}

    private final ReplicatedState replicatedState;
    /**
     * The document compiled last, or null: it spares a leader compiling its own candidate again for the next amendment.
     * It need not be the version in force: a candidate may be aborted, or lose to another one of the same number.
     */
    private RoutingConfiguration lastCompiled;

    CandidateFactory(ReplicatedState replicatedState) {
        this.replicatedState = replicatedState;
    }

    /**
     * What is decided about a change already: it was committed, or another version than its base is in force. Empty
     * where it may still be committed.
     */
    Optional<ChangeOutcome> decidedOutcome(OperatorRequest.ConfigurationChange change) {
        long currentEpoch = replicatedState.current().epoch();
        if (replicatedState.isCommitted(change.digest())) {
            return Optional.of(new ChangeOutcome.Committed(currentEpoch));
        }
        return change.baseVersion() == currentEpoch
                ? Optional.empty()
                : Optional.of(new ChangeOutcome.VersionConflict(currentEpoch));
    }

    /** Compiles the candidate of a change, unless something is decided about it already or it is invalid. */
    Evaluation evaluate(OperatorRequest.ConfigurationChange change) {
        Optional<ChangeOutcome> decided = decidedOutcome(change);
        if (decided.isPresent()) {
            return new Decided(decided.get());
        }
        RoutingConfiguration candidate;
        try {
            JsonObject document = change.applyTo(currentConfiguration());
            candidate = RoutingConfigurationParser.parse(document, CompressedDocument.compress(document.toString()));
        } catch (InvalidConfigurationException e) {
            return new Decided(new ChangeOutcome.Invalid(e.getMessage()));
        }
        long currentEpoch = replicatedState.current().epoch();
        if (candidate.epoch() <= currentEpoch) {
            return new Decided(new ChangeOutcome.Invalid("epoch: must be above " + currentEpoch));
        }
        return new Candidate(candidate);
    }

    /** The candidate is in the log, and likely to be the next version. */
    void onCandidateStored(RoutingConfiguration candidate) {
        lastCompiled = candidate;
    }

    /** The candidate was aborted, or this controller does not lead any more: nothing is kept of it. */
    void dropCandidate() {
        lastCompiled = null;
    }

    /** The version in force; null before the first. */
    private RoutingConfiguration currentConfiguration() throws InvalidConfigurationException {
        ReplicatedState.Version version = replicatedState.current();
        if (version.compressedDocument() == null) {
            return null;
        }
        if (lastCompiled == null || !lastCompiled.compressedDocument().equals(version.compressedDocument())) {
            lastCompiled = RoutingConfigurationParser.parseCompressed(version.compressedDocument());
        }
        return lastCompiled;
    }
}
