package bramblespool.state;

import bramblespool.state.Vault.Entry;
import bramblespool.state.Vault.Kept;
import bramblespool.state.Vault.Saved;
import bramblespool.state.Vault.Snapshot;
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
 * The files of a {@link SqliteVault}: founding, checking and setting aside. A database stands under its name only once
 * it is whole and synced; one that is not whole is a lost disk and is moved out of the way, never repaired.
 */
final class SqliteStore {
    static final String DATABASE = "helm.db";
    static final String ASIDE = DATABASE + ".aside-";
    /** A database that is being founded: of no worth until it has its name. */
    private static final String FOUNDING = "helm.new";

    private static final String WAL = "-wal";
    /** What SQLite may put beside a database. */
    private static final List<String> BESIDE = List.of(WAL, "-journal", "-shm");
    /** "brsp", SQLite's mark of whose a database is. */
    static final int APPLICATION = 0x62727370;

    static final int FORMAT = 1;
    /** Lost databases that are kept: disks are small. */
    static final int ASIDES = 2;
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
    static final class Lost extends Exception {
        private static final long serialVersionUID = 1;

        Lost(String why) {
            super(why, null, false, false);
        }
    }

    private final Folder folder;
    private final Log log;
    /** Null while the disk is empty. */
    Connection db;

    Saved saved;
    List<Kept> kept = List.of();
    /** The newest number in {@code register}. */
    long newest;

    SqliteStore(Folder folder, Log log) {
        this.folder = folder;
        this.log = log;
    }

    /**
     * Whether what SQLite says means that the file is damaged or not ours. All else (no room, a read or write that
     * fails, a lock, a folder that is not there) passes, and the disk is as it was.
     */
    static boolean lost(SQLException e) {
        if (!(e instanceof SQLiteException s)) {
            return false;
        }
        // A read that ends early, with no error of the disk's, says that the file is too short.
        return s.getResultCode() == SQLiteErrorCode.SQLITE_IOERR_SHORT_READ
                || switch (s.getResultCode().code & 0xff) {
                    case 11 /* CORRUPT */, 24 /* FORMAT */, 26 /* NOTADB */ -> true;
                    default -> false;
                };
    }

    /** Whether this disk has held a database that was lost. */
    boolean setAside() throws IOException {
        return folder.names().stream().anyMatch(n -> n.startsWith(ASIDE));
    }

    /** Opens what there is. May be called again after a failure. */
    void open() throws SQLException, IOException {
        close();
        try {
            if (!folder.has(DATABASE)) {
                if (folder.size(DATABASE + WAL) > 0) {
                    throw new Lost("a write-ahead log without its database");
                }
                return;
            }
            if (folder.size(DATABASE) == 0 && folder.size(DATABASE + WAL) > 0) {
                // SQLite would throw the log away.
                throw new Lost("an empty database with a write-ahead log");
            }
            // A killed process may have left writes that no sync has covered. They are read now, and told to others:
            // so they must last, and so must the name of the log, without which the database alone is an old one.
            // (The database itself is never ahead of its log: pages not yet synced there are still in the log.)
            folder.make(DATABASE + WAL);
            if (folder.size(DATABASE + WAL) > 0) {
                folder.sync(DATABASE + WAL);
            }
            folder.sync();
            db = connect(DATABASE);
            check();
        } catch (Lost e) {
            moveAside(e.getMessage());
            close();
        } catch (SQLException e) {
            // A plain error while reading means other tables than ours.
            if (!lost(e) && e.getErrorCode() != SQLiteErrorCode.SQLITE_ERROR.code) {
                close();
                throw e;
            }
            moveAside(e.getMessage());
            close();
        }
    }

    private Connection connect(String name) throws SQLException {
        Connection c = DriverManager.getConnection("jdbc:sqlite:" + folder.path.resolve(name));
        try (Statement s = c.createStatement()) {
            s.execute("PRAGMA busy_timeout=0");
            s.execute("PRAGMA locking_mode=EXCLUSIVE");
        } catch (SQLException e) {
            c.close();
            throw e;
        }
        return c;
    }

    /** From here on what a commit has returned for is on the disk: the log is synced before it, and before each checkpoint. */
    private static void durable(Statement s) throws SQLException {
        s.execute("PRAGMA journal_mode=WAL");
        s.execute("PRAGMA synchronous=FULL");
        s.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
    }

    private void check() throws SQLException, IOException, Lost {
        try (Statement s = db.createStatement()) {
            // Reads the database already, unlike what is set when it is connected.
            s.execute("PRAGMA cache_size=-512");
            long application = number(s, "PRAGMA application_id");
            long format = number(s, "PRAGMA user_version");
            Set<String> tables = new TreeSet<>();
            try (ResultSet r = s.executeQuery("SELECT name FROM sqlite_schema WHERE type='table'")) {
                while (r.next()) {
                    tables.add(r.getString(1));
                }
            }
            boolean unmarked =
                    application == 0 && format == 0 && TABLES.keySet().containsAll(tables);
            if (!unmarked && application != APPLICATION) {
                throw new Lost("the database of another application");
            }
            if (format > FORMAT) {
                throw new Lost("format " + format + ", and only " + FORMAT + " is known here");
            }
            if (unmarked && unfounded(s, tables)) {
                // Before it is closed, for closing would remove the log without a sync.
                clear();
                close();
                return;
            }
            if (!tables.equals(TABLES.keySet())) {
                throw new Lost("tables are missing");
            }
            try (ResultSet r = s.executeQuery("PRAGMA quick_check(1)")) {
                expect(r.next() && r.getString(1).equals("ok"), r.getString(1));
            }
            durable(s);
            if (unmarked) {
                take(s);
            }
        }
        read();
    }

