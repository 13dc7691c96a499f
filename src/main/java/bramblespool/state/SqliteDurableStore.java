package bramblespool.state;

import bramblespool.state.SqliteStoreWriter.LogWrite;
import bramblespool.state.SqliteStoreWriter.RegisterExpiry;
import bramblespool.state.SqliteStoreWriter.RegisterWrite;
import bramblespool.state.SqliteStoreWriter.Write;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

/**
 * The durable store on SQLite. All that is waiting is written in one transaction, and synced once.
 *
 * <p>Threads: the constructor opens the database on the calling thread, which waits as long as the disk doesn't work.
 * All other public methods are confined to the event loop. From the first write on the database belongs to the disk
 * thread, which posts what came of a write to the event loop; the two share the queue of tasks and the volatile fields
 * only.
 */
public final class SqliteDurableStore implements DurableStore, AutoCloseable {
    /** A failed write is tried again after this time: a full disk is not emptied any sooner by haste. */
    private static final long RETRY_MS = 150;

    private static final long NANOS_PER_MS = 1_000_000;

    /** How long an ending process waits for a write under way: what was acknowledged is on the disk anyway. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    private static final int DISK_THREAD_STACK_BYTES = 256 << 10;

    /** Something to be written, or null where only its turn counts, and what is to run on the event loop after it. */
    private record Task(Write write, Runnable onDurable) {}

    private final SqliteDatabaseFiles files;
    private final Executor eventLoop;
    private final LongSupplier clockMs;
    private final EventLog log;
    private final Runnable onDamaged;
    private final Runnable retryPause;
    private final ManyToOneConcurrentLinkedQueue<Task> tasks = new ManyToOneConcurrentLinkedQueue<>();
    private final Thread diskThread;
    private volatile boolean isClosed;
    private volatile boolean isDamaged;

    // ---- confined to the event loop

    /** When each unfinished task was handed over, the oldest first. */
    private final ArrayDeque<Long> pendingSince = new ArrayDeque<>();

    private boolean isFailing;
    private boolean hasChanged;
    private String incarnation;
    /** The number of the last register handed over. */
    private long lastSequence;
    /** The periods that {@link #expireRegisters} ends. */
    private final SequencePeriods periods = new SequencePeriods();

    /** A store without a callback for a damaged database. */
    public SqliteDurableStore(String directory, Executor eventLoop, LongSupplier clockMs, EventLog log) {
        this(directory, eventLoop, clockMs, log, () -> {});
    }

    /**
     * Opens the store, and waits as long as its disk doesn't work.
     *
     * @param directory an existing directory that nothing else uses
     * @param eventLoop runs the callbacks
     * @param clockMs the event loop's time
     * @param onDamaged called on the event loop once the database was found damaged; it is out of use from then on
     */
    public SqliteDurableStore(
            String directory, Executor eventLoop, LongSupplier clockMs, EventLog log, Runnable onDamaged) {
        this(
                new SyncedDirectory(Path.of(directory)),
                eventLoop,
                clockMs,
                log,
                onDamaged,
                () -> LockSupport.parkNanos(RETRY_MS * NANOS_PER_MS));
    }

    SqliteDurableStore(
            SyncedDirectory directory,
            Executor eventLoop,
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
        lastSequence = isEmpty() ? 0 : files.contents().newestSequence();
        diskThread = new Thread(null, this::runDiskThread, "disk", DISK_THREAD_STACK_BYTES);
        diskThread.setDaemon(true);
        diskThread.start();
    }

    private interface Attempt<T> {
        T run() throws StoreUnavailableException;
    }

    /** A disk that cannot be read or written now is not a lost one: a start waits for it. */
    private <T> T retryUntilDone(Attempt<T> attempt) {
        boolean isLogged = false;
        while (true) {
            try {
                T result = attempt.run();
                if (isLogged) {
                    log.log(EventLog.Event.DISK_RECOVERED);
                }
                return result;
            } catch (StoreUnavailableException e) {
                if (!isLogged) {
                    log.log(EventLog.Event.DISK_FAILED, "error", e.getCause());
                    isLogged = true;
                }
                if (Thread.currentThread().isInterrupted()) {
                    throw new IllegalStateException(e);
                }
                retryPause.run();
            }
        }
    }

