package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import java.util.Set;

/** What became of an operator's change. */
public sealed interface ChangeOutcome {
    /**
     * The change is in force, now or by an earlier request with the same content.
     *
     * @param currentEpoch the version in force
     */
    record Committed(long currentEpoch) implements ChangeOutcome {}

    /**
     * The change builds on a version that is not in force.
     *
     * @param currentEpoch the version in force
     */
    record VersionConflict(long currentEpoch) implements ChangeOutcome {}

    /**
     * The change leads to a document that is not valid.
     *
     * @param faults what is wrong, for the operator
     */
    record Invalid(String faults) implements ChangeOutcome {}

    /**
     * The operator must ask again; whether the change comes into force is not known, or it did not for a passing
     * cause.
     */
    sealed interface Unknown extends ChangeOutcome {
        /** For the operator and the log. */
        String reason();
    }

    /** This controller ceased to lead while the change was queued or under way. */
    record LeadershipLost() implements Unknown {
        @Override
        public String reason() {
            return "leadership was lost";
        }
    }

    /** No majority confirmed in time that this controller still leads, so its answer may be out of date. */
    record NoMajority() implements Unknown {
        @Override
        public String reason() {
            return "no majority confirms it";
        }
    }

    /**
     * Proxies found the candidate invalid in phase 1, and the commit was aborted. The leader's parser has accepted
     * the same document, so this shows a damaged copy or another version of the program at the proxy rather than a
     * fault of the change: the operator is to ask again.
     *
     * @param proxies their nodes
     */
    record RejectedByProxies(Set<String> proxies) implements Unknown {
        @Override
        public String reason() {
            return "refused by " + proxies;
        }
    }

    /** The answer that the operator gets. */
    default OperatorRequest.Result toResult() {
        if (this instanceof Committed committed) {
            return OperatorRequest.Result.accepted(committed.currentEpoch());
        }
        if (this instanceof VersionConflict conflict) {
            return OperatorRequest.Result.versionConflict(conflict.currentEpoch());
        }
        if (this instanceof Invalid invalid) {
            return OperatorRequest.Result.invalid(invalid.faults());
        }
        return OperatorRequest.Result.unknown(((Unknown) this).reason());
    }
}
