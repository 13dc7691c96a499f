package bramblespool.state;

import com.google.gson.Gson;
import java.io.IOException;
import java.nio.file.Path;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

/** The vault on SQLite: one disk thread does every write and sync and posts the results back to the loop. */
public final class SqliteDurableStore implements DurableStore, AutoCloseable {
    /** A failed write is tried again after this long; a full disk is emptied by somebody else, not by haste. */
    private static final long RETRY_MS = 150;

    /** How long an ending process waits for a write under way; the disk keeps all that was acknowledged anyway. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    /** A change of the log, or words on registers, or the removal of words up to one. */
    private record WriteTask(
            Change change, List<StoredRegister> registers, long firstSequence, long expireUpTo, Runnable onDurable) {}

    final SqliteDatabaseFiles files;
    private final java.util.concurrent.Executor eventLoop;
    private final LongSupplier clockMs;
    private final EventLog log;
    private final Runnable onDamaged;
    private final Runnable retryPause;
    private final ManyToOneConcurrentLinkedQueue<WriteTask> tasks = new ManyToOneConcurrentLinkedQueue<>();
    private final ArrayDeque<Long> pendingSince = new ArrayDeque<>();
    private final Thread diskThread;
    private volatile boolean isClosed;
    private volatile boolean isDamaged;
    private boolean isFailing;
    private boolean hasChanged;
    private String incarnation;
    /** The number of the last word handed to the disk, and what it was at the last calls of {@code fade}. */
    private long lastSequence;

    private final ArrayDeque<Long> periodSequences = new ArrayDeque<>();
    private static final Gson GSON = new Gson();

    public SqliteDurableStore(
            String directory, java.util.concurrent.Executor eventLoop, LongSupplier clockMs, EventLog log) {
        this(directory, eventLoop, clockMs, log, () -> {});
    }

    /** {@code broken}: called on the loop once the database was found damaged, and is out of use for good. */
    public SqliteDurableStore(
            String directory,
            java.util.concurrent.Executor eventLoop,
            LongSupplier clockMs,
            EventLog log,
            Runnable onDamaged) {
        this(
                new SyncedDirectory(Path.of(directory)),
                eventLoop,
                clockMs,
                log,
                onDamaged,
                () -> LockSupport.parkNanos(RETRY_MS * 1_000_000));
    }

    SqliteDurableStore(
            SyncedDirectory directory,
            java.util.concurrent.Executor eventLoop,
            LongSupplier clockMs,
            EventLog log,
            Runnable onDamaged,
            Runnable retryPause) {
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
        this.log = log;
        this.onDamaged = onDamaged;
        this.retryPause = retryPause;
        files = new SqliteDatabaseFiles(directory, log);
        retryUntilDone(() -> {
            files.open();
            return null;
        });
        lastSequence = files.newestSequence;
        diskThread = new Thread(null, this::runDiskThread, "disk", 256 << 10);
        diskThread.setDaemon(true);
        diskThread.start();
    }

    private interface Attempt<T> {
        T run() throws SQLException, IOException;
    }

    /** A disk that cannot be read or written now is not a lost one: a start waits for it. */
    private <T> T retryUntilDone(Attempt<T> attempt) {
        for (boolean isLogged = false; ; isLogged = true) {
            try {
                T result = attempt.run();
                if (isLogged) {
                    log.log(EventLog.Event.DISK_RECOVERED);
                }
                return result;
            } catch (SQLException | IOException e) {
                if (!isLogged) {
                    log.log(EventLog.Event.DISK_FAILED, "error", e);
                }
                if (Thread.currentThread().isInterrupted()) {
                    throw new IllegalStateException(e);
                }
                retryPause.run();
            }
        }
    }

    @Override
    public PersistentState load() {
        return unchangedFiles().persistentState;
    }

    /** The store as it was opened: what it has read is let go with the first change. */
    private SqliteDatabaseFiles unchangedFiles() {
        if (hasChanged) {
            throw new IllegalStateException("the disk has changed since");
        }
        return files;
    }

    @Override
    public boolean hasQuarantinedDatabase() {
        return retryUntilDone(files::hasQuarantinedDatabase);
    }

