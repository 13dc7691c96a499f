package bramblespool.coordination.controller;

import bramblespool.coordination.register.RegisterService;
import bramblespool.coordination.register.RegisterTimings;
import bramblespool.coordination.register.RegisterVoters;
import bramblespool.coordination.tenancy.IdempotencyTable;
import bramblespool.coordination.tenancy.LeaseTimings;
import bramblespool.coordination.tenancy.ShardLeases;
import bramblespool.coordination.time.ClockSynchronizer;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.raft.RaftNode;
import bramblespool.raft.RaftOptions;
import bramblespool.raft.RaftTimeouts;
import bramblespool.state.DurableStore;
import bramblespool.state.ReplicatedState;
import bramblespool.state.Settings;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This controller's member of the group of controllers: consensus with the state it replicates, registers, and the
 * leases of tenants' shards that rest on registers. Confined to the event loop.
 */
final class GroupMember {
    /** Ratio to {@code apply} of the time for which messages to another voter's registers are gathered. */
    private static final int REGISTER_BATCH_DIVISOR = 150;

    private final ReplicatedState replicatedState;
    private final ClusterClock clusterClock;
    private final boolean isUsageReported;
    private final ClockSynchronizer clockSynchronizer;
    private final RegisterService registers;
    private final ShardLeases shardLeases;
    private final RaftNode raft;

    /**
     * @param replicatedState empty; it is restored from the store
     * @param onStateChanged runs after the replicated state has changed
     * @param onLeadershipChanged takes whether this member leads
     */
    GroupMember(
            ControllerContext context,
            StoredIdentity identity,
            DurableStore durableStore,
            ReplicatedState replicatedState,
            Runnable onStateChanged,
            Consumer<Boolean> onLeadershipChanged) {
        this.replicatedState = replicatedState;
        this.clusterClock = new ClusterClock(context.clock());
        this.isUsageReported = context.local().settings().usageReporting() != null;
        this.clockSynchronizer = newClockSynchronizer(context);
        this.registers = newRegisters(context, identity, durableStore);
        this.shardLeases = newShardLeases(context, identity);
        ReplicatedStateMachine stateMachine = new ReplicatedStateMachine(
                replicatedState, registers, shardLeases, context.clock(), onStateChanged, onLeadershipChanged);
        this.raft = newRaftNode(context, identity, durableStore, stateMachine);
    }

    private ClockSynchronizer newClockSynchronizer(ControllerContext context) {
        return new ClockSynchronizer(
                clusterClock,
                context.clock(),
                context.transport(),
                context.local().peerAddress(),
                this::voterAddresses,
                this::isTimeNeeded,
                new ClockSynchronizer.Timings(
                        context.callTimeoutMs(),
                        context.local().settings().bounds().quietPeriodMs()));
    }

    private boolean isTimeNeeded() {
        return isUsageReported || registers.registerCount() > 0;
    }

    private Set<String> voterAddresses() {
        Set<String> addresses = new LinkedHashSet<>();
        for (String voter : replicatedState.voterSinceIndexes().keySet()) {
            addresses.add(RaftNode.addressOf(voter));
        }
        return addresses;
    }

    private RegisterService newRegisters(
            ControllerContext context, StoredIdentity identity, DurableStore durableStore) {
        Settings settings = context.local().settings();
        RegisterTimings timings = new RegisterTimings(
                settings.bounds().applyMs() / REGISTER_BATCH_DIVISOR,
                context.callTimeoutMs() / 2,
                registerRetentionMs(settings));
        return new RegisterService(
                new RegisterVoters(replicatedState, identity.memberId(), settings.tolerableMachineLosses() + 1),
                durableStore,
                context.clock(),
                clusterClock,
                context.transport(),
                timings,
                context.log());
    }

    private ShardLeases newShardLeases(ControllerContext context, StoredIdentity identity) {
        Settings settings = context.local().settings();
        return new ShardLeases(
                replicatedState,
                registers.proposer(),
                identity.memberId(),
                context.clock(),
                context.transport(),
                LeaseTimings.of(settings.bounds().quietPeriodMs(), registerRetentionMs(settings)),
                context.log());
    }

    private static long registerRetentionMs(Settings settings) {
        return IdempotencyTable.retentionMs(settings.bounds().idempotencyKeyWindowMs());
    }

    private static RaftNode newRaftNode(
            ControllerContext context,
            StoredIdentity identity,
            DurableStore durableStore,
            ReplicatedStateMachine stateMachine) {
        Settings settings = context.local().settings();
        Settings.Bounds bounds = settings.bounds();
        return new RaftNode(
                new RaftOptions(
                        identity.memberId(),
                        settings.controlAddress(),
                        Math.max(1, settings.seedPeers().size()),
                        settings.tolerableMachineLosses(),
                        RaftTimeouts.of(bounds.quietPeriodMs(), bounds.catchUpMs())),
                identity.state(),
                context.clock(),
                context.transport(),
                durableStore,
                stateMachine,
                context.log());
    }

    /** The replicated state, as far as this member has applied the log. */
    ReplicatedState replicatedState() {
        return replicatedState;
    }

    /** The time of day that the voters agree on. */
    ClusterClock clusterClock() {
        return clusterClock;
    }

    /** Keeps that time, and tells others this machine's. */
    ClockSynchronizer clockSynchronizer() {
        return clockSynchronizer;
    }

    RegisterService registers() {
        return registers;
    }

    ShardLeases shardLeases() {
        return shardLeases;
    }

    RaftNode raft() {
        return raft;
    }
}
