package bramblespool.testing;

import bramblespool.state.AnswerStore;
import bramblespool.state.DurableStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** A machine's disk, which syncs a little later, and may be full, slow, hang or be lost. */
public final class SimulatedDisk implements DurableStore, AnswerStore {
    /** A change that has been handed over and is not durable yet. */
    private record PendingWrite(Runnable write, Runnable onDurable) {}

    /** The longest time after which a sync ends, besides {@link #extraSyncMs}. */
    private static final int MAX_SYNC_MS = 4;

    private static final long RETRY_MS = 100;

    private final Simulator simulator;
    private final SimulatedMachine machine;
    private PersistentState held;
    private final Map<String, StoredRegister> registers = new LinkedHashMap<>();
    /** By register and claim. */
    private final Map<String, Answer> answers = new LinkedHashMap<>();

    private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();
    private long pendingSinceMs = -1;
    private boolean hasAcknowledged;
    /** Milliseconds that a sync takes beyond the usual. */
    public long extraSyncMs;
    /** Whether writes fail. */
    public boolean isFull;
    /** Until when it does nothing at all. */
    public long hangsUntilMs;
    /** Whether a loss of power may take all of a disk on which nothing was ever acknowledged as durable. */
    public boolean mayLoseUnacknowledged;

    SimulatedDisk(Simulator simulator, SimulatedMachine machine) {
        this.simulator = simulator;
        this.machine = machine;
    }

    /** Loses all that is on it. */
    public void wipe() {
        held = null;
        hasAcknowledged = false;
        registers.clear();
        answers.clear();
    }

    /** The process ends. Writes that were handed over may be there, in order, as far as the disk had come. */
    void crash(boolean losesPower) {
        while (!pendingWrites.isEmpty()) {
            PendingWrite pending = pendingWrites.poll();
            if (simulator.random.nextBoolean() && !isFull) {
                pending.write.run();
            } else {
                pendingWrites.clear();
            }
        }
        pendingSinceMs = -1;
        if (losesPower && mayLoseUnacknowledged && !hasAcknowledged) {
            wipe();
        }
    }

    @Override
    public boolean isEmpty() {
        return held == null;
    }

    @Override
    public PersistentState load() {
        if (held == null) {
            throw new IllegalStateException("the disk is empty");
        }
        return held;
    }

    @Override
    public void initialize(String incarnation, List<LogEntry> firstEntries) {
        held = new PersistentState(incarnation, 0, null, 0, null, new ArrayList<>(firstEntries));
    }

    @Override
    public void save(Change change, Runnable onDurable) {
        enqueue(() -> write(change), onDurable);
    }

    @Override
    public void saveRegisters(List<StoredRegister> changed, Runnable onDurable) {
        List<StoredRegister> copy = List.copyOf(changed);
        enqueue(() -> copy.forEach(register -> registers.put(register.registerId(), register)), onDurable);
    }

    @Override
    public List<StoredRegister> loadRegisters() {
        return new ArrayList<>(registers.values());
    }

    @Override
    public void expireRegisters(int parts) {}

    @Override
    public void saveAnswers(List<Answer> saved, Consumer<Boolean> callback) {
        List<Answer> copy = List.copyOf(saved);
        if (isFull) {
            machine.schedule(0, () -> callback.accept(false));
            return;
        }
        enqueue(
                () -> copy.forEach(answer -> answers.put(answer.registerId() + " " + answer.claim(), answer)),
                () -> callback.accept(true));
    }

    @Override
    public void findAnswer(String registerId, String claim, Consumer<Optional<Answer>> callback) {
        machine.schedule(1, () -> callback.accept(Optional.ofNullable(answers.get(registerId + " " + claim))));
    }

    @Override
    public void pageAnswers(String otherHolder, long afterSequence, int limit, Consumer<AnswerPage> callback) {
        List<Answer> page = new ArrayList<>();
        long sequence = 0;
        for (Answer answer : answers.values()) {
            sequence++;
            boolean isHeld = List.of(answer.otherHolders().split(" ")).contains(otherHolder);
            if (sequence > afterSequence && isHeld) {
                page.add(answer);
                if (page.size() == limit) {
                    break;
                }
            }
        }
        AnswerPage result = new AnswerPage(page, sequence, page.size() == limit);
        machine.schedule(1, () -> callback.accept(result));
    }

    @Override
    public void expireAnswers(int retainedPeriods) {}

    private void enqueue(Runnable write, Runnable onDurable) {
        pendingWrites.add(new PendingWrite(write, onDurable));
        if (pendingWrites.size() == 1) {
            pendingSinceMs = simulator.nowMs();
            machine.scheduleForIncarnation(1 + simulator.random.nextInt(MAX_SYNC_MS) + extraSyncMs, this::sync);
        }
    }

    /** One sync for all that waits. */
    private void sync() {
        if (isFull || simulator.nowMs() < hangsUntilMs) {
            machine.scheduleForIncarnation(Math.max(RETRY_MS, hangsUntilMs - simulator.nowMs()), this::sync);
            return;
        }
        List<PendingWrite> batch = new ArrayList<>(pendingWrites);
        pendingWrites.clear();
        pendingSinceMs = -1;
        batch.forEach(pending -> pending.write.run());
        machine.runWhenThawed(() -> batch.forEach(pending -> {
            hasAcknowledged = true;
            pending.onDurable.run();
        }));
    }

    private void write(Change change) {
        List<LogEntry> entries = new ArrayList<>(held.entries());
        if (change.truncateFrom() > 0) {
            entries.removeIf(entry -> entry.index() >= change.truncateFrom());
        }
        Snapshot snapshot = held.snapshot();
        if (change.snapshot() != null) {
            snapshot = change.snapshot();
            entries.removeIf(entry -> entry.index() <= change.snapshot().index());
        }
        entries.addAll(change.appendedEntries());
        PersistentState before = held;
        held = new PersistentState(
                held.incarnation(), change.currentTerm(), change.votedFor(), change.commitIndex(), snapshot, entries);
        if (simulator.observer != null) {
            simulator.observer.onWritten(machine, change, before, held);
        }
    }

    @Override
    public long pendingSinceMs() {
        return pendingSinceMs;
    }

    @Override
    public boolean isFailing() {
        return isFull && !pendingWrites.isEmpty();
    }
}
