package bramblespool.coordination.controller;

import bramblespool.state.ReplicatedState;

/** What came of the operator's request to read the configuration. */
public sealed interface ConfigurationReadResult {
    /** The version in force when the request came, or a later one: a majority confirmed the leader since. */
    record Current(ReplicatedState.Version version) implements ConfigurationReadResult {}

    /** There is no configuration yet; a majority confirmed that. */
    record None() implements ConfigurationReadResult {}

    /** No majority confirmed in time that this controller leads: another leader may have decided on a later version. */
    record Unconfirmed() implements ConfigurationReadResult {}
}
