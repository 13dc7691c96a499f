package bramblespool.state;

import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.sqlite.Function;
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/**
 * The files of a {@link SqliteDurableStore}: founding, checking and setting aside. A database stands under its name only once
 * it is whole and synced; one that is not whole is a lost disk and is moved out of the way, never repaired.
 */
final class SqliteDatabaseFiles {
    static final String DATABASE = "helm.db";
    static final String QUARANTINE_PREFIX = DATABASE + ".aside-";
    /** A database that is being founded: of no worth until it has its name. */
    private static final String TEMPORARY = "helm.new";

    private static final String WAL_SUFFIX = "-wal";
    /** What SQLite may put beside a database. */
    private static final List<String> COMPANION_SUFFIXES = List.of(WAL_SUFFIX, "-journal", "-shm");
    /** "brsp", SQLite's mark of whose a database is. */
    static final int APPLICATION_ID = 0x62727370;

    static final int FORMAT_VERSION = 1;
    /** Lost databases that are kept: disks are small. */
    static final int MAX_QUARANTINED = 2;
    /** Pages in the write-ahead log before SQLite moves them: keeps the file well under a megabyte. */
    private static final int CHECKPOINT_PAGES = 128;
    /** The tables and their columns; the last of each is the sum of those before. */
    private static final Map<String, String> TABLES = Map.of(
            "self", "id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT, agreed INTEGER",
            "log", "idx INTEGER PRIMARY KEY, term INTEGER, data TEXT",
            // Rows are only ever added at the end, and removed from the beginning: few pages to each write.
            "register", "seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT",
            "snapshot", "id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT");

    private static final Gson GSON = new Gson();

