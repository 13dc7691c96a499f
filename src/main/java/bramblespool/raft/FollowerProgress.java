package bramblespool.raft;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a leader knows of another member: how much of the log it holds, what is on its way to it, and how much to send
 * at a time. Times are those of the clock, in milliseconds. Confined to the event loop.
 */
final class FollowerProgress {
    /** Characters of entries or of a snapshot in one request: at first, at least and at most. */
    static final int INITIAL_CHUNK_CHARS = 16 << 10;

    private static final int MIN_CHUNK_CHARS = 2 << 10;
    private static final int MAX_CHUNK_CHARS = 256 << 10;
    /** Ratio of a chunk's time limit to what answers usually take; it is a heartbeat's interval at least. */
    private static final int CHUNK_TIMEOUT_RATIO = 4;
    /** How often the time limit of a request may be doubled. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 3;
    /**
     * Ratios to the heartbeat's interval: an answer within this makes room for more, and one later than that for
     * less.
     */
    private static final double FAST_ANSWER_RATIO = 0.25;

    private static final double SLOW_ANSWER_RATIO = 0.5;

    private final String memberId;
    private long nextIndex;
    private long matchIndex;

    private boolean isRequestInFlight;
    /** Whether another request is to follow at once the one in flight. */
    private boolean shouldSendAgain;

    private boolean isPayloadInFlight;
    private long inFlightSinceMs;
    private long lastHeartbeatSentMs;

    private long lastContactMs;
    private long lastAckedSendMs;
    private long lastSentSequence;
    private long lastAnsweredSequence;
    private boolean isSynced;

    private Optional<ChunkedTransfer> transfer = Optional.empty();
    /** Snapshots sent to it since it last had all that is committed. */
    private int snapshotsSent;

    private boolean hasDivergedState;
    private OptionalLong snapshotNeededFrom = OptionalLong.empty();

    private int chunkChars = INITIAL_CHUNK_CHARS;
    private int timeoutDoublings;
    /** Requests with a payload in a row that were not answered. */
    private int consecutiveTimeouts;
    /** How long answers to requests with a payload usually take, or 0 where none has come. */
    private long typicalLatencyMs;

    /**
     * @param nextIndex the first index to send
     * @param nowMs when it counts as last heard from
     */
    FollowerProgress(String memberId, long nextIndex, long nowMs) {
        this.memberId = memberId;
        this.nextIndex = nextIndex;
        this.lastContactMs = nowMs;
    }

    String memberId() {
        return memberId;
    }

    // ---- the log

    /** The next index to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** The highest index known to be on its disk. */
    long matchIndex() {
        return matchIndex;
    }

    /**
     * It holds everything up to an index.
     *
     * @param durableIndex how far its disk is, if it is not as far as that
     * @param commitIndex the leader's commit index
     */
    void onReplicated(long upToIndex, OptionalLong durableIndex, long commitIndex) {
        matchIndex = Math.max(matchIndex, Math.min(upToIndex, durableIndex.orElse(upToIndex)));
        nextIndex = Math.max(matchIndex, upToIndex) + 1;
        if (matchIndex >= commitIndex) {
            snapshotsSent = 0;
        }
    }

    /** Its log does not fit what was sent: the next request begins after the hint, and earlier than this one. */
    void onLogMismatch(long lastIndexHint) {
        nextIndex = Math.max(1, Math.min(nextIndex - 1, lastIndexHint + 1));
    }

    /** Whether there is more to send, or something sent that is not known to be on its disk. */
    boolean hasOutstandingEntries(long lastIndex) {
        return nextIndex <= lastIndex || matchIndex < nextIndex - 1;
    }

    // ---- requests

    boolean isRequestInFlight() {
        return isRequestInFlight;
    }

    /** Has the next request sent as soon as the one in flight is answered. */
    void sendAgain() {
        shouldSendAgain = true;
    }

    boolean shouldSendAgain() {
        return shouldSendAgain;
    }

    /** Numbers a request. */
    long nextSequence() {
        return ++lastSentSequence;
    }

    long lastSentSequence() {
        return lastSentSequence;
    }

