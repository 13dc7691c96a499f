package bramblespool.coordination.controller;

import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;

/**
 * What this controller is: its settings, its name in the group, whether it has a vote and whether it is leaving.
 * Confined to the event loop.
 */
final class LocalController {
    private final String memberId;
    private final ReplicatedState replicatedState;
    private Settings settings;
    private boolean isLeaving;

    /** @param memberId peer address and incarnation, as consensus names this member */
    LocalController(Settings settings, String memberId, ReplicatedState replicatedState) {
        this.settings = settings;
        this.memberId = memberId;
        this.replicatedState = replicatedState;
    }

    /** The settings in force; they may be replaced while the process runs. */
    Settings settings() {
        return settings;
    }

    void updateSettings(Settings newSettings) {
        settings = newSettings;
    }

    /** Where other daemons reach this controller, {@code host:port}. */
    String peerAddress() {
        return settings.peerAddress();
    }

    /** Whether this controller is a voter, as far as it has applied the log. */
    boolean isVoter() {
        return replicatedState.voterSinceIndexes().containsKey(memberId);
    }

    /** Whether this controller is shutting down and takes on nothing new. */
    boolean isLeaving() {
        return isLeaving;
    }

    void startLeaving() {
        isLeaving = true;
    }
}
