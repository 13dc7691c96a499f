package bramblespool.state;

import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32C;
import org.sqlite.Function;

/**
 * The database of a {@link SqliteDurableStore}: its mark and version, its tables, and the statements that read and
 * write them. Each row ends with a checksum over its other columns, so that a row that is torn, altered or moved is
 * found out. Databases of the first form had neither marks nor checksums ("unmarked"); they are upgraded where they
 * are opened. Stateless; the connections and statements given are used by the calling thread only.
 */
final class StoreSchema {
    /** SQLite's mark of whose a database is: "brsp". */
    static final int APPLICATION_ID = 0x62727370;
    /** The version of the tables; a database of a higher one is not opened. */
    static final int FORMAT_VERSION = 1;

    static final String SELECT_SELF = "SELECT incarnation, term, vote, agreed, sum FROM self";
    static final String INSERT_SELF = "INSERT INTO self VALUES(1,?,?,?,?,?)";
    static final String UPDATE_SELF = "UPDATE self SET term=?, vote=?, agreed=?, sum=?";
    static final String SELECT_LOG = "SELECT idx, term, data, sum FROM log ORDER BY idx";
    static final String PUT_LOG_ENTRY = "INSERT OR REPLACE INTO log VALUES(?,?,?,?)";
    static final String DELETE_LOG_FROM = "DELETE FROM log WHERE idx>=?";
    static final String DELETE_LOG_UP_TO = "DELETE FROM log WHERE idx<=?";
    static final String SELECT_SNAPSHOT = "SELECT idx, term, voters, data, sum FROM snapshot";
    static final String PUT_SNAPSHOT = "INSERT OR REPLACE INTO snapshot VALUES(1,?,?,?,?,?)";
    static final String SELECT_REGISTERS = "SELECT seq, id, promised, accepted, value, sum FROM register ORDER BY seq";
    static final String PUT_REGISTER = "INSERT OR REPLACE INTO register VALUES(?,?,?,?,?,?)";
    /** Rows without an id are not registers but the register layer's marks, which do not expire. */
    static final String DELETE_REGISTERS_UP_TO = "DELETE FROM register WHERE seq<=? AND id<>''";

    /** {@code id} of the only row of the tables {@code self} and {@code snapshot}. */
    static final int SINGLE_ROW_ID = 1;

    /** A table. {@code columns}: the names of all its columns save the checksum. */
    private record Table(String name, String definitions, String columns) {}

    private static final List<Table> TABLES = List.of(
            // The member itself: who it is, its term and vote, and (agreed) the highest index known to be committed.
            new Table(
                    "self",
                    "id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT, agreed INTEGER",
                    "id, incarnation, term, vote, agreed"),
            new Table("log", "idx INTEGER PRIMARY KEY, term INTEGER, data TEXT", "idx, term, data"),
            // Rows are only ever added at the end and removed from the beginning: a write touches few pages.
            new Table(
                    "register",
                    "seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT",
                    "seq, id, promised, accepted, value"),
            new Table(
                    "snapshot",
                    "id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT",
                    "id, idx, term, voters, data"));

    /** Bytes that follow a field in the checksum: one that UTF-8 text never has, another for null. */
    private static final int AFTER_FIELD = 0xff;

    private static final int AFTER_NULL = 0xfe;
    private static final String CHECKSUM_FUNCTION = "summed";

    /** What a database turned out to be. */
    enum Format {
        /** Of this version. */
        CURRENT,
        /** Of the first form, and complete. */
        UNMARKED,
        /** Of the first form, with tables being created: nothing was ever acknowledged on its strength. */
        UNINITIALIZED
    }

    private StoreSchema() {}

