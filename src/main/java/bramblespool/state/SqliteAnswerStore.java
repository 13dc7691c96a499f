package bramblespool.state;

import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.sqlite.SQLiteErrorCode;

/**
 * Answers in a SQLite database of their own, beside that of the {@link SqliteDurableStore}, so that neither the size
 * nor the syncs nor a damage of this one concern the other. All that is waiting is written in one transaction. A
 * database that can't be used is removed and created anew: what it held is lost, and nothing else.
 *
 * <p>Threads: the public methods are confined to the event loop. The database belongs to a thread that starts with the
 * first call, so a controller without keyed requests has neither; the two share the queue of tasks and the volatile
 * field only.
 */
public final class SqliteAnswerStore implements AnswerStore, AutoCloseable {
    private static final String DATABASE = "answers.db";
    private static final String TEMPORARY = "answers.new";
    private static final List<String> FILES =
            List.of(DATABASE, DATABASE + "-wal", DATABASE + "-shm", TEMPORARY, TEMPORARY + "-journal");
    private static final int CHECKPOINT_PAGES = 512;
    private static final int PAGE_CACHE_KIB = 256;
    private static final int THREAD_STACK_BYTES = 256 << 10;
    private static final long CLOSE_TIMEOUT_MS = 200;

    private static final String CREATE_TABLE =
            "CREATE TABLE answer(seq INTEGER PRIMARY KEY, key INTEGER, register TEXT, claim TEXT, print INTEGER,"
                    + " expires INTEGER, response TEXT, holders TEXT, sum INTEGER)";
    private static final String CREATE_INDEX = "CREATE INDEX answer_key ON answer(key)";
    private static final String SELECT_NEWEST = "SELECT max(seq) FROM answer";
    private static final String INSERT = "INSERT INTO answer VALUES(?,?,?,?,?,?,?,?,?)";
    private static final String SELECT =
            "SELECT seq, register, claim, print, expires, response, holders, sum FROM answer"
                    + " WHERE key=? AND register=? AND claim=?";
    private static final String SELECT_PAGE =
            "SELECT seq, register, claim, print, expires, response, holders, sum FROM answer"
                    + " WHERE seq>? AND instr(' '||holders||' ', ' '||?||' ')>0 ORDER BY seq LIMIT ?";
    private static final String DELETE_UP_TO = "DELETE FROM answer WHERE seq<=?";

    /** Something for the database's thread to do. */
    private sealed interface Task {}

    private record Save(List<Answer> answers, Consumer<Boolean> callback) implements Task {}

    private record Find(String registerId, String claim, Consumer<Optional<Answer>> callback) implements Task {}

    private record ReadPage(String otherHolder, long afterSequence, int limit, Consumer<AnswerPage> callback)
            implements Task {}

    private record Expire(int retainedPeriods) implements Task {}

    private final SyncedDirectory directory;
    private final Executor eventLoop;
    private final EventLog log;
    private final ManyToOneConcurrentLinkedQueue<Task> tasks = new ManyToOneConcurrentLinkedQueue<>();
    private volatile boolean isClosed;
    /** Null until the first call; confined to the event loop. */
    private Thread thread;

    // ---- confined to the database's thread

    /** Null while the database isn't open. */
    private Connection connection;

    private long lastSequence;
    /** The periods that {@link #expire} ends. */
    private final SequencePeriods periods = new SequencePeriods();

    /**
     * Opens nothing yet.
     *
     * @param directory an existing directory
     * @param eventLoop runs the callbacks
     */
    public SqliteAnswerStore(String directory, Executor eventLoop, EventLog log) {
        this.directory = new SyncedDirectory(Path.of(directory));
        this.eventLoop = eventLoop;
        this.log = log;
    }

    @Override
    public void saveAnswers(List<Answer> answers, Consumer<Boolean> callback) {
        enqueue(new Save(List.copyOf(answers), callback));
    }

    @Override
    public void findAnswer(String registerId, String claim, Consumer<Optional<Answer>> callback) {
        enqueue(new Find(registerId, claim, callback));
    }

    @Override
    public void pageAnswers(String otherHolder, long afterSequence, int limit, Consumer<AnswerPage> callback) {
        enqueue(new ReadPage(otherHolder, afterSequence, limit, callback));
    }

