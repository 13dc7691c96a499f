package bramblespool.state;

import java.io.IOException;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;

/** Opens and creates SQLite databases so that a loss of power leaves all of one or nothing. Stateless. */
final class SqliteConnections {
    /** Fills a database that is being created; it is synced afterwards. */
    interface Creation {
        void create(Connection connection, Statement statement) throws SQLException;
    }

    private SqliteConnections() {}

    /** Opens a database for this process alone. */
    static Connection connect(SyncedDirectory directory, String name) throws SQLException {
        Connection connection = DriverManager.getConnection("jdbc:sqlite:" + directory.path.resolve(name));
        try (Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA busy_timeout=0");
            statement.execute("PRAGMA locking_mode=EXCLUSIVE");
        } catch (SQLException e) {
            connection.close();
            throw e;
        }
        return connection;
    }

    /**
     * From here on what a commit has returned for is on the disk: the log is synced before it, and before each
     * checkpoint.
     *
     * @param checkpointPages pages in the write-ahead log before SQLite moves them
     */
    static void enableDurability(Statement statement, int checkpointPages) throws SQLException {
        statement.execute("PRAGMA journal_mode=WAL");
        statement.execute("PRAGMA synchronous=FULL");
        statement.execute("PRAGMA wal_autocheckpoint=" + checkpointPages);
    }

    /** Creates a database under a temporary name, and gives it its own once it is complete and synced. */
    static void create(SyncedDirectory directory, String temporaryName, String name, Creation creation)
            throws SQLException, IOException {
        try (Connection connection = connect(directory, temporaryName);
                Statement statement = connection.createStatement()) {
            // It is synced whole, below.
            statement.execute("PRAGMA synchronous=OFF");
            statement.execute("PRAGMA journal_mode=MEMORY");
            try (SqliteTransaction transaction = SqliteTransaction.begin(statement)) {
                creation.create(connection, statement);
                transaction.commit();
            }
            statement.execute("PRAGMA journal_mode=WAL");
        }
        directory.sync(temporaryName);
        directory.move(temporaryName, name);
    }
}
