package bramblespool.coordination.answer;

import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.AnswerStore;
import bramblespool.state.AnswerStore.Answer;
import bramblespool.state.AnswerStore.AnswerPage;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A controller's part: keeps answers on its disk, and has other controllers keep as many copies as disks may be lost.
 * What proxies send within a short time goes on as one message and as one write. Confined to the event loop.
 */
public final class AnswerReplica {
    /** The store removes answers by parts of the retention time. */
    private static final int RETENTION_PARTS = 8;

    /** Answers in one message to a controller that has lost its disk. */
    private static final int RECOVERY_PAGE_SIZE = 32;

    /**
     * Peer addresses of controllers.
     *
     * @param self this controller's
     * @param others all others', those first that are to keep copies
     */
    public record Controllers(String self, Supplier<List<String>> others) {}

    /**
     * How it is to act.
     *
     * @param furtherCopies how many other controllers must have an answer, as far as there are that many
     * @param gatherMs how long answers are gathered for one message, in milliseconds
     * @param callTimeoutMs how long another controller is waited for, in milliseconds
     * @param retentionMs how long answers are kept at most, in milliseconds
     */
    public record Options(int furtherCopies, long gatherMs, long callTimeoutMs, long retentionMs) {}

    /** What waits to be kept, and who is told. */
    private static final class Batch {
        private final List<Answer> answers = new ArrayList<>();
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>();
    }

    private final Controllers controllers;
    private final AnswerStore store;
    private final Clock clock;
    private final ClusterClock clusterClock;
    private final PeerTransport transport;
    private final BooleanSupplier isOverloaded;
    private final Options options;
    /** The batch that is being gathered; null between two. */
    private Batch openBatch;

    /**
     * @param isOverloaded whether this controller is too busy for what can wait
     */
    public AnswerReplica(
            Controllers controllers,
            AnswerStore store,
            Clock clock,
            ClusterClock clusterClock,
            PeerTransport transport,
            BooleanSupplier isOverloaded,
            Options options) {
        this.controllers = controllers;
        this.store = store;
        this.clock = clock;
        this.clusterClock = clusterClock;
        this.transport = transport;
        this.isOverloaded = isOverloaded;
        this.options = options;
    }

    /** Begins to remove answers whose time is over. */
    public void start() {
        // One part more, as the first one is under way.
        clock.scheduleRepeatedly(options.retentionMs / RETENTION_PARTS, () -> store.expireAnswers(RETENTION_PARTS + 1));
    }

    /** Keeps answers; the response comes once all their copies are durable, and none where that fails. */
    public void handleKeep(JsonNode message, Consumer<ObjectNode> callback) {
        if (isOverloaded.getAsBoolean()) {
            // Whoever sends them has them still, and comes again.
            callback.accept(null);
            return;
        }
        AnswerCodec.KeepRequest request = AnswerCodec.decodeKeep(message, clusterClock.now());
        Consumer<Boolean> onKept = isKept -> callback.accept(isKept ? AnswerCodec.encodeKept() : null);
        if (request.isReplica()) {
            store.saveAnswers(request.answers(), onKept);
            return;
        }
        if (openBatch == null) {
            openBatch = new Batch();
            clock.schedule(options.gatherMs, this::keepBatch);
        }
        openBatch.answers.addAll(request.answers());
        openBatch.callbacks.add(onKept);
    }

    private void keepBatch() {
        Batch batch = openBatch;
        openBatch = null;
        new Replication(batch).start();
    }

    /** Answers with what is kept here of a claim. */
    public void handleFind(JsonNode message, Consumer<ObjectNode> callback) {
        store.findAnswer(
                AnswerCodec.decodeRegisterId(message),
                AnswerCodec.decodeClaim(message),
                found -> callback.accept(AnswerCodec.encodeFound(found, clusterClock.now())));
    }

    /** Gives a controller that has lost its disk the answers that it kept besides this one. */
    public void handleRecover(JsonNode message, Consumer<ObjectNode> callback) {
        AnswerCodec.RecoverRequest request = AnswerCodec.decodeRecover(message);
        store.pageAnswers(
                request.otherHolder(),
                request.afterSequence(),
                RECOVERY_PAGE_SIZE,
                page -> callback.accept(AnswerCodec.encodePage(page, clusterClock.now())));
    }

    /**
     * To be called where this controller's disk was lost: asks all others for the answers that it kept, for as long as
     * somebody may become known who has some.
     */
    public void recover(long durationMs) {
        new Recovery(clock.nowMs() + durationMs).askAll();
    }

    /** Reads the others' answers, page after page, each of them once. */
    private final class Recovery {
        private final long endMs;
        private final Set<String> asked = new HashSet<>();

        Recovery(long endMs) {
            this.endMs = endMs;
        }

        void askAll() {
            for (String controller : controllers.others.get()) {
                if (asked.add(controller)) {
                    requestPage(controller, 0);
                }
            }
            if (clock.nowMs() < endMs) {
                clock.schedule(options.callTimeoutMs, this::askAll);
            }
        }

        private void requestPage(String controller, long afterSequence) {
            transport.call(
                    controller,
                    AnswerCodec.RECOVER_KIND,
                    AnswerCodec.encodeRecover(new AnswerCodec.RecoverRequest(controllers.self, afterSequence)),
                    options.callTimeoutMs,
                    response -> {
                        if (response == null) {
                            // It is asked again from the beginning, while there is time.
                            asked.remove(controller);
                        } else {
                            keep(controller, AnswerCodec.decodePage(response, controller, clusterClock.now()));
                        }
                    });
        }

        private void keep(String controller, AnswerPage page) {
            if (page.answers().isEmpty()) {
                return;
            }
            store.saveAnswers(page.answers(), isKept -> {
                if (page.hasMore()) {
                    requestPage(controller, page.lastSequence());
                }
            });
        }
    }

    /** Has one batch kept here and elsewhere; a controller that does not take it is passed over for the next one. */
    private final class Replication {
        private final Batch batch;
        private final List<String> candidates = new ArrayList<>(controllers.others.get());
        /** Copies that are not yet durable, the own one among them. */
        private int missingCopies;

        private boolean isFinished;

        Replication(Batch batch) {
            this.batch = batch;
        }

        void start() {
            int furtherCopies = Math.min(options.furtherCopies, candidates.size());
            missingCopies = furtherCopies + 1;
            String holders = holders(furtherCopies);
            store.saveAnswers(
                    batch.answers.stream()
                            .map(answer -> answer.withOtherHolders(holders))
                            .toList(),
                    this::onCopy);
            for (int i = 0; i < furtherCopies; i++) {
                sendToNext();
            }
        }

        /** The controllers that are meant to keep the answers besides this one. */
        private String holders(int furtherCopies) {
            return String.join(" ", candidates.subList(0, furtherCopies));
        }

        private void sendToNext() {
            if (candidates.isEmpty()) {
                onCopy(false);
                return;
            }
            AnswerCodec.KeepRequest request = new AnswerCodec.KeepRequest(controllers.self, batch.answers);
            transport.call(
                    candidates.remove(0),
                    AnswerCodec.KEEP_KIND,
                    AnswerCodec.encodeKeep(request, clusterClock.now()),
                    options.callTimeoutMs,
                    response -> {
                        if (response != null) {
                            onCopy(true);
                        } else {
                            sendToNext();
                        }
                    });
        }

        private void onCopy(boolean isKept) {
            missingCopies--;
            if (!isFinished && (!isKept || missingCopies == 0)) {
                isFinished = true;
                batch.callbacks.forEach(callback -> callback.accept(isKept));
            }
        }
    }
}
