package bramblespool.raft;

import bramblespool.state.DurableStore;
import bramblespool.state.EventLog;
import bramblespool.state.VoterSet;
import bramblespool.testing.FakeClock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/** A fake clock, a disk that keeps what it is given until told to, and the parts that unit tests begin with. */
final class RaftTestContext implements DurableStore {
    static final RaftTimeouts TIMEOUTS = new RaftTimeouts(1000, 250, 600, 3000);

    final FakeClock clock = FakeClock.startingAt(100_000);
    private final List<Runnable> pendingWrites = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();

    final RaftContext context = new RaftContext("a:1#0", "a:2", 2, clock, TIMEOUTS, EventLog.silent());
    final RaftLog raftLog;
    final QuorumState quorum;
    final RaftStorage storage;

    /** A member {@code a:1#0} with a log that begins with these voters. */
    RaftTestContext(String... voters) {
        PersistentState state = new PersistentState(
                "0",
                0,
                null,
                0,
                null,
                List.of(new LogEntry(1, 0, LogEntryCodec.encodeVoters(VoterSet.decode(Arrays.asList(voters))))));
        raftLog = new RaftLog(state);
        quorum = new QuorumState(context, state);
        storage = new RaftStorage(this, context, quorum, raftLog);
    }

    /** All that was written reaches the disk. */
    void completeWrites() {
        List<Runnable> writes = List.copyOf(pendingWrites);
        pendingWrites.clear();
        writes.forEach(Runnable::run);
    }

    LeaderState becomeLeader() {
        quorum.becomeCandidate();
        return quorum.becomeLeader();
    }

    static RaftRequest.LeaderHeader header(String leaderId, long term, long sequence, long answeredSequence) {
        return new RaftRequest.LeaderHeader(
                new RaftRequest.Identity("a:1#0", leaderId, term),
                "b:2",
                sequence,
                answeredSequence,
                true,
                OptionalLong.empty(),
                false);
    }

    @Override
    public void save(Change change, Runnable onDurable) {
        changes.add(change);
        pendingWrites.add(onDurable);
    }

    @Override
    public long pendingSinceMs() {
        return pendingWrites.isEmpty() ? -1 : clock.nowMs();
    }

    @Override
    public boolean isFailing() {
        return false;
    }

    @Override
    public boolean isEmpty() {
        return true;
    }

    @Override
    public PersistentState load() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void initialize(String incarnation, List<LogEntry> initialEntries) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void saveRegisters(List<StoredRegister> registers, Runnable onDurable) {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<StoredRegister> loadRegisters() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void expireRegisters(int retainedPeriods) {
        throw new UnsupportedOperationException();
    }
}