    /** The highest number of a request that it has answered, 0 for none. */
    long lastAnsweredSequence() {
        return lastAnsweredSequence;
    }

    void onSent(long nowMs, int payloadChars) {
        isRequestInFlight = true;
        shouldSendAgain = false;
        isPayloadInFlight = payloadChars > 0;
        inFlightSinceMs = nowMs;
    }

    /** The request in flight was answered or has timed out. */
    void onRequestEnded() {
        isRequestInFlight = false;
    }

    /** Whether the payload in flight has taken so long that a heartbeat should go beside it. */
    boolean isHeartbeatDue(long nowMs, long heartbeatMs) {
        return isPayloadInFlight && nowMs - Math.max(inFlightSinceMs, lastHeartbeatSentMs) >= heartbeatMs;
    }

    void onHeartbeatSent(long nowMs) {
        lastHeartbeatSentMs = nowMs;
    }

    /** It has answered a request of this number that was sent at that time. */
    void onContact(long nowMs, long sentAtMs, long sequence, RaftResponse response) {
        lastContactMs = nowMs;
        lastAnsweredSequence = Math.max(lastAnsweredSequence, sequence);
        isSynced = response.isSynced();
        lastAckedSendMs = Math.max(lastAckedSendMs, sentAtMs);
        snapshotNeededFrom = response.snapshotNeededFrom();
    }

    /** When it last answered. */
    long lastContactMs() {
        return lastContactMs;
    }

    /** When the request was sent that it has answered last: since then it has taken this member for the leader. */
    long lastAckedSendMs() {
        return lastAckedSendMs;
    }

    /** {@link StateMachine#isSynced} there. */
    boolean isSynced() {
        return isSynced;
    }

    // ---- transfers in chunks

    Optional<ChunkedTransfer> transfer() {
        return transfer;
    }

    void startTransfer(ChunkedTransfer newTransfer) {
        transfer = Optional.of(newTransfer);
    }

    void endTransfer() {
        transfer = Optional.empty();
    }

    /** It has begun to take a snapshot. */
    void onSnapshotStarted() {
        snapshotsSent++;
    }

    // ---- state

    /** Whether its state is known to differ from the group's while it does not know that itself. */
    boolean hasDivergedState() {
        return hasDivergedState;
    }

    void markDivergedState() {
        hasDivergedState = true;
    }

    void clearDivergedState() {
        hasDivergedState = false;
    }

    /** Whether it has asked for a snapshot because its state has diverged. */
    boolean needsSnapshot() {
        return snapshotNeededFrom.isPresent();
    }

    /** The index from which on a snapshot would repair its state, if it has asked for one. */
    OptionalLong snapshotNeededFrom() {
        return snapshotNeededFrom;
    }

    // ---- sizes and time limits

    /** How many characters to send in one request. */
    int chunkChars() {
        return chunkChars;
    }

    /** The time limit of a request; a lost chunk is sent again sooner, for its answer waits for no disk. */
    long requestTimeoutMs(RaftTimeouts timeouts, int payloadChars, boolean isChunk) {
        if (payloadChars == 0) {
            return timeouts.requestMs();
        }
        return isChunk && typicalLatencyMs > 0 && timeoutDoublings == 0
                ? Math.max(
                        timeouts.heartbeatMs(), Math.min(timeouts.requestMs(), typicalLatencyMs * CHUNK_TIMEOUT_RATIO))
                : timeouts.requestMs() << timeoutDoublings;
    }

    /**
     * A request was answered after so long: the next payload is to cross the link in a part of a heartbeat's
     * interval.
     */
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

    /** A request was not answered in time: the next payload is smaller, or has longer where it cannot be. */
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

    /** What operators see of it. */
    MemberProgress toMemberProgress(long lastIndex, long nowMs) {
        return new MemberProgress(
                memberId,
                matchIndex,
                lastIndex - matchIndex,
                transfer.map(ChunkedTransfer::progress).orElse(MemberProgress.Transfer.NONE),
                snapshotsSent,
                nowMs - lastContactMs,
                hasDivergedState || needsSnapshot());
    }
}
