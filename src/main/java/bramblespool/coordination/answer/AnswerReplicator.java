package bramblespool.coordination.answer;

import bramblespool.state.AnswerStore.Answer;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Hands a proxy's answers to controllers, which keep copies. No request waits for it: answers of a short time go in one
 * message, one message is under way at a time, and what was not taken is sent again, to another controller, until it
 * expires. Confined to the event loop.
 */
public final class AnswerReplicator {
    /**
     * The times that it goes by, in milliseconds.
     *
     * @param gatherMs how long answers are gathered for one message
     * @param callTimeoutMs how long a controller is waited for
     * @param firstBackoffMs the pause after a message that was not taken; it doubles with each further one
     * @param bytesPerMs how much may be sent in the long run, so that requests find the link free; 0 for any amount
     */
    public record Timings(long gatherMs, long callTimeoutMs, long firstBackoffMs, double bytesPerMs) {}

    /** Which controllers will keep an answer is for them to say. */
    private static final String NO_HOLDERS = "";
    /** A message is closed once its answers have this size: little enough for a narrow link and a busy controller. */
    private static final int MAX_MESSAGE_BYTES = 8 << 10;
    /** The pause doubles so many times at most: answers that can't be copied now must not make a bad time worse. */
    private static final int MAX_DOUBLINGS = 4;

    private final Clock clock;
    private final PeerTransport transport;
    private final Supplier<List<String>> controllers;
    private final Timings timings;
    private final long maxBytes;
    /** What no controller has taken yet, the oldest first. */
    private final ArrayDeque<ExecutedOperation> pending = new ArrayDeque<>();

    private int failuresInARow;
    private long lastMessageBytes;
    private long pendingBytes;
    private boolean isScheduled;
    private boolean isSending;
    private boolean isHurried;
    private long droppedCount;

    /**
     * @param controllers the controllers' peer addresses, the best one first
     * @param maxBytes limit of what waits; beyond it the oldest are dropped
     */
    public AnswerReplicator(
            Clock clock, PeerTransport transport, Supplier<List<String>> controllers, Timings timings, long maxBytes) {
        this.clock = clock;
        this.transport = transport;
        this.controllers = controllers;
        this.timings = timings;
        this.maxBytes = maxBytes;
    }

    /** Whether every answer has its copies. */
    public boolean isIdle() {
        return pending.isEmpty();
    }

    /** How many answers were dropped before a controller took them. */
    public long droppedCount() {
        return droppedCount;
    }

    /** The process is about to end: from now on nothing is gathered. */
    public void hurry() {
        isHurried = true;
        schedule(0);
    }

    /** Takes an answer that has just been given. */
    public void add(ExecutedOperation operation) {
        pending.add(operation);
        pendingBytes += operation.response().sizeBytes();
        while (pendingBytes > maxBytes) {
            removeOldest();
            droppedCount++;
        }
        schedule(isHurried ? 0 : timings.gatherMs);
    }

    private void removeOldest() {
        pendingBytes -= pending.poll().response().sizeBytes();
    }

    private void schedule(long delayMs) {
        if (!isSending && !isScheduled && !pending.isEmpty()) {
            isScheduled = true;
            clock.schedule(delayMs, () -> {
                isScheduled = false;
                send();
            });
        }
    }

    private void send() {
        dropExpired();
        if (isSending || pending.isEmpty()) {
            return;
        }
        List<String> candidates = controllers.get();
        if (candidates.isEmpty()) {
            schedule(timings.callTimeoutMs);
            return;
        }
        // The best one, and after each failure the next one.
        String controller = candidates.get(failuresInARow % candidates.size());
        List<ExecutedOperation> batch = nextBatch();
        List<Answer> answers = batch.stream().map(AnswerReplicator::toAnswer).toList();
        isSending = true;
        transport.call(
                controller,
                AnswerCodec.KEEP_KIND,
                AnswerCodec.encodeKeep(new AnswerCodec.KeepRequest(NO_HOLDERS, answers), clock.nowMs()),
                timings.callTimeoutMs,
                response -> onResponse(batch, response != null));
    }

    private static Answer toAnswer(ExecutedOperation operation) {
        return new Answer(
                operation.registerId(),
                operation.claim(),
                operation.fingerprint(),
                operation.expiresAtMs(),
                ResponseArchive.pack(operation.response()),
                NO_HOLDERS);
    }

    private void onResponse(List<ExecutedOperation> batch, boolean isKept) {
        isSending = false;
        if (isKept) {
            failuresInARow = 0;
            for (ExecutedOperation operation : batch) {
                // What was dropped meanwhile is not there any more.
                if (operation.equals(pending.peek())) {
                    removeOldest();
                }
            }
        } else {
            failuresInARow++;
        }
        schedule(isKept ? pauseMs() : backoffMs());
    }

    /** Until the next message: as long as the last one counts on the link, and until another one is gathered. */
    private long pauseMs() {
        if (isHurried) {
            return 0;
        }
        long linkMs = timings.bytesPerMs > 0 ? (long) (lastMessageBytes / timings.bytesPerMs) : 0;
        return Math.max(linkMs, pendingBytes >= MAX_MESSAGE_BYTES ? 0 : timings.gatherMs);
    }

    private long backoffMs() {
        return isHurried
                ? timings.firstBackoffMs
                : timings.firstBackoffMs << Math.min(failuresInARow - 1, MAX_DOUBLINGS);
    }

    private void dropExpired() {
        while (!pending.isEmpty() && pending.peek().expiresAtMs() <= clock.nowMs()) {
            removeOldest();
            droppedCount++;
        }
    }

    /** The answers of the next message, the oldest first; notes their size. */
    private List<ExecutedOperation> nextBatch() {
        List<ExecutedOperation> batch = new ArrayList<>();
        lastMessageBytes = 0;
        for (ExecutedOperation operation : pending) {
            if (lastMessageBytes >= MAX_MESSAGE_BYTES) {
                break;
            }
            batch.add(operation);
            lastMessageBytes += operation.response().sizeBytes();
        }
        return batch;
    }
}