    @Override
    public void initialize(String incarnation, List<LogEntry> initialEntries) {
        if (files.connection != null) {
            throw new IllegalStateException("the disk is not empty");
        }
        retryUntilDone(() -> {
            files.initialize(incarnation, initialEntries);
            return null;
        });
    }

    @Override
    public void save(Change change, Runnable onDurable) {
        enqueue(new WriteTask(change, List.of(), 0, 0, onDurable));
    }

    private void enqueue(WriteTask task) {
        if (!hasChanged) {
            incarnation = files.persistentState.incarnation();
            files.persistentState = null;
            files.registers = null;
            hasChanged = true;
        }
        pendingSince.add(clockMs.getAsLong());
        tasks.offer(task);
        LockSupport.unpark(diskThread);
    }

    @Override
    public void saveRegisters(List<StoredRegister> registers, Runnable onDurable) {
        enqueue(new WriteTask(null, List.copyOf(registers), lastSequence + 1, 0, onDurable));
        lastSequence += registers.size();
    }

    @Override
    public List<StoredRegister> loadRegisters() {
        return unchangedFiles().registers;
    }

    @Override
    public void expireRegisters(int retainedPeriods) {
        periodSequences.add(lastSequence);
        if (periodSequences.size() > retainedPeriods) {
            enqueue(new WriteTask(null, List.of(), 0, periodSequences.poll(), () -> {}));
        }
    }

    @Override
    public long pendingSinceMs() {
        return pendingSince.isEmpty() ? -1 : pendingSince.peek();
    }

    @Override
    public boolean isFailing() {
        return isFailing;
    }

    private void runDiskThread() {
        List<WriteTask> batch = new ArrayList<>();
        while (!isClosed) {
            WriteTask task = tasks.poll();
            if (task == null) {
                LockSupport.park(this);
                continue;
            }
            batch.clear();
            while (task != null) {
                batch.add(task);
                task = tasks.poll();
            }
            List<WriteTask> currentBatch = List.copyOf(batch);
            while (!isClosed) {
                try {
                    if (currentBatch.stream()
                            .anyMatch(queued ->
                                    queued.change != null || !queued.registers.isEmpty() || queued.expireUpTo > 0)) {
                        writeBatch(currentBatch);
                    }
                    eventLoop.execute(() -> onBatchDone(currentBatch));
                    break;
                } catch (SQLException e) {
                    eventLoop.execute(() -> onFailure(e));
                    if (SqliteDatabaseFiles.isUnusable(e)) {
                        quarantine(e);
                        return;
                    }
                    retryPause.run();
                }
            }
        }
    }

    /**
     * The database is damaged, and what it holds is in doubt. It is moved out of the way now, so that no later start
     * takes it for whole; nothing is acknowledged any more. It stays open, for closing it would write to it.
     */
    private void quarantine(SQLException cause) {
        isDamaged = true;
        while (!isClosed) {
            try {
                files.quarantine(cause.getMessage());
                eventLoop.execute(onDamaged);
                return;
            } catch (IOException e) {
                eventLoop.execute(() -> onFailure(e));
                retryPause.run();
            }
        }
    }

    private void onBatchDone(List<WriteTask> finishedTasks) {
        if (isFailing) {
            isFailing = false;
            log.log(EventLog.Event.DISK_RECOVERED);
        }
        for (WriteTask task : finishedTasks) {
            pendingSince.poll();
            task.onDurable.run();
        }
    }

    private void onFailure(Exception failure) {
        if (!isFailing) {
            log.log(EventLog.Event.DISK_FAILED, "error", failure.getMessage());
        }
        isFailing = true;
    }

    /**
     * One transaction for the batch. It is begun and ended in words: after some errors, a full disk among them, SQLite
     * has rolled back by itself, and the driver's own book-keeping would take the next writes for a transaction that
     * is no longer there.
     */
    private void writeBatch(List<WriteTask> batch) throws SQLException {
        try (Statement statement = files.connection.createStatement()) {
            statement.execute("BEGIN");
            try {
                writeTasks(batch);
                statement.execute("COMMIT");
            } catch (SQLException e) {
                SqliteDatabaseFiles.rollBack(statement, e);
                throw e;
            }
        }
    }

