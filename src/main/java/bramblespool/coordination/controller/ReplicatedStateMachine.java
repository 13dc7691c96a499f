package bramblespool.coordination.controller;

import bramblespool.coordination.register.RegisterService;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.raft.StateMachine;
import bramblespool.state.ReplicatedEntryCodec;
import bramblespool.state.ReplicatedState;
import bramblespool.state.ReplicatedStateSnapshotCodec;
import bramblespool.transport.Clock;
import java.util.function.Consumer;

/**
 * Applies the replicated log to the replicated state, and lets the parts of the controller that follow it know of
 * changes. Confined to the event loop.
 */
final class ReplicatedStateMachine implements StateMachine {
    private final ReplicatedState replicatedState;
    private final RegisterService registers;
    private final ShardLeases shardLeases;
    private final Clock clock;
    private final Runnable onChanged;
    private final Consumer<Boolean> onLeadershipChanged;
    private boolean isNotificationScheduled;

    /**
     * @param onChanged runs after the state has changed, once for all the entries applied in one turn of the event loop
     * @param onLeadershipChanged takes whether this controller leads
     */
    ReplicatedStateMachine(
            ReplicatedState replicatedState,
            RegisterService registers,
            ShardLeases shardLeases,
            Clock clock,
            Runnable onChanged,
            Consumer<Boolean> onLeadershipChanged) {
        this.replicatedState = replicatedState;
        this.registers = registers;
        this.shardLeases = shardLeases;
        this.clock = clock;
        this.onChanged = onChanged;
        this.onLeadershipChanged = onLeadershipChanged;
    }

    @Override
    public void apply(long index, String entry) {
        long previousVotersChangedIndex = replicatedState.votersChangedIndex();
        replicatedState.apply(index, ReplicatedEntryCodec.decode(entry));
        scheduleNotification();
        if (replicatedState.votersChangedIndex() != previousVotersChangedIndex) {
            // The group changes no further until whoever is new has read the registers that the others hold.
            clock.execute(registers::sync);
            shardLeases.onVotersChanged();
        }
    }

    @Override
    public String snapshot() {
        return ReplicatedStateSnapshotCodec.encode(replicatedState.snapshot());
    }

    @Override
    public void restore(String snapshot) {
        replicatedState.restore(ReplicatedStateSnapshotCodec.decode(snapshot));
        shardLeases.onVotersChanged();
        scheduleNotification();
    }

    @Override
    public boolean isSynced() {
        return registers.isSynced();
    }

    @Override
    public void onLeadershipChanged(boolean isLeader) {
        onLeadershipChanged.accept(isLeader);
    }

    private void scheduleNotification() {
        if (isNotificationScheduled) {
            return;
        }
        isNotificationScheduled = true;
        clock.execute(() -> {
            isNotificationScheduled = false;
            onChanged.run();
        });
    }
}