    /** The files, for tests that look into the database or break it. */
    SqliteDatabaseFiles files() {
        return files;
    }

    @Override
    public boolean isEmpty() {
        return files.connection() == null;
    }

    @Override
    public PersistentState load() {
        checkUnchanged();
        if (isEmpty()) {
            throw new IllegalStateException("the disk is empty");
        }
        return files.contents().persistentState();
    }

    @Override
    public List<StoredRegister> loadRegisters() {
        checkUnchanged();
        return isEmpty() ? List.of() : files.contents().registers();
    }

    /** What was read when the store was opened is let go with the first write. */
    private void checkUnchanged() {
        if (hasChanged) {
            throw new IllegalStateException("the disk has changed since");
        }
    }

    @Override
    public boolean hasQuarantinedDatabase() {
        return retryUntilDone(files::hasQuarantinedDatabase);
    }

    @Override
    public void initialize(String incarnation, List<LogEntry> initialEntries) {
        if (!isEmpty()) {
            throw new IllegalStateException("the disk is not empty");
        }
        retryUntilDone(() -> {
            files.initialize(incarnation, initialEntries);
            return null;
        });
    }

    @Override
    public void save(Change change, Runnable onDurable) {
        releaseContents();
        enqueue(new LogWrite(incarnation, change), onDurable);
    }

    @Override
    public void saveRegisters(List<StoredRegister> registers, Runnable onDurable) {
        releaseContents();
        enqueue(registers.isEmpty() ? null : new RegisterWrite(lastSequence + 1, List.copyOf(registers)), onDurable);
        lastSequence += registers.size();
    }

    @Override
    public void expireRegisters(int retainedPeriods) {
        periods.end(lastSequence, retainedPeriods).ifPresent(expiredSequence -> {
            releaseContents();
            enqueue(expiredSequence == 0 ? null : new RegisterExpiry(expiredSequence), () -> {});
        });
    }

    private void releaseContents() {
        if (!hasChanged) {
            incarnation = files.contents().persistentState().incarnation();
            files.releaseContents();
            hasChanged = true;
        }
    }

    private void enqueue(Write write, Runnable onDurable) {
        pendingSince.add(clockMs.getAsLong());
        tasks.offer(new Task(write, onDurable));
        LockSupport.unpark(diskThread);
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
        while (!isClosed && !isDamaged) {
            Task task = tasks.poll();
            if (task == null) {
                LockSupport.park(this);
                continue;
            }
            List<Task> batch = new ArrayList<>();
            while (task != null) {
                batch.add(task);
                task = tasks.poll();
            }
            writeUntilDurable(batch);
        }
    }

    /** Tries a batch again until it is durable, or the database is found damaged, or the store is closed. */
    private void writeUntilDurable(List<Task> batch) {
        List<Write> writes = new ArrayList<>(batch.size());
        for (Task task : batch) {
            if (task.write != null) {
                writes.add(task.write);
            }
        }
        while (!isClosed) {
            try {
                if (!writes.isEmpty()) {
                    new SqliteStoreWriter(files.connection()).write(writes);
                }
                eventLoop.execute(() -> onBatchDone(batch));
                return;
            } catch (StoreDamagedException e) {
                eventLoop.execute(() -> onFailure(e));
                quarantine(e);
                return;
            } catch (StoreUnavailableException e) {
                eventLoop.execute(() -> onFailure(e));
                retryPause.run();
            }
        }
    }

    /**
     * What the database holds is in doubt. It is moved out of the way now, so that no later start takes it for sound;
     * nothing is acknowledged any more. It stays open, for closing it would write to it.
     */
    private void quarantine(StoreDamagedException cause) {
        isDamaged = true;
        while (!isClosed) {
            try {
                files.quarantine(cause.getMessage());
                eventLoop.execute(onDamaged);
                return;
            } catch (StoreUnavailableException e) {
                eventLoop.execute(() -> onFailure(e));
                retryPause.run();
            }
        }
    }

    private void onBatchDone(List<Task> finishedTasks) {
        if (isFailing) {
            isFailing = false;
            log.log(EventLog.Event.DISK_RECOVERED);
        }
        for (Task task : finishedTasks) {
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

    /** Ends the disk thread; what it has not yet written is dropped, and was never acknowledged. */
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
