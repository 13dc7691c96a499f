package bramblespool.coordination.register;

import bramblespool.coordination.register.RegisterMessages.AcceptorReply;
import bramblespool.coordination.register.RegisterMessages.AcceptorRequest;
import bramblespool.coordination.time.ClusterClock;
import bramblespool.state.DurableStore;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.state.EventLog;
import bramblespool.state.ReplicatedEntry;
import bramblespool.state.ReplicatedState;
import bramblespool.state.VoterSet;
import bramblespool.testing.FakeClock;
import bramblespool.testing.FakeTransport;
import bramblespool.testing.FakeTransport.Call;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;

/** A founding voter of three with a clock, a transport and a durable store that do what the test says. */
final class RegisterTestContext {
    static final String SELF = "10.0.0.1:1#0";
    static final String SECOND = "10.0.0.2:1#0";
    static final String THIRD = "10.0.0.3:1#0";
    static final RegisterTimings TIMINGS = new RegisterTimings(4, 100, 6400);

    final FakeClock clock = new FakeClock();
    final ClusterClock clusterClock = new ClusterClock(clock);
    final FakeTransport transport = new FakeTransport();
    final FakeStore store = new FakeStore();
    final ReplicatedState replicatedState = new ReplicatedState();

    RegisterTestContext() {
        setVoters(1, SELF, SECOND, THIRD);
    }

    void setVoters(long epoch, String... ids) {
        replicatedState.apply(epoch, new ReplicatedEntry.VotersChanged(VoterSet.decode(List.of(ids))));
    }

    RegisterVoters voters() {
        return voters(SELF);
    }

    RegisterVoters voters(String self) {
        return new RegisterVoters(replicatedState, self, 2);
    }

    RegisterService service(String self) {
        return new RegisterService(voters(self), store, clock, clusterClock, transport, TIMINGS, EventLog.silent());
    }

    /** The voters agree on this machine's time of day. */
    void agreeOnTime() {
        clusterClock.adoptMedian(List.of(), 1);
    }

    /** The number of a proposal that began at this time. */
    static ProposalNumber numberAt(long timeMs, long round) {
        return new ProposalNumber(round, 1, SELF, timeMs);
    }

    /** A register for which {@link #SELF} may skip the prepare phase, or one for which it may not. */
    String registerId(boolean isPreferred) {
        for (int shard = 0; ; shard++) {
            if (voters().isSelfPreferredProposer(shard + "/k") == isPreferred) {
                return shard + "/k";
            }
        }
    }

    static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text.replace('\'', '"'));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** The requests in a message to an acceptor. */
    static List<AcceptorRequest> requests(Call call) {
        return RegisterCodec.decodeBatch(call.body()).requests();
    }

    /** Answers each request in a message to an acceptor. */
    static void reply(Call call, AcceptorReply... replies) {
        call.callback().accept(RegisterCodec.encodeReplies(requests(call), List.of(replies)));
    }

    /** Makes writes durable at once, or when the test says so. */
    static final class FakeStore implements DurableStore {
        final List<List<StoredRegister>> writes = new ArrayList<>();
        private final List<Runnable> pending = new ArrayList<>();
        boolean isSlow;

        void completeWrites() {
            List<Runnable> callbacks = List.copyOf(pending);
            pending.clear();
            callbacks.forEach(Runnable::run);
        }

        @Override
        public void saveRegisters(List<StoredRegister> registers, Runnable onDurable) {
            writes.add(registers);
            pending.add(onDurable);
            if (!isSlow) {
                completeWrites();
            }
        }

        @Override
        public boolean isEmpty() {
            return false;
        }

        @Override
        public List<StoredRegister> loadRegisters() {
            return writes.stream().flatMap(List::stream).toList();
        }

        @Override
        public void expireRegisters(int retainedPeriods) {}

        @Override
        public PersistentState load() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void initialize(String incarnation, List<LogEntry> initialEntries) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void save(Change change, Runnable onDurable) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long pendingSinceMs() {
            return -1;
        }

        @Override
        public boolean isFailing() {
            return false;
        }
    }
}
