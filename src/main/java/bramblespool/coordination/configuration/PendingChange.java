package bramblespool.coordination.configuration;

import bramblespool.protocol.OperatorRequest;
import java.util.function.Consumer;

/**
 * An operator's change that has not been answered.
 *
 * @param change the change
 * @param callback takes the outcome, once
 */
record PendingChange(OperatorRequest.ConfigurationChange change, Consumer<ChangeOutcome> callback) {
    void complete(ChangeOutcome outcome) {
        callback.accept(outcome);
    }
}
