package bramblespool.coordination.register;

import bramblespool.transport.Clock;

/**
 * For how long the present voters have been known here. A value that was accepted under earlier voters is held by
 * acceptors for a retention time; after that only values of the present epoch are left. Confined to the event loop.
 */
final class EpochAge {
    private final RegisterVoters voters;
    private final Clock clock;
    private final long retentionMs;
    private long knownEpoch;
    private long knownSinceMs;

    EpochAge(RegisterVoters voters, Clock clock, long retentionMs) {
        this.voters = voters;
        this.clock = clock;
        this.retentionMs = retentionMs;
        update();
    }

    /** To be called at each change of the voters, and now and then. */
    void update() {
        if (voters.epoch() != knownEpoch) {
            knownEpoch = voters.epoch();
            knownSinceMs = clock.nowMs();
        }
    }

    /** Whether nothing that was accepted under earlier voters can be held by any of the present ones. */
    boolean outlastsFormerEpochs() {
        update();
        return voters.areFounders() || clock.nowMs() - knownSinceMs > retentionMs;
    }
}