    /**
     * Finds out what a database is, by its marks and tables alone.
     *
     * @throws StoreDamagedException where it is another application's, of a later version, or incomplete
     */
    static Format detectFormat(Statement statement) throws SQLException, StoreDamagedException {
        long applicationId = queryNumber(statement, "PRAGMA application_id");
        long formatVersion = queryNumber(statement, "PRAGMA user_version");
        Set<String> presentTables = queryTableNames(statement);
        Set<String> ownTables = new TreeSet<>();
        TABLES.forEach(table -> ownTables.add(table.name));
        boolean isUnmarked = applicationId == 0 && formatVersion == 0 && ownTables.containsAll(presentTables);
        if (!isUnmarked && applicationId != APPLICATION_ID) {
            throw new StoreDamagedException("the database of another application");
        }
        if (formatVersion > FORMAT_VERSION) {
            throw new StoreDamagedException(
                    "format " + formatVersion + ", and only " + FORMAT_VERSION + " is known here");
        }
        if (isUnmarked && isUninitialized(statement, presentTables)) {
            return Format.UNINITIALIZED;
        }
        if (!presentTables.equals(ownTables)) {
            throw new StoreDamagedException("tables are missing");
        }
        return isUnmarked ? Format.UNMARKED : Format.CURRENT;
    }

    private static boolean isUninitialized(Statement statement, Set<String> presentTables)
            throws SQLException, StoreDamagedException {
        if (presentTables.contains("self") && queryNumber(statement, "SELECT count(*) FROM self") > 0) {
            return false;
        }
        for (String table : presentTables) {
            if (queryNumber(statement, "SELECT count(*) FROM " + table) > 0) {
                throw new StoreDamagedException("no row of its own");
            }
        }
        return true;
    }

    private static Set<String> queryTableNames(Statement statement) throws SQLException {
        Set<String> names = new TreeSet<>();
        try (ResultSet row = statement.executeQuery("SELECT name FROM sqlite_schema WHERE type='table'")) {
            while (row.next()) {
                names.add(row.getString(1));
            }
        }
        return names;
    }

    private static long queryNumber(Statement statement, String query) throws SQLException {
        try (ResultSet row = statement.executeQuery(query)) {
            return row.next() ? row.getLong(1) : 0;
        }
    }

    /** Creates the tables and marks the database, within the caller's transaction. */
    static void create(Statement statement) throws SQLException {
        for (Table table : TABLES) {
            statement.execute("CREATE TABLE " + table.name + "(" + table.definitions + ", sum INTEGER)");
        }
        mark(statement);
    }

    /** Gives checksums and marks to a database of the first form. */
    static void upgradeUnmarked(Connection connection, Statement statement) throws SQLException {
        Function.create(connection, CHECKSUM_FUNCTION, new Function() {
            @Override
            protected void xFunc() throws SQLException {
                Object[] fields = new Object[args()];
                for (int i = 0; i < fields.length; i++) {
                    fields[i] = value_text(i);
                }
                result(checksum(fields));
            }
        });
        try (SqliteTransaction transaction = SqliteTransaction.begin(statement)) {
            for (Table table : TABLES) {
                statement.execute("ALTER TABLE " + table.name + " ADD COLUMN sum INTEGER");
                statement.execute("UPDATE " + table.name + " SET sum=" + CHECKSUM_FUNCTION + "(" + table.columns + ")");
            }
            mark(statement);
            transaction.commit();
        } finally {
            Function.destroy(connection, CHECKSUM_FUNCTION);
        }
    }

    private static void mark(Statement statement) throws SQLException {
        statement.execute("PRAGMA application_id=" + APPLICATION_ID);
        statement.execute("PRAGMA user_version=" + FORMAT_VERSION);
    }

    /** The checksum of a row: CRC-32C over the texts of its other columns, in their order. */
    static long checksum(Object... fields) {
        CRC32C crc = new CRC32C();
        for (Object field : fields) {
            if (field != null) {
                crc.update(field.toString().getBytes(StandardCharsets.UTF_8));
            }
            crc.update(field == null ? AFTER_NULL : AFTER_FIELD);
        }
        return crc.getValue();
    }
}
