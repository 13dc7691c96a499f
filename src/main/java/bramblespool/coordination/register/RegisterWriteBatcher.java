package bramblespool.coordination.register;

import bramblespool.state.DurableStore;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.transport.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Group commit for an acceptor: changes that come within a short time go to the durable store as one write, for each
 * sync costs a small controller as much as a message. Confined to the event loop.
 */
final class RegisterWriteBatcher {
    /** What waits for one write; of each register the newest state only. */
    private static final class Batch {
        private final Map<String, StoredRegister> registers = new LinkedHashMap<>();
        private final List<Runnable> callbacks = new ArrayList<>();
    }

    private final DurableStore durableStore;
    private final Clock clock;
    private final long delayMs;
    /** The batch that is being gathered; null between two. */
    private Batch openBatch;

    RegisterWriteBatcher(DurableStore durableStore, Clock clock, long delayMs) {
        this.durableStore = durableStore;
        this.clock = clock;
        this.delayMs = delayMs;
    }

    /** Adds a register's new state to the next write. */
    void save(StoredRegister register) {
        openBatch().registers.put(register.registerId(), register);
    }

    /** Runs the callback once all that was saved before this call is durable. */
    void whenDurable(Runnable callback) {
        openBatch().callbacks.add(callback);
    }

    private Batch openBatch() {
        if (openBatch == null) {
            openBatch = new Batch();
            clock.schedule(delayMs, this::write);
        }
        return openBatch;
    }

    private void write() {
        Batch batch = openBatch;
        openBatch = null;
        durableStore.saveRegisters(
                new ArrayList<>(batch.registers.values()), () -> batch.callbacks.forEach(Runnable::run));
    }
}