    /** Whether this is all that a founding of the unmarked form had come to; nothing was said on its strength. */
    private static boolean unfounded(Statement s, Set<String> tables) throws SQLException, Lost {
        if (tables.contains("self") && number(s, "SELECT count(*) FROM self") > 0) {
            return false;
        }
        for (String table : tables) {
            if (number(s, "SELECT count(*) FROM " + table) > 0) {
                throw new Lost("no row of its own");
            }
        }
        return true;
    }

    /** Marks a database of the form that had neither sums nor marks. */
    private void take(Statement s) throws SQLException {
        Function.create(db, "summed", new Function() {
            @Override
            protected void xFunc() throws SQLException {
                Object[] fields = new Object[args()];
                for (int i = 0; i < fields.length; i++) {
                    fields[i] = value_text(i);
                }
                result(sum(fields));
            }
        });
        s.execute("BEGIN");
        try {
            for (String table : TABLES.keySet()) {
                s.execute("ALTER TABLE " + table + " ADD COLUMN sum INTEGER");
                s.execute("UPDATE " + table + " SET sum=summed("
                        + TABLES.get(table).replaceAll("(\\w+)[^,]*", "$1") + ")");
            }
            mark(s);
            s.execute("COMMIT");
        } catch (SQLException e) {
            rollBack(s, e);
            throw e;
        } finally {
            Function.destroy(db, "summed");
        }
    }

    private static void mark(Statement s) throws SQLException {
        s.execute("PRAGMA application_id=" + APPLICATION);
        s.execute("PRAGMA user_version=" + FORMAT);
    }

    /** After some errors, a full disk among them, SQLite has rolled back by itself. */
    static void rollBack(Statement s, SQLException after) {
        try {
            s.execute("ROLLBACK");
        } catch (SQLException none) {
            after.addSuppressed(none);
        }
    }

    private static long number(Statement s, String query) throws SQLException {
        try (ResultSet r = s.executeQuery(query)) {
            return r.next() ? r.getLong(1) : 0;
        }
    }

    /** The sum kept with a row: over all its other columns, in their written form. */
    static long sum(Object... fields) {
        CRC32C crc = new CRC32C();
        for (Object f : fields) {
            if (f != null) {
                crc.update(f.toString().getBytes(StandardCharsets.UTF_8));
            }
            crc.update(f == null ? 0xfe : 0xff);
        }
        return crc.getValue();
    }

    /** Reads everything there is, so that a start fails here or not at all. */
    void read() throws SQLException, Lost {
        try (Statement s = db.createStatement()) {
            saved = readSaved(s);
            kept = new ArrayList<>();
            try (ResultSet r =
                    s.executeQuery("SELECT seq, id, promised, accepted, value, sum FROM register ORDER BY seq")) {
                while (r.next()) {
                    newest = r.getLong(1);
                    Kept k = new Kept(r.getString(2), r.getString(3), r.getString(4), r.getString(5));
                    expect(
                            r.getLong(6) == sum(newest, k.id(), k.promised(), k.accepted(), k.value()),
                            "a torn register");
                    kept.add(k);
                }
            }
        }
    }

    private static Saved readSaved(Statement s) throws SQLException, Lost {
        String incarnation;
        String vote;
        long term;
        long agreed;
        try (ResultSet r = s.executeQuery("SELECT incarnation, term, vote, agreed, sum FROM self")) {
            expect(r.next(), "no row of its own");
            incarnation = r.getString(1);
            term = r.getLong(2);
            vote = r.getString(3);
            agreed = r.getLong(4);
            expect(r.getLong(5) == sum(1, incarnation, term, vote, agreed), "a torn row of its own");
        }
        Snapshot snapshot = null;
        try (ResultSet r = s.executeQuery("SELECT idx, term, voters, data, sum FROM snapshot")) {
            if (r.next()) {
                expect(
                        r.getLong(5) == sum(1, r.getLong(1), r.getLong(2), r.getString(3), r.getString(4)),
                        "a torn snapshot");
                snapshot = new Snapshot(
                        r.getLong(1),
                        r.getLong(2),
                        Arrays.asList(GSON.fromJson(r.getString(3), String[].class)),
                        r.getString(4));
            }
        } catch (JsonParseException e) {
            throw new Lost("a torn snapshot");
        }
        List<Entry> entries = new ArrayList<>();
        long last = snapshot == null ? 0 : snapshot.index();
        long lastTerm = snapshot == null ? 0 : snapshot.term();
        try (ResultSet r = s.executeQuery("SELECT idx, term, data, sum FROM log ORDER BY idx")) {
            while (r.next()) {
                Entry e = new Entry(r.getLong(1), r.getLong(2), r.getString(3));
                expect(r.getLong(4) == sum(e.index(), e.term(), e.data()), "a torn entry");
                expect(e.index() == last + 1, "a gap in the log");
                expect(e.term() >= lastTerm, "terms of the log go back");
                last = e.index();
                lastTerm = e.term();
                entries.add(e);
            }
        }
        expect(lastTerm <= term, "an entry of a term to come");
        expect(agreed <= last, "agreed entries are missing");
        return new Saved(incarnation, term, vote, agreed, snapshot, entries);
    }

