package bramblespool.raft;

/** What a leader knows of another member. */
final class FollowerProgress {
    /** Letters of entries or of a snapshot in one message: at first, at least and at most. */
    static final int INITIAL_CHUNK_CHARS = 16 << 10;

    private static final int MIN_CHUNK_CHARS = 2 << 10;
    private static final int MAX_CHUNK_CHARS = 256 << 10;
    /** Ratio of a part's time limit to what answers usually take; it is a heartbeat's interval at least. */
    private static final int CHUNK_TIMEOUT_RATIO = 4;
    /** How often the time limit of a message may be doubled. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 3;
    /** Ratios to the heartbeat's interval: an answer within this makes room for more, and one later than that for less. */
    private static final double FAST_ANSWER_RATIO = 0.25;

    private static final double SLOW_ANSWER_RATIO = 0.5;

    final String memberId;
    /** The next index to send, and the highest one known to be on its disk. */
    long nextIndex;

    long matchIndex;
    /** A message is under way, and another is to follow at once. */
    boolean isRequestInFlight;

    boolean shouldSendAgain;
    /** The one under way carries entries or a part; since when, and when the last heartbeat went beside it. */
    boolean isPayloadInFlight;

    long inFlightSinceMs;
    long lastHeartbeatSentMs;
    /** When it last answered, and when what it answered had been sent. */
    long lastContactMs;

    long lastAckedSendMs;
    boolean isSynced;
    /** Messages sent to it, and the last one it has answered. */
    long lastSentSequence;

    long lastAnsweredSequence;
    /** What goes to it in parts, or null. */
    ChunkedTransfer transfer;
    /** Snapshots sent to it since it last had all that is agreed. */
    int snapshotsSent;
    /** Its state is not what the group agreed on, and the index from which on a snapshot would mend that, or -1. */
    boolean hasDivergedState;

    long snapshotRequestedFrom = -1;
    private int chunkChars = INITIAL_CHUNK_CHARS;
    private int timeoutDoublings;
    /** Messages in turn that were not answered. */
    private int consecutiveTimeouts;
    /** How long answers to parts usually take, or 0 where none has come. */
    private long typicalLatencyMs;

    FollowerProgress(String memberId, long nextIndex, long nowMs) {
        this.memberId = memberId;
        this.nextIndex = nextIndex;
        this.lastContactMs = nowMs;
    }

    int chunkChars() {
        return chunkChars;
    }

    /** The time limit for a message with so much in it; a lost part is sent again sooner, for its answer waits for no disk. */
    long requestTimeoutMs(RaftTimeouts timeouts, int payloadChars, boolean isChunk) {
        if (payloadChars == 0) {
            return timeouts.requestMs();
        }
        return isChunk && typicalLatencyMs > 0 && timeoutDoublings == 0
                ? Math.max(
                        timeouts.heartbeatMs(), Math.min(timeouts.requestMs(), typicalLatencyMs * CHUNK_TIMEOUT_RATIO))
                : timeouts.requestMs() << timeoutDoublings;
    }

    /** A message with so much in it was answered after so long: it is to cross the link in a part of a heartbeat's interval. */
    void onAnswered(long latencyMs, int payloadChars, RaftTimeouts timeouts) {
        if (payloadChars == 0) {
            return;
        }
        timeoutDoublings = Math.max(0, timeoutDoublings - 1);
        consecutiveTimeouts = 0;
        typicalLatencyMs = typicalLatencyMs == 0 ? latencyMs : (typicalLatencyMs * 3 + latencyMs) / 4;
        if (latencyMs > timeouts.heartbeatMs() * SLOW_ANSWER_RATIO) {
            chunkChars = Math.max(MIN_CHUNK_CHARS, chunkChars / 2);
        } else if (latencyMs <= timeouts.heartbeatMs() * FAST_ANSWER_RATIO && payloadChars >= chunkChars / 2) {
            chunkChars = Math.min(MAX_CHUNK_CHARS, chunkChars * 2);
        }
    }

    /** A message with so much in it was not answered in time: the next holds less, or has longer where it cannot. */
    void onTimeout(int payloadChars) {
        if (payloadChars == 0) {
            return;
        }
        typicalLatencyMs *= 2;
        if (consecutiveTimeouts++ == 0 && typicalLatencyMs > 0) {
            // Others of its size were answered: this one was lost.
            return;
        }
        if (chunkChars > MIN_CHUNK_CHARS) {
            chunkChars = Math.max(MIN_CHUNK_CHARS, chunkChars / 2);
        } else {
            timeoutDoublings = Math.min(MAX_TIMEOUT_DOUBLINGS, timeoutDoublings + 1);
        }
    }
}
