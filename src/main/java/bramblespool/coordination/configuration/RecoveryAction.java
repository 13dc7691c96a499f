package bramblespool.coordination.configuration;

import bramblespool.state.ReplicatedState;

/**
 * What a new leader does first about the commit that its predecessor left. The paper's controller keeps no state over a
 * failure; here the log says how far the commit had come.
 */
enum RecoveryAction {
    /**
     * A candidate was stored and not decided: no operator got an answer that it is in force, so it may be
     * withdrawn.
     */
    ABORT_CANDIDATE,
    /**
     * A version was decided, and not all phases are over: they run again from TAG PACKET, for proxies repeat them
     * safely.
     */
    FINISH_COMMIT,
    /** No commit was under way. */
    NONE;

    static RecoveryAction of(ReplicatedState replicatedState) {
        if (replicatedState.candidate() != null) {
            return ABORT_CANDIDATE;
        }
        boolean hasVersion = replicatedState.current().epoch() > 0;
        return hasVersion && replicatedState.phase() != ReplicatedState.Phase.MARKED ? FINISH_COMMIT : NONE;
    }
}
