package bramblespool.state;

import bramblespool.state.DurableStore.LogEntry;
import java.io.IOException;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.sqlite.SQLiteErrorCode;

/**
 * The files of a {@link SqliteDurableStore}: opens and creates the database. It has its name only once it is complete
 * and synced; one that is damaged counts as a lost disk and is moved out of the way, never repaired.
 *
 * <p>Not thread-safe: the store uses it on the thread that opens it, and from its first write on on the disk thread
 * alone.
 */
final class SqliteDatabaseFiles {
    /** Name of the file on the disks of running systems: from the former name of a controller. */
    static final String DATABASE = "helm.db";
    /** A database that is being created: of no worth until it has its final name. */
    private static final String TEMPORARY = "helm.new";

    private static final String WAL_SUFFIX = "-wal";
    /** The files that SQLite may put beside a database. */
    static final List<String> COMPANION_SUFFIXES = List.of(WAL_SUFFIX, "-journal", "-shm");
    /** Pages in the write-ahead log before SQLite moves them: keeps the file well under a megabyte. */
    private static final int CHECKPOINT_PAGES = 128;

    private static final int PAGE_CACHE_KIB = 512;

    private final SyncedDirectory directory;
    private final EventLog log;
    private final QuarantinedDatabases quarantinedDatabases;
    /** Null while there is no database. */
    private Connection connection;
    /** What the database held when it was opened; null while there is none, and once it has been released. */
    private SqliteStoreReader.Contents contents;

    SqliteDatabaseFiles(SyncedDirectory directory, EventLog log) {
        this.directory = directory;
        this.log = log;
        this.quarantinedDatabases = new QuarantinedDatabases(directory, log);
    }

    /** The open database, or null where there is none. */
    Connection connection() {
        return connection;
    }

    /** What the database held when it was opened, or null where there is none. */
    SqliteStoreReader.Contents contents() {
        return contents;
    }

    /** Lets go of what was read, which may be large. */
    void releaseContents() {
        contents = null;
    }

    /** Whether this disk has held a database that was lost. */
    boolean hasQuarantinedDatabase() throws StoreUnavailableException {
        return quarantinedDatabases.exist();
    }

    /** See {@link QuarantinedDatabases#add}. */
    void quarantine(String cause) throws StoreUnavailableException {
        quarantinedDatabases.add(cause);
    }

    /** Opens and reads what there is; what is damaged is moved out of the way. May be called again after a failure. */
    void open() throws StoreUnavailableException {
        close();
        try {
            openDatabase();
        } catch (StoreDamagedException e) {
            quarantine(e.getMessage());
            close();
        } catch (SQLException e) {
            // A plain error while reading means other tables than ours.
            if (StoreDamagedException.isDamage(e) || e.getErrorCode() == SQLiteErrorCode.SQLITE_ERROR.code) {
                quarantine(e.getMessage());
                close();
                return;
            }
            close();
            throw new StoreUnavailableException(e);
        } catch (IOException e) {
            throw new StoreUnavailableException(e);
        }
    }

    private void openDatabase() throws SQLException, IOException, StoreDamagedException {
        if (!directory.contains(DATABASE)) {
            if (directory.size(DATABASE + WAL_SUFFIX) > 0) {
                throw new StoreDamagedException("a write-ahead log without its database");
            }
            return;
        }
        if (directory.size(DATABASE) == 0 && directory.size(DATABASE + WAL_SUFFIX) > 0) {
            // SQLite would discard the log.
            throw new StoreDamagedException("an empty database with a write-ahead log");
        }
        syncWriteAheadLog();
        connection = SqliteConnections.connect(directory, DATABASE);
        StoreSchema.Format format = checkDatabase();
        if (format == StoreSchema.Format.UNINITIALIZED) {
            // Before it is closed, for closing would remove the log without a sync.
            removeLeftovers();
            close();
            return;
        }
        contents = SqliteStoreReader.readAll(connection);
    }

    /**
     * A killed process may have left writes that no sync has covered. They are read now, and sent to others: so they
     * must last, and so must the name of the log, without which the database alone is an older one. The database
     * itself is never ahead of its log: pages not yet synced there are still in the log.
     */
    private void syncWriteAheadLog() throws IOException {
        directory.createIfAbsent(DATABASE + WAL_SUFFIX);
        if (directory.size(DATABASE + WAL_SUFFIX) > 0) {
            directory.sync(DATABASE + WAL_SUFFIX);
        }
        directory.sync();
    }

    /** Checks the open database, and upgrades it where it is of an old form. */
    private StoreSchema.Format checkDatabase() throws SQLException, StoreDamagedException {
        try (Statement statement = connection.createStatement()) {
            // Reads the database already, unlike what is set when it is connected.
            statement.execute("PRAGMA cache_size=-" + PAGE_CACHE_KIB);
            StoreSchema.Format format = StoreSchema.detectFormat(statement);
            if (format == StoreSchema.Format.UNINITIALIZED) {
                return format;
            }
            try (ResultSet check = statement.executeQuery("PRAGMA quick_check(1)")) {
                if (!check.next() || !check.getString(1).equals("ok")) {
                    throw new StoreDamagedException(check.getString(1));
                }
            }
            SqliteConnections.enableDurability(statement, CHECKPOINT_PAGES);
            if (format == StoreSchema.Format.UNMARKED) {
                StoreSchema.upgradeUnmarked(connection, statement);
            }
            return format;
        }
    }

    /**
     * Creates a database and opens it. A loss of power leaves all of it or nothing. May be called again after a
     * failure.
     *
     * @throws IllegalStateException where the database was found damaged meanwhile
     */
    void initialize(String incarnation, List<LogEntry> initialEntries) throws StoreUnavailableException {
        try {
            if (!directory.contains(DATABASE)) {
                createDatabase(incarnation, initialEntries);
                open();
                return;
            }
        } catch (SQLException | IOException e) {
            throw new StoreUnavailableException(e);
        }
        // From an attempt that failed late, or not seen before: it is complete, or is moved out of the way.
        open();
        if (connection == null) {
            throw new IllegalStateException("the store was lost meanwhile");
        }
    }

    private void createDatabase(String incarnation, List<LogEntry> initialEntries) throws SQLException, IOException {
        removeLeftovers();
        SqliteConnections.create(directory, TEMPORARY, DATABASE, (newConnection, statement) -> {
            StoreSchema.create(statement);
            insertInitialRows(newConnection, incarnation, initialEntries);
        });
    }

    private static void insertInitialRows(Connection newConnection, String incarnation, List<LogEntry> initialEntries)
            throws SQLException {
        try (PreparedStatement selfInsert = newConnection.prepareStatement(StoreSchema.INSERT_SELF);
                PreparedStatement entryPut = newConnection.prepareStatement(StoreSchema.PUT_LOG_ENTRY)) {
            selfInsert.setString(1, incarnation);
            selfInsert.setLong(2, 0);
            selfInsert.setString(3, null);
            selfInsert.setLong(4, 0);
            selfInsert.setLong(5, StoreSchema.checksum(StoreSchema.SINGLE_ROW_ID, incarnation, 0, null, 0));
            selfInsert.executeUpdate();
            for (LogEntry entry : initialEntries) {
                SqliteStoreWriter.putLogEntry(entryPut, entry);
            }
        }
    }

    /**
     * Removes files that stand for nothing. A log left beside a new database would be taken for its own, and one
     * without a database is a lost disk: so each of the two removals must last before what follows.
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

    /** Closes the database, if there is one. */
    void close() {
        contents = null;
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
