package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.BatchRequest;
import bramblespool.coordination.register.RegisterMessages.PageRequest;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.DurableStore;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.state.EventLog;
import bramblespool.transport.Clock;
import bramblespool.transport.PeerTransport;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * A controller's part in the registers: rewritable single-value registers without a log, after CASPaxos (Rystsov,
 * "CASPaxos: Replicated State Machines without logs"). Wires the proposer, the acceptor and what stands between them,
 * and answers the other controllers' requests. Confined to the event loop.
 */
public final class RegisterService {
    /** Registers in one message to a new voter. */
    private static final int PAGE_SIZE = 1000;

    private final RegisterVoters voters;
    private final DurableStore durableStore;
    private final Clock clock;
    private final RegisterTimings timings;
    private final RegisterTable registers;
    private final RegisterAcceptor acceptor;
    private final RegisterSynchronizer synchronizer;
    private final RegisterProposer proposer;
    private final EpochAge epochAge;

    /** Loads the registers from the durable store, which has to be open and unchanged since. */
    public RegisterService(
            RegisterVoters voters,
            DurableStore durableStore,
            Clock clock,
            ClusterClock clusterClock,
            PeerTransport transport,
            RegisterTimings timings,
            EventLog log) {
        this.voters = voters;
        this.durableStore = durableStore;
        this.clock = clock;
        this.timings = timings;
        List<StoredRegister> storedRegisters = durableStore.loadRegisters();
        registers = new RegisterTable(clock, clusterClock, timings.retentionMs(), storedRegisters);
        clusterClock.onAgreed(registers::onTimeAgreed);
        acceptor = new RegisterAcceptor(
                voters, registers, new RegisterWriteBatcher(durableStore, clock, timings.writeDelayMs()));
        synchronizer = new RegisterSynchronizer(
                voters, registers, durableStore, storedRegisters, transport, timings.pageTimeoutMs(), log);
        AcceptorClient acceptors = new AcceptorClient(
                voters, acceptor, synchronizer, new AcceptorRequestBatcher(voters, transport, clock, timings), clock);
        epochAge = new EpochAge(voters, clock, timings.retentionMs());
        proposer = new RegisterProposer(
                new Proposal.Context(voters, registers, acceptors, clock, clusterClock, epochAge, timings));
    }

    /** Begins to remove registers whose retention time is over. */
    public void start() {
        clock.scheduleRepeatedly(
                timings.storeExpiryIntervalMs(),
                () -> durableStore.expireRegisters(timings.storeExpiryIntervalsRetained()));
        clock.scheduleRepeatedly(timings.memoryExpiryIntervalMs(), registers::expire);
    }

    /** Reads and changes registers. */
    public RegisterProposer proposer() {
        return proposer;
    }

    /** How many registers this voter holds. */
    public int registerCount() {
        return registers.size();
    }

    /** Whether this controller's acceptor takes part: it is a voter and holds all that the voters before it held. */
    public boolean isSynced() {
        return synchronizer.isSynced();
    }

    /**
     * Reads the registers of the other voters where this one is new. To be called now and then, and when voters change.
     */
    public void sync() {
        epochAge.update();
        synchronizer.sync();
    }

    /** Serves the registers' messages; false where the kind is another's, and then the callback is not called. */
    public boolean handleRequest(String kind, JsonNode json, Consumer<ObjectNode> callback) {
        switch (kind) {
            case RegisterCodec.BATCH_KIND -> handleBatch(RegisterCodec.decodeBatch(json), callback);
            case RegisterCodec.PAGE_KIND -> handlePageRequest(RegisterCodec.decodePageRequest(json), callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void handleBatch(BatchRequest batch, Consumer<ObjectNode> callback) {
        if (!takesPart(batch.to(), batch.votersEpoch())) {
            callback.accept(RegisterCodec.refusal());
            return;
        }
        acceptor.handleAll(
                batch.requests(), replies -> callback.accept(RegisterCodec.encodeReplies(batch.requests(), replies)));
    }

    private void handlePageRequest(PageRequest request, Consumer<ObjectNode> callback) {
        callback.accept(
                takesPart(request.to(), request.votersEpoch())
                        ? RegisterCodec.encode(registers.pageAfter(request.afterId(), PAGE_SIZE))
                        : RegisterCodec.refusal());
    }

    /** Under other voters than those in force here a quorum would be another one. */
    private boolean takesPart(String addressee, long votersEpoch) {
        return addressee.equals(voters.self()) && votersEpoch == voters.epoch() && isSynced();
    }
}
