package bramblespool.raft;

/**
 * When this member may next try to be elected: after a random time, so that members do not split the votes again and
 * again. Confined to the event loop.
 */
final class ElectionTimer {
    /** Elections in a row, without hearing of a leader, after which the next one comes soon. */
    private static final int QUICK_RETRIES = 2;

    private final RaftContext context;
    private long nextElectionMs;
    private int electionsInARow;

    ElectionTimer(RaftContext context) {
        this.context = context;
        this.nextElectionMs = context.nowMs() + shortDelayMs();
    }

    boolean isDue(long nowMs) {
        return nowMs >= nextElectionMs;
    }

    /** Starts anew: once or twice the election time from now. */
    void postpone() {
        long electionMs = context.timeouts().electionMs();
        nextElectionMs = context.nowMs() + electionMs + (long) (context.clock().random() * electionMs);
    }

    /** Somebody leads. */
    void onLeaderKnown() {
        electionsInARow = 0;
    }

    void onPreVoteStarted() {
        nextElectionMs = context.nowMs() + context.timeouts().heartbeatMs() + shortDelayMs();
    }

    void onElectionStarted() {
        // Where the votes are split each tries again after a time of its own, longer than an answer should take.
        if (++electionsInARow <= QUICK_RETRIES) {
            nextElectionMs = context.nowMs() + context.timeouts().requestMs() + shortDelayMs();
        } else {
            postpone();
        }
    }

    /** Short, for the pre-vote of a try too early disturbs nobody. */
    private long shortDelayMs() {
        return context.timeouts().heartbeatMs()
                + (long) (context.clock().random() * context.timeouts().electionMs() / 2);
    }
}