    /** What is on the disk cannot be the whole of what was written. */
    static final class UnusableDatabaseException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableDatabaseException(String reason) {
            super(reason, null, false, false);
        }
    }

    private final SyncedDirectory directory;
    private final EventLog log;
    /** Null while the disk is empty. */
    Connection connection;

    PersistentState persistentState;
    List<StoredRegister> registers = List.of();
    /** The newest number in {@code register}. */
    long newestSequence;

    SqliteDatabaseFiles(SyncedDirectory directory, EventLog log) {
        this.directory = directory;
        this.log = log;
    }

    /**
     * Whether what SQLite says means that the file is damaged or not ours. All else (no room, a read or write that
     * fails, a lock, a folder that is not there) passes, and the disk is as it was.
     */
    static boolean isUnusable(SQLException e) {
        if (!(e instanceof SQLiteException sqliteException)) {
            return false;
        }
        // A read that ends early, with no error of the disk's, says that the file is too short.
        return sqliteException.getResultCode() == SQLiteErrorCode.SQLITE_IOERR_SHORT_READ
                || switch (sqliteException.getResultCode().code & 0xff) {
                    case 11 /* CORRUPT */, 24 /* FORMAT */, 26 /* NOTADB */ -> true;
                    default -> false;
                };
    }

    /** Whether this disk has held a database that was lost. */
    boolean hasQuarantinedDatabase() throws IOException {
        return directory.names().stream().anyMatch(name -> name.startsWith(QUARANTINE_PREFIX));
    }

    /** Opens what there is. May be called again after a failure. */
    void open() throws SQLException, IOException {
        close();
        try {
            if (!directory.contains(DATABASE)) {
                if (directory.size(DATABASE + WAL_SUFFIX) > 0) {
                    throw new UnusableDatabaseException("a write-ahead log without its database");
                }
                return;
            }
            if (directory.size(DATABASE) == 0 && directory.size(DATABASE + WAL_SUFFIX) > 0) {
                // SQLite would throw the log away.
                throw new UnusableDatabaseException("an empty database with a write-ahead log");
            }
            // A killed process may have left writes that no sync has covered. They are read now, and told to others:
            // so they must last, and so must the name of the log, without which the database alone is an old one.
            // (The database itself is never ahead of its log: pages not yet synced there are still in the log.)
            directory.createIfAbsent(DATABASE + WAL_SUFFIX);
            if (directory.size(DATABASE + WAL_SUFFIX) > 0) {
                directory.sync(DATABASE + WAL_SUFFIX);
            }
            directory.sync();
            connection = connect(DATABASE);
            checkDatabase();
        } catch (UnusableDatabaseException e) {
            quarantine(e.getMessage());
            close();
        } catch (SQLException e) {
            // A plain error while reading means other tables than ours.
            if (!isUnusable(e) && e.getErrorCode() != SQLiteErrorCode.SQLITE_ERROR.code) {
                close();
                throw e;
            }
            quarantine(e.getMessage());
            close();
        }
    }

    private Connection connect(String name) throws SQLException {
        Connection newConnection = DriverManager.getConnection("jdbc:sqlite:" + directory.path.resolve(name));
        try (Statement statement = newConnection.createStatement()) {
            statement.execute("PRAGMA busy_timeout=0");
            statement.execute("PRAGMA locking_mode=EXCLUSIVE");
        } catch (SQLException e) {
            newConnection.close();
            throw e;
        }
        return newConnection;
    }

    /** From here on what a commit has returned for is on the disk: the log is synced before it, and before each checkpoint. */
    private static void enableDurability(Statement statement) throws SQLException {
        statement.execute("PRAGMA journal_mode=WAL");
        statement.execute("PRAGMA synchronous=FULL");
        statement.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
    }

    private void checkDatabase() throws SQLException, IOException, UnusableDatabaseException {
        try (Statement statement = connection.createStatement()) {
            // Reads the database already, unlike what is set when it is connected.
            statement.execute("PRAGMA cache_size=-512");
            long applicationId = queryNumber(statement, "PRAGMA application_id");
            long formatVersion = queryNumber(statement, "PRAGMA user_version");
            Set<String> tables = new TreeSet<>();
            try (ResultSet resultSet = statement.executeQuery("SELECT name FROM sqlite_schema WHERE type='table'")) {
                while (resultSet.next()) {
                    tables.add(resultSet.getString(1));
                }
            }
            boolean isUnmarked =
                    applicationId == 0 && formatVersion == 0 && TABLES.keySet().containsAll(tables);
            if (!isUnmarked && applicationId != APPLICATION_ID) {
                throw new UnusableDatabaseException("the database of another application");
            }
            if (formatVersion > FORMAT_VERSION) {
                throw new UnusableDatabaseException(
                        "format " + formatVersion + ", and only " + FORMAT_VERSION + " is known here");
            }
            if (isUnmarked && isUninitialized(statement, tables)) {
                // Before it is closed, for closing would remove the log without a sync.
                removeLeftovers();
                close();
                return;
            }
            if (!tables.equals(TABLES.keySet())) {
                throw new UnusableDatabaseException("tables are missing");
            }
            try (ResultSet resultSet = statement.executeQuery("PRAGMA quick_check(1)")) {
                expect(resultSet.next() && resultSet.getString(1).equals("ok"), resultSet.getString(1));
            }
            enableDurability(statement);
            if (isUnmarked) {
                upgradeUnmarked(statement);
            }
        }
        readAll();
    }

    /** Whether this is all that a founding of the unmarked form had come to; nothing was said on its strength. */
    private static boolean isUninitialized(Statement statement, Set<String> tables)
            throws SQLException, UnusableDatabaseException {
        if (tables.contains("self") && queryNumber(statement, "SELECT count(*) FROM self") > 0) {
            return false;
        }
        for (String table : tables) {
            if (queryNumber(statement, "SELECT count(*) FROM " + table) > 0) {
                throw new UnusableDatabaseException("no row of its own");
            }
        }
        return true;
    }

    /** Marks a database of the form that had neither sums nor marks. */
    private void upgradeUnmarked(Statement statement) throws SQLException {
        Function.create(connection, "summed", new Function() {
            @Override
            protected void xFunc() throws SQLException {
                Object[] fields = new Object[args()];
                for (int i = 0; i < fields.length; i++) {
                    fields[i] = value_text(i);
                }
                result(checksum(fields));
            }
        });
        statement.execute("BEGIN");
        try {
            for (String table : TABLES.keySet()) {
                statement.execute("ALTER TABLE " + table + " ADD COLUMN sum INTEGER");
                statement.execute("UPDATE " + table + " SET sum=summed("
                        + TABLES.get(table).replaceAll("(\\w+)[^,]*", "$1") + ")");
            }
            markFormat(statement);
            statement.execute("COMMIT");
        } catch (SQLException e) {
            rollBack(statement, e);
            throw e;
        } finally {
            Function.destroy(connection, "summed");
        }
    }

    private static void markFormat(Statement statement) throws SQLException {
        statement.execute("PRAGMA application_id=" + APPLICATION_ID);
        statement.execute("PRAGMA user_version=" + FORMAT_VERSION);
    }

    /** After some errors, a full disk among them, SQLite has rolled back by itself. */
    static void rollBack(Statement statement, SQLException cause) {
        try {
            statement.execute("ROLLBACK");
        } catch (SQLException rollbackFailure) {
            cause.addSuppressed(rollbackFailure);
        }
    }

    private static long queryNumber(Statement statement, String query) throws SQLException {
        try (ResultSet resultSet = statement.executeQuery(query)) {
            return resultSet.next() ? resultSet.getLong(1) : 0;
        }
    }

    /** The sum kept with a row: over all its other columns, in their written form. */
    static long checksum(Object... fields) {
        CRC32C crc = new CRC32C();
        for (Object field : fields) {
            if (field != null) {
                crc.update(field.toString().getBytes(StandardCharsets.UTF_8));
            }
            crc.update(field == null ? 0xfe : 0xff);
        }
        return crc.getValue();
    }

    /** Reads everything there is, so that a start fails here or not at all. */
    void readAll() throws SQLException, UnusableDatabaseException {
        try (Statement statement = connection.createStatement()) {
            persistentState = readPersistentState(statement);
            registers = new ArrayList<>();
            try (ResultSet resultSet = statement.executeQuery(
                    "SELECT seq, id, promised, accepted, value, sum FROM register ORDER BY seq")) {
                while (resultSet.next()) {
                    newestSequence = resultSet.getLong(1);
                    StoredRegister register = new StoredRegister(
                            resultSet.getString(2),
                            resultSet.getString(3),
                            resultSet.getString(4),
                            resultSet.getString(5));
                    expect(
                            resultSet.getLong(6)
                                    == checksum(
                                            newestSequence,
                                            register.registerId(),
                                            register.promisedProposal(),
                                            register.acceptedProposal(),
                                            register.acceptedValue()),
                            "a torn register");
                    registers.add(register);
                }
            }
        }
    }

    private static PersistentState readPersistentState(Statement statement)
            throws SQLException, UnusableDatabaseException {
        String incarnation;
        String votedFor;
        long currentTerm;
        long commitIndex;
        try (ResultSet resultSet = statement.executeQuery("SELECT incarnation, term, vote, agreed, sum FROM self")) {
            expect(resultSet.next(), "no row of its own");
            incarnation = resultSet.getString(1);
            currentTerm = resultSet.getLong(2);
            votedFor = resultSet.getString(3);
            commitIndex = resultSet.getLong(4);
            expect(
                    resultSet.getLong(5) == checksum(1, incarnation, currentTerm, votedFor, commitIndex),
                    "a torn row of its own");
        }
        Snapshot snapshot = null;
        try (ResultSet resultSet = statement.executeQuery("SELECT idx, term, voters, data, sum FROM snapshot")) {
            if (resultSet.next()) {
                expect(
                        resultSet.getLong(5)
                                == checksum(
                                        1,
                                        resultSet.getLong(1),
                                        resultSet.getLong(2),
                                        resultSet.getString(3),
                                        resultSet.getString(4)),
                        "a torn snapshot");
                snapshot = new Snapshot(
                        resultSet.getLong(1),
                        resultSet.getLong(2),
                        Arrays.asList(GSON.fromJson(resultSet.getString(3), String[].class)),
                        resultSet.getString(4));
            }
        } catch (JsonParseException e) {
            throw new UnusableDatabaseException("a torn snapshot");
        }
        List<LogEntry> entries = new ArrayList<>();
        long lastIndex = snapshot == null ? 0 : snapshot.index();
        long lastTerm = snapshot == null ? 0 : snapshot.term();
        try (ResultSet resultSet = statement.executeQuery("SELECT idx, term, data, sum FROM log ORDER BY idx")) {
            while (resultSet.next()) {
                LogEntry e = new LogEntry(resultSet.getLong(1), resultSet.getLong(2), resultSet.getString(3));
                expect(resultSet.getLong(4) == checksum(e.index(), e.term(), e.data()), "a torn entry");
                expect(e.index() == lastIndex + 1, "a gap in the log");
                expect(e.term() >= lastTerm, "terms of the log go back");
                lastIndex = e.index();
                lastTerm = e.term();
                entries.add(e);
            }
        }
        expect(lastTerm <= currentTerm, "an entry of a term to come");
        expect(commitIndex <= lastIndex, "agreed entries are missing");
        return new PersistentState(incarnation, currentTerm, votedFor, commitIndex, snapshot, entries);
    }

    private static void expect(boolean isTrue, String reason) throws UnusableDatabaseException {
        if (!isTrue) {
            throw new UnusableDatabaseException(reason);
        }
    }

    /** Founds an empty disk. A loss of power leaves all of it or nothing. May be called again after a failure. */
    void initialize(String incarnation, List<LogEntry> initialEntries) throws SQLException, IOException {
        if (directory.contains(DATABASE)) {
            // From an attempt that failed late, or not seen before: it is whole, or is set aside.
            open();
            if (connection == null) {
                throw new IllegalStateException("the store was lost meanwhile");
            }
            return;
        }
        removeLeftovers();
        try (Connection newConnection = connect(TEMPORARY);
                Statement statement = newConnection.createStatement()) {
            statement.execute("PRAGMA synchronous=OFF");
            statement.execute("PRAGMA journal_mode=MEMORY");
            statement.execute("BEGIN");
            for (Map.Entry<String, String> table : TABLES.entrySet()) {
                statement.execute("CREATE TABLE " + table.getKey() + "(" + table.getValue() + ", sum INTEGER)");
            }
            markFormat(statement);
            try (PreparedStatement selfInsert =
                            newConnection.prepareStatement("INSERT INTO self VALUES(1,?,0,NULL,0,?)");
                    PreparedStatement entryInsert = newConnection.prepareStatement("INSERT INTO log VALUES(?,?,?,?)")) {
                selfInsert.setString(1, incarnation);
                selfInsert.setLong(2, checksum(1, incarnation, 0, null, 0));
                selfInsert.executeUpdate();
                for (LogEntry entry : initialEntries) {
                    insertEntry(entryInsert, entry);
                }
            }
            statement.execute("COMMIT");
            statement.execute("PRAGMA journal_mode=WAL");
        }
        directory.sync(TEMPORARY);
        directory.move(TEMPORARY, DATABASE);
        open();
    }

    static void insertEntry(PreparedStatement entryInsert, LogEntry entry) throws SQLException {
        entryInsert.setLong(1, entry.index());
        entryInsert.setLong(2, entry.term());
        entryInsert.setString(3, entry.data());
        entryInsert.setLong(4, checksum(entry.index(), entry.term(), entry.data()));
        entryInsert.executeUpdate();
    }

    /**
     * Removes what stands for nothing. A log left beside a new database would be taken for its own, and one without a
     * database is a lost disk: so each of the two removals must last before what follows.
     */
    private void removeLeftovers() throws IOException {
        removeFiles(COMPANION_SUFFIXES.stream()
                .flatMap(suffix -> Stream.of(TEMPORARY + suffix, DATABASE + suffix))
                .toList());
        removeFiles(List.of(TEMPORARY, DATABASE));
    }

    private void removeFiles(List<String> files) throws IOException {
        Set<String> existing = new TreeSet<>(directory.names());
        existing.retainAll(files);
        for (String file : existing) {
            directory.remove(file);
        }
        if (!existing.isEmpty()) {
            directory.sync();
        }
    }

    /**
     * Moves a lost database out of the way, before it is closed, for closing would write to it: the database first, and it alone until that lasts, for without its log it
     * might pass for a whole one. The newest few are kept; with one there, the disk is known to have been used.
     */
    void quarantine(String cause) throws IOException {
        int lastNumber = quarantineNumbers().stream().reduce(0, Math::max);
        String quarantineName = QUARANTINE_PREFIX + (lastNumber + 1);
        log.logOnChange(
                EventLog.Event.STORE_QUARANTINED,
                quarantineName + cause,
                "path",
                directory.path.resolve(quarantineName),
                "cause",
                cause);
        if (directory.contains(DATABASE)) {
            directory.move(DATABASE, quarantineName);
            directory.sync();
        }
        for (String suffix : COMPANION_SUFFIXES) {
            if (directory.contains(DATABASE + suffix)) {
                directory.move(DATABASE + suffix, quarantineName + suffix);
            }
        }
        directory.sync();
        for (int number : quarantineNumbers()) {
            if (number <= lastNumber + 1 - MAX_QUARANTINED) {
                directory.remove(QUARANTINE_PREFIX + number);
                for (String suffix : COMPANION_SUFFIXES) {
                    directory.remove(QUARANTINE_PREFIX + number + suffix);
                }
            }
        }
    }

    private Set<Integer> quarantineNumbers() throws IOException {
        Set<Integer> result = new TreeSet<>();
        for (String name : directory.names()) {
            if (name.matches("\\Q" + QUARANTINE_PREFIX + "\\E\\d{1,9}(-\\w+)?")) {
                result.add(Integer.parseInt(
                        name.substring(QUARANTINE_PREFIX.length()).replaceAll("-.*", "")));
            }
        }
        return result;
    }

    void close() {
        persistentState = null;
        registers = List.of();
        newestSequence = 0;
        if (connection != null) {
            try {
                connection.close();
            } catch (SQLException e) {
                log.log(EventLog.Event.DISK_FAILED, "error", e.getMessage());
            }
            connection = null;
        }
    }
}