    @Override
    public void expireAnswers(int retainedPeriods) {
        if (thread != null) {
            enqueue(new Expire(retainedPeriods));
        }
    }

    private void enqueue(Task task) {
        tasks.offer(task);
        if (thread == null) {
            thread = new Thread(null, this::run, "answers", THREAD_STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
        } else {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (!isClosed) {
            Task task = tasks.poll();
            if (task == null) {
                LockSupport.park(this);
                continue;
            }
            handleAll(task);
        }
        closeDatabase();
    }

    /** Handles a task and all that wait behind it, in their order; saves that follow each other are one transaction. */
    private void handleAll(Task first) {
        List<Save> saves = new ArrayList<>();
        for (Task task = first; task != null; task = tasks.poll()) {
            if (task instanceof Save save) {
                saves.add(save);
            } else {
                saveAll(saves);
                saves = new ArrayList<>();
                handle(task);
            }
        }
        saveAll(saves);
    }

    private void saveAll(List<Save> saves) {
        if (saves.isEmpty()) {
            return;
        }
        boolean isSaved;
        try {
            openDatabase();
            insert(saves);
            isSaved = true;
        } catch (SQLException | IOException e) {
            isSaved = false;
            onFailure(e);
        }
        boolean result = isSaved;
        eventLoop.execute(() -> saves.forEach(save -> save.callback.accept(result)));
    }

    private void insert(List<Save> saves) throws SQLException {
        try (Statement statement = connection.createStatement();
                SqliteTransaction transaction = SqliteTransaction.begin(statement);
                PreparedStatement insertion = connection.prepareStatement(INSERT)) {
            for (Save save : saves) {
                for (Answer answer : save.answers) {
                    insert(insertion, answer);
                }
            }
            transaction.commit();
        }
    }

    private void insert(PreparedStatement insertion, Answer answer) throws SQLException {
        lastSequence++;
        insertion.setLong(1, lastSequence);
        insertion.setLong(2, keyOf(answer.registerId(), answer.claim()));
        insertion.setString(3, answer.registerId());
        insertion.setString(4, answer.claim());
        insertion.setLong(5, answer.fingerprint());
        insertion.setLong(6, answer.expiresAtMs());
        insertion.setString(7, answer.response());
        insertion.setString(8, answer.otherHolders());
        insertion.setLong(9, checksum(lastSequence, answer));
        insertion.executeUpdate();
    }

    private static long checksum(long sequence, Answer answer) {
        return StoreSchema.checksum(
                sequence,
                answer.registerId(),
                answer.claim(),
                answer.fingerprint(),
                answer.expiresAtMs(),
                answer.response(),
                answer.otherHolders());
    }

    /** What the index is over: short, and nearly always another one for another answer. */
    private static long keyOf(String registerId, String claim) {
        return (long) registerId.hashCode() << Integer.SIZE | claim.hashCode() & 0xffffffffL;
    }

    private void handle(Task task) {
        if (task instanceof Find find) {
            Optional<Answer> found = find(find);
            eventLoop.execute(() -> find.callback.accept(found));
        } else if (task instanceof ReadPage request) {
            AnswerPage page = readPage(request);
            eventLoop.execute(() -> request.callback.accept(page));
        } else if (task instanceof Expire expire) {
            expire(expire.retainedPeriods);
        }
    }

    private Optional<Answer> find(Find find) {
        try {
            return openExisting() ? select(find.registerId, find.claim) : Optional.empty();
        } catch (SQLException | IOException e) {
            onFailure(e);
            return Optional.empty();
        }
    }

    private Optional<Answer> select(String registerId, String claim) throws SQLException {
        try (PreparedStatement selection = connection.prepareStatement(SELECT)) {
            selection.setLong(1, keyOf(registerId, claim));
            selection.setString(2, registerId);
            selection.setString(3, claim);
            try (ResultSet row = selection.executeQuery()) {
                return row.next() ? readRow(row) : Optional.empty();
            }
        }
    }

    /** The answer of a row; none where the row is not as it was written. */
    private static Optional<Answer> readRow(ResultSet row) throws SQLException {
        Answer answer = new Answer(
                row.getString(2), row.getString(3), row.getLong(4), row.getLong(5), row.getString(6), row.getString(7));
        return row.getLong(8) == checksum(row.getLong(1), answer) ? Optional.of(answer) : Optional.empty();
    }

    private AnswerPage readPage(ReadPage request) {
        try {
            if (!openExisting()) {
                return AnswerPage.NONE;
            }
            return selectPage(request);
        } catch (SQLException | IOException e) {
            onFailure(e);
            return AnswerPage.NONE;
        }
    }

    private AnswerPage selectPage(ReadPage request) throws SQLException {
        List<Answer> answers = new ArrayList<>();
        long sequence = request.afterSequence;
        int rows = 0;
        try (PreparedStatement selection = connection.prepareStatement(SELECT_PAGE)) {
            selection.setLong(1, request.afterSequence);
            selection.setString(2, request.otherHolder);
            selection.setInt(3, request.limit);
            try (ResultSet row = selection.executeQuery()) {
                while (row.next()) {
                    rows++;
                    sequence = row.getLong(1);
                    readRow(row).ifPresent(answers::add);
                }
            }
        }
        return new AnswerPage(answers, sequence, rows == request.limit);
    }

    /** Opens the database if there is one; nothing is created to find nothing in it. */
    private boolean openExisting() throws SQLException, IOException {
        if (connection == null && !directory.contains(DATABASE)) {
            return false;
        }
        openDatabase();
        return true;
    }

    private void expire(int retainedPeriods) {
        long expiredSequence = periods.end(lastSequence, retainedPeriods).orElse(0);
        if (expiredSequence == 0 || connection == null) {
            return;
        }
        try (PreparedStatement deletion = connection.prepareStatement(DELETE_UP_TO)) {
            deletion.setLong(1, expiredSequence);
            deletion.executeUpdate();
        } catch (SQLException e) {
            onFailure(e);
        }
    }

    private void openDatabase() throws SQLException, IOException {
        if (connection != null) {
            return;
        }
        if (!directory.contains(DATABASE)) {
            removeFiles();
            SqliteConnections.create(directory, TEMPORARY, DATABASE, (newConnection, statement) -> {
                statement.execute(CREATE_TABLE);
                statement.execute(CREATE_INDEX);
            });
        }
        directory.createIfAbsent(DATABASE + "-wal");
        directory.sync();
        connection = SqliteConnections.connect(directory, DATABASE);
        try (Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA cache_size=-" + PAGE_CACHE_KIB);
            SqliteConnections.enableDurability(statement, CHECKPOINT_PAGES);
            try (ResultSet row = statement.executeQuery(SELECT_NEWEST)) {
                lastSequence = row.next() ? row.getLong(1) : 0;
            }
        }
    }

    /** After any failure the database is opened anew; one that can't be used is removed first. */
    private void onFailure(Exception failure) {
        report(failure);
        closeDatabase();
        if (failure instanceof SQLException e && isUnusable(e)) {
            try {
                removeFiles();
            } catch (IOException again) {
                report(again);
            }
        }
    }

    /** A plain error means other tables than ours. */
    private static boolean isUnusable(SQLException failure) {
        return StoreDamagedException.isDamage(failure) || failure.getErrorCode() == SQLiteErrorCode.SQLITE_ERROR.code;
    }

    private void report(Exception failure) {
        String cause = String.valueOf(failure.getMessage());
        eventLoop.execute(() -> log.logOnChange(EventLog.Event.ANSWER_STORE_FAILED, cause, "error", cause));
    }

    private void removeFiles() throws IOException {
        for (String file : FILES) {
            directory.remove(file);
        }
        directory.sync();
    }

    private void closeDatabase() {
        if (connection != null) {
            try {
                connection.close();
            } catch (SQLException e) {
                report(e);
            }
            connection = null;
        }
    }

    /** Ends the database's thread; what it has not yet written is dropped, and was never acknowledged. */
    @Override
    public void close() {
        isClosed = true;
        if (thread != null) {
            LockSupport.unpark(thread);
            try {
                thread.join(CLOSE_TIMEOUT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