    private static void expect(boolean holds, String otherwise) throws Lost {
        if (!holds) {
            throw new Lost(otherwise);
        }
    }

    /** Founds an empty disk. A loss of power leaves all of it or nothing. May be called again after a failure. */
    void found(String incarnation, List<Entry> first) throws SQLException, IOException {
        if (folder.has(DATABASE)) {
            // From an attempt that failed late, or not seen before: it is whole, or is set aside.
            open();
            if (db == null) {
                throw new IllegalStateException("the store was lost meanwhile");
            }
            return;
        }
        clear();
        try (Connection c = connect(FOUNDING);
                Statement s = c.createStatement()) {
            s.execute("PRAGMA synchronous=OFF");
            s.execute("PRAGMA journal_mode=MEMORY");
            s.execute("BEGIN");
            for (Map.Entry<String, String> t : TABLES.entrySet()) {
                s.execute("CREATE TABLE " + t.getKey() + "(" + t.getValue() + ", sum INTEGER)");
            }
            mark(s);
            try (PreparedStatement self = c.prepareStatement("INSERT INTO self VALUES(1,?,0,NULL,0,?)");
                    PreparedStatement add = c.prepareStatement("INSERT INTO log VALUES(?,?,?,?)")) {
                self.setString(1, incarnation);
                self.setLong(2, sum(1, incarnation, 0, null, 0));
                self.executeUpdate();
                for (Entry e : first) {
                    add(add, e);
                }
            }
            s.execute("COMMIT");
            s.execute("PRAGMA journal_mode=WAL");
        }
        folder.sync(FOUNDING);
        folder.move(FOUNDING, DATABASE);
        open();
    }

    static void add(PreparedStatement add, Entry e) throws SQLException {
        add.setLong(1, e.index());
        add.setLong(2, e.term());
        add.setString(3, e.data());
        add.setLong(4, sum(e.index(), e.term(), e.data()));
        add.executeUpdate();
    }

    /**
     * Removes what stands for nothing. A log left beside a new database would be taken for its own, and one without a
     * database is a lost disk: so each of the two removals must last before what follows.
     */
    private void clear() throws IOException {
        remove(BESIDE.stream()
                .flatMap(b -> Stream.of(FOUNDING + b, DATABASE + b))
                .toList());
        remove(List.of(FOUNDING, DATABASE));
    }

    private void remove(List<String> files) throws IOException {
        Set<String> there = new TreeSet<>(folder.names());
        there.retainAll(files);
        for (String f : there) {
            folder.remove(f);
        }
        if (!there.isEmpty()) {
            folder.sync();
        }
    }

    /**
     * Moves a lost database out of the way, before it is closed, for closing would write to it: the database first, and it alone until that lasts, for without its log it
     * might pass for a whole one. The newest few are kept; with one there, the disk is known to have been used.
     */
    void moveAside(String cause) throws IOException {
        int last = numbers().stream().reduce(0, Math::max);
        String aside = ASIDE + (last + 1);
        log.once(Log.Event.DISK_SET_ASIDE, aside + cause, "path", folder.path.resolve(aside), "cause", cause);
        if (folder.has(DATABASE)) {
            folder.move(DATABASE, aside);
            folder.sync();
        }
        for (String b : BESIDE) {
            if (folder.has(DATABASE + b)) {
                folder.move(DATABASE + b, aside + b);
            }
        }
        folder.sync();
        for (int n : numbers()) {
            if (n <= last + 1 - ASIDES) {
                folder.remove(ASIDE + n);
                for (String b : BESIDE) {
                    folder.remove(ASIDE + n + b);
                }
            }
        }
    }

    private Set<Integer> numbers() throws IOException {
        Set<Integer> out = new TreeSet<>();
        for (String n : folder.names()) {
            if (n.matches("\\Q" + ASIDE + "\\E\\d{1,9}(-\\w+)?")) {
                out.add(Integer.parseInt(n.substring(ASIDE.length()).replaceAll("-.*", "")));
            }
        }
        return out;
    }

    void close() {
        saved = null;
        kept = List.of();
        newest = 0;
        if (db != null) {
            try {
                db.close();
            } catch (SQLException e) {
                log.say(Log.Event.DISK_FAILED, "error", e.getMessage());
            }
            db = null;
        }
    }
}
