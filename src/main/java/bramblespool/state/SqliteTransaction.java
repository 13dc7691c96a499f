package bramblespool.state;

import java.sql.SQLException;
import java.sql.Statement;

/**
 * A transaction that is rolled back where it ends without a commit. It is begun and ended by SQL statements and not by
 * the driver's methods: after some errors, a full disk among them, SQLite has rolled back by itself, and the driver
 * would take the next writes for part of a transaction that no longer exists.
 */
final class SqliteTransaction implements AutoCloseable {
    private final Statement statement;
    private boolean isCommitted;

    private SqliteTransaction(Statement statement) {
        this.statement = statement;
    }

    static SqliteTransaction begin(Statement statement) throws SQLException {
        statement.execute("BEGIN");
        return new SqliteTransaction(statement);
    }

    void commit() throws SQLException {
        statement.execute("COMMIT");
        isCommitted = true;
    }

    /** Rolls back, which fails where SQLite has done so already: harmless where it follows another error. */
    @Override
    public void close() throws SQLException {
        if (!isCommitted) {
            statement.execute("ROLLBACK");
        }
    }
}