    private void writeTasks(List<WriteTask> batch) throws SQLException {
        // Statements are made only where they are needed: making one costs more than running it.
        if (batch.stream().anyMatch(task -> task.change != null)) {
            writeLogChanges(batch);
        }
        if (batch.stream().anyMatch(task -> !task.registers.isEmpty())) {
            try (PreparedStatement registerInsert =
                    files.connection.prepareStatement("INSERT OR REPLACE INTO register VALUES(?,?,?,?,?,?)")) {
                for (WriteTask task : batch) {
                    long sequence = task.firstSequence;
                    for (StoredRegister register : task.registers) {
                        registerInsert.setLong(1, sequence);
                        registerInsert.setString(2, register.registerId());
                        registerInsert.setString(3, register.promisedProposal());
                        registerInsert.setString(4, register.acceptedProposal());
                        registerInsert.setString(5, register.acceptedValue());
                        registerInsert.setLong(
                                6,
                                SqliteDatabaseFiles.checksum(
                                        sequence++,
                                        register.registerId(),
                                        register.promisedProposal(),
                                        register.acceptedProposal(),
                                        register.acceptedValue()));
                        registerInsert.executeUpdate();
                    }
                }
            }
        }
        for (WriteTask task : batch) {
            if (task.expireUpTo > 0) {
                try (PreparedStatement expiryDeletion =
                        files.connection.prepareStatement("DELETE FROM register WHERE seq<=? AND id<>''")) {
                    expiryDeletion.setLong(1, task.expireUpTo);
                    expiryDeletion.executeUpdate();
                }
            }
        }
    }

    private void writeLogChanges(List<WriteTask> batch) throws SQLException {
        try (PreparedStatement selfUpdate =
                        files.connection.prepareStatement("UPDATE self SET term=?, vote=?, agreed=?, sum=?");
                PreparedStatement logTruncation = files.connection.prepareStatement("DELETE FROM log WHERE idx>=?");
                PreparedStatement logPrefixDeletion =
                        files.connection.prepareStatement("DELETE FROM log WHERE idx<=?");
                PreparedStatement entryInsert =
                        files.connection.prepareStatement("INSERT OR REPLACE INTO log VALUES(?,?,?,?)");
                PreparedStatement snapshotInsert =
                        files.connection.prepareStatement("INSERT OR REPLACE INTO snapshot VALUES(1,?,?,?,?,?)")) {
            for (WriteTask task : batch) {
                Change change = task.change;
                if (change == null) {
                    continue;
                }
                selfUpdate.setLong(1, change.currentTerm());
                selfUpdate.setString(2, change.votedFor());
                selfUpdate.setLong(3, change.commitIndex());
                selfUpdate.setLong(
                        4,
                        SqliteDatabaseFiles.checksum(
                                1, incarnation, change.currentTerm(), change.votedFor(), change.commitIndex()));
                selfUpdate.executeUpdate();
                if (change.truncateFrom() > 0) {
                    logTruncation.setLong(1, change.truncateFrom());
                    logTruncation.executeUpdate();
                }
                if (change.snapshot() != null) {
                    snapshotInsert.setLong(1, change.snapshot().index());
                    snapshotInsert.setLong(2, change.snapshot().term());
                    String voters = GSON.toJson(change.snapshot().voters());
                    snapshotInsert.setString(3, voters);
                    snapshotInsert.setString(4, change.snapshot().data());
                    snapshotInsert.setLong(
                            5,
                            SqliteDatabaseFiles.checksum(
                                    1,
                                    change.snapshot().index(),
                                    change.snapshot().term(),
                                    voters,
                                    change.snapshot().data()));
                    snapshotInsert.executeUpdate();
                    logPrefixDeletion.setLong(1, change.snapshot().index());
                    logPrefixDeletion.executeUpdate();
                }
                for (LogEntry entry : change.appendedEntries()) {
                    SqliteDatabaseFiles.insertEntry(entryInsert, entry);
                }
            }
        }
    }

    @Override
    public void close() {
        isClosed = true;
        LockSupport.unpark(diskThread);
        try {
            diskThread.join(CLOSE_TIMEOUT_MS);
            if (!diskThread.isAlive() && !isDamaged) {
                files.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
