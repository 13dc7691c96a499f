package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.raft.RaftNode;
import bramblespool.sim.SimMesh;
import bramblespool.sim.SimWorld;
import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/** The store of a helm: on a disk that loses power, is lost, or does not work for a while. */
class VaultTest {
    private static final String DB = SqliteDatabaseFiles.DATABASE;
    private static final String WAL = DB + "-wal";
    /** What a disk writes whole or not at all, nearly. */
    private static final int SECTOR = 512;

    @TempDir
    Path dir;

    private final ByteArrayOutputStream said = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("n", new PrintStream(said, true), EventLog.Level.INFO);
    private int images;

    // ---- a disk that may lose power

    /** All that a disk holds. */
    private static Map<String, byte[]> read(Path folder) throws IOException {
        Map<String, byte[]> out = new TreeMap<>();
        try (Stream<Path> all = Files.list(folder)) {
            for (Path p : all.toList()) {
                out.put(p.getFileName().toString(), Files.readAllBytes(p));
            }
        }
        return out;
    }

    /** What is on the disk at a moment, and what of it would outlast a loss of power for sure. */
    private record Moment(Map<String, byte[]> now, Set<String> names, Map<String, byte[]> synced) {
        /** One of the states that a loss of power may leave. */
        Map<String, byte[]> lose(Random random) {
            Map<String, byte[]> out = new TreeMap<>();
            Set<String> all = new TreeSet<>(now.keySet());
            all.addAll(names);
            for (String n : all) {
                if (now.containsKey(n) && names.contains(n) || random.nextBoolean()) {
                    byte[] old = synced.getOrDefault(n, new byte[0]);
                    out.put(n, now.containsKey(n) ? torn(old, now.get(n), random) : old);
                }
            }
            return out;
        }
    }

    /** Of what was written since, each sector is there, missing, or torn; and so is the length of the file. */
    private static byte[] torn(byte[] old, byte[] now, Random random) {
        if (Arrays.equals(old, now)) {
            return now;
        }
        int kept = random.nextInt(4);
        int length = random.nextBoolean()
                ? now.length
                : Math.min(old.length, now.length) + random.nextInt(Math.abs(old.length - now.length) + 1);
        byte[] out = Arrays.copyOf(old, length);
        for (int at = 0; at < length; at += SECTOR) {
            int end = Math.min(length, at + SECTOR);
            // Mostly there, mostly missing, or either; and now and then torn.
            boolean there =
                    kept == 0 ? random.nextInt(20) > 0 : kept == 1 ? random.nextInt(20) == 0 : random.nextBoolean();
            int until = random.nextInt(10) == 0 ? at + random.nextInt(end - at) : there ? end : at;
            if (until > at && at < now.length) {
                System.arraycopy(now, at, out, at, Math.min(until, now.length) - at);
            }
        }
        return out;
    }

    /** The real folder, which also knows what has been synced, and keeps the moment after each of its steps. */
    private static final class Recorder extends SyncedDirectory {
        private final List<Moment> moments = new ArrayList<>();
        private final Map<String, byte[]> synced = new TreeMap<>();
        private final Set<String> names = new HashSet<>();

        Recorder(Path path) {
            super(path);
        }

        Moment moment() throws IOException {
            return new Moment(read(path), Set.copyOf(names), Map.copyOf(synced));
        }

        private void step() throws IOException {
            moments.add(moment());
        }

        /** After an acknowledgement: SQLite has synced both of its files. */
        Moment acknowledged() throws IOException {
            Map<String, byte[]> now = read(path);
            synced.put(DB, now.get(DB));
            synced.put(WAL, now.get(WAL));
            return moment();
        }

        @Override
        void createIfAbsent(String name) throws IOException {
            super.createIfAbsent(name);
            step();
        }

        @Override
        void move(String from, String to) throws IOException {
            super.move(from, to);
            if (synced.containsKey(from)) {
                synced.put(to, synced.get(from));
            }
            step();
        }

        @Override
        void remove(String name) throws IOException {
            super.remove(name);
            step();
        }

        @Override
        void sync(String name) throws IOException {
            step();
            super.sync(name);
            synced.put(name, Files.readAllBytes(path.resolve(name)));
            step();
        }

        @Override
        void sync() throws IOException {
            step();
            super.sync();
            names.clear();
            names.addAll(names());
            synced.keySet().retainAll(names);
            step();
        }
    }

    /** A folder whose syncs cost nothing: an image is only looked at. */
    private static final class Image extends SyncedDirectory {
        Image(Path path) {
            super(path);
        }

        @Override
        void sync(String name) {}

        @Override
        void sync() {}
    }

    private record Seen(PersistentState saved, List<StoredRegister> kept, boolean setAside) {}

    /** Opens a disk that holds this. */
    private Seen open(Map<String, byte[]> image) throws Exception {
        Path at = Files.createDirectory(dir.resolveSibling(dir.getFileName() + "-image" + images++));
        for (Map.Entry<String, byte[]> f : image.entrySet()) {
            Files.write(at.resolve(f.getKey()), f.getValue());
        }
        SqliteDurableStore v = vault(new Image(at), EventLog.silent());
        Seen out = new Seen(v.load(), v.loadRegisters(), v.hasQuarantinedDatabase());
        if (v.files.connection != null) {
            sql(v.files.connection, "PRAGMA synchronous=OFF");
        }
        v.close();
        for (String n : read(at).keySet()) {
            Files.delete(at.resolve(n));
        }
        Files.delete(at);
        return out;
    }

    private static SqliteDurableStore vault(SyncedDirectory folder, EventLog log) {
        return new SqliteDurableStore(folder, Runnable::run, System::nanoTime, log, () -> {}, () -> {
            throw new AssertionError("it waits");
        });
    }

    private static void sql(Connection db, String... words) throws SQLException {
        try (Statement s = db.createStatement()) {
            for (String w : words) {
                s.execute(w);
            }
        }
    }

    private static void save(SqliteDurableStore v, Change change) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        v.save(change, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    private static void keep(SqliteDurableStore v, List<StoredRegister> words) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        v.saveRegisters(words, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    /** What a store that did all this must hold. */
    private static final class Model {
        private PersistentState saved =
                new PersistentState("abc", 0, null, 0, null, List.of(new LogEntry(1, 0, "first")));
        private final List<StoredRegister> kept = new ArrayList<>();

        Seen seen() {
            return new Seen(saved, List.copyOf(kept), false);
        }

        long last() {
            return saved.entries().isEmpty()
                    ? saved.snapshot().index()
                    : saved.entries().get(saved.entries().size() - 1).index();
        }

        void take(Change c) {
            List<LogEntry> entries = new ArrayList<>(saved.entries());
            if (c.truncateFrom() > 0) {
                entries.removeIf(e -> e.index() >= c.truncateFrom());
            }
            if (c.snapshot() != null) {
                entries.removeIf(e -> e.index() <= c.snapshot().index());
            }
            entries.addAll(c.appendedEntries());
            saved = new PersistentState(
                    "abc",
                    c.currentTerm(),
                    c.votedFor(),
                    c.commitIndex(),
                    c.snapshot() != null ? c.snapshot() : saved.snapshot(),
                    entries);
        }

        /** Entries added, agreed, taken back, folded. */
        Change next(Random random) {
            long term = saved.currentTerm() + (random.nextInt(4) == 0 ? 1 : 0);
            long commit = saved.commitIndex() + random.nextInt((int) (last() - saved.commitIndex()) + 1);
            long from = term > saved.currentTerm() && last() > commit && random.nextBoolean() ? commit + 1 : 0;
            long base = saved.snapshot() == null ? 0 : saved.snapshot().index();
            Snapshot fold = null;
            if (commit > base + 6 && random.nextInt(3) == 0) {
                fold = new Snapshot(
                        commit,
                        saved.entries().get((int) (commit - base) - 1).term(),
                        List.of("m", "n"),
                        text(random, 9000));
            }
            List<LogEntry> append = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                append.add(new LogEntry((from > 0 ? from : last() + 1) + append.size(), term, text(random, 3000)));
            }
            return new Change(term, "v" + random.nextInt(3), commit, from, append, fold);
        }

        private static String text(Random random, int most) {
            return Integer.toString(random.nextInt(1 << 30), 36).repeat(1 + random.nextInt(most / 6));
        }
    }

    /**
     * A write goes to the log: first its head, if it begins anew, and a sync; then the rest, and a sync. Only then, now
     * and then, pages go to the database, and a sync. (Traced; see docs/control.md.)
     */
    private static Moment during(Moment before, Moment after, Random random) {
        byte[] oldLog = before.now.get(WAL);
        byte[] newLog = after.now.get(WAL);
        byte[] head = oldLog.clone();
        boolean anew = newLog.length >= 32 && !Arrays.equals(Arrays.copyOf(oldLog, 32), Arrays.copyOf(newLog, 32));
        if (anew) {
            head = Arrays.copyOf(head, Math.max(32, head.length));
            System.arraycopy(newLog, 0, head, 0, 32);
        }
        byte[] oldDb = before.now.get(DB);
        byte[] newDb = after.now.get(DB);
        int step = (anew ? 0 : 1) + random.nextInt((Arrays.equals(oldDb, newDb) ? 2 : 3) - (anew ? 0 : 1));
        return switch (step) {
            case 0 -> new Moment(Map.of(DB, oldDb, WAL, head), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, oldLog));
            case 1 -> new Moment(Map.of(DB, oldDb, WAL, newLog), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, head));
            default -> new Moment(Map.of(DB, newDb, WAL, newLog), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, newLog));
        };
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aLossOfPowerLeavesWhatWasAcknowledged(long seed) throws Exception {
        Random random = new Random(seed);
        Recorder disk = new Recorder(dir);
        SqliteDurableStore v = vault(disk, log);
        assertNull(v.load());
        Model model = new Model();
        v.initialize("abc", model.saved.entries());
        for (Moment m : disk.moments) {
            for (int i = 0; i < 4; i++) {
                Seen seen = open(m.lose(random));
                assertTrue(seen.saved == null && !seen.setAside || seen.equals(model.seen()), seen::toString);
            }
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(model.seen(), open(disk.moment().lose(random)), "it was founded");
        }
        sql(v.files.connection, "PRAGMA wal_autocheckpoint=12");
        Moment before = disk.acknowledged();
        int moved = 0;
        int begun = 0;
        int lost = 0;
        int there = 0;
        for (int step = 0; step < 40; step++) {
            Seen old = model.seen();
            if (random.nextInt(4) == 0) {
                List<StoredRegister> words = List.of(
                        new StoredRegister("r" + step, "1.a", "1.a", Model.text(random, 900)),
                        new StoredRegister("", null, null, "7"));
                model.kept.addAll(words);
                keep(v, words);
            } else {
                Change c = model.next(random);
                model.take(c);
                save(v, c);
            }
            Moment after = disk.acknowledged();
            moved += Arrays.equals(before.now.get(DB), after.now.get(DB)) ? 0 : 1;
            begun += Arrays.equals(Arrays.copyOf(before.now.get(WAL), 32), Arrays.copyOf(after.now.get(WAL), 32))
                    ? 0
                    : 1;
            for (int i = 0; i < 4; i++) {
                Seen seen = open(during(before, after, random).lose(random));
                lost += seen.equals(old) ? 1 : 0;
                there += seen.equals(model.seen()) ? 1 : 0;
                assertTrue(seen.equals(old) || seen.equals(model.seen()), () -> "neither before nor after: " + seen);
            }
            assertEquals(model.seen(), open(after.lose(random)), "it was acknowledged");
            if (step % 4 == 0) {
                killedThenDark(before, after, random, Set.of(old, model.seen()));
            }
            before = after;
        }
        v.close();
        assertTrue(moved > 3 && begun > 3, "pages were moved " + moved + " times, the log begun " + begun);
        assertTrue(lost > 20 && there > 20, lost + " writes lost, " + there + " there");
        assertEquals(model.seen(), open(read(dir)));
    }

    /** The process is killed before its sync; the next one reads what was written, tells it, and loses power. */
    private void killedThenDark(Moment before, Moment after, Random random, Set<Seen> may) throws Exception {
        Path at = Files.createDirectory(dir.resolveSibling(dir.getFileName() + "-killed" + images++));
        Files.write(at.resolve(DB), before.now.get(DB));
        Files.write(at.resolve(WAL), after.now.get(WAL));
        Recorder disk = new Recorder(at);
        disk.names.add(DB);
        disk.synced.putAll(before.synced);
        SqliteDurableStore v = vault(disk, log);
        Seen told = new Seen(v.load(), v.loadRegisters(), v.hasQuarantinedDatabase());
        assertTrue(may.contains(told));
        for (int i = 0; i < 3; i++) {
            assertEquals(told, open(disk.moment().lose(random)), "it was told after a start");
        }
        v.close();
    }

    @Test
    void thisOrderOfSyncsIsTheOneThatWasTraced() throws Exception {
        Files.write(dir.resolve(DB), whole);
        SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
        Map<String, String> wanted = Map.of(
                "PRAGMA synchronous",
                "2",
                "PRAGMA journal_mode",
                "wal",
                "PRAGMA locking_mode",
                "exclusive",
                "SELECT sqlite_version()",
                "3.49.1",
                "PRAGMA application_id",
                "" + SqliteDatabaseFiles.APPLICATION_ID,
                "PRAGMA user_version",
                "1");
        for (Map.Entry<String, String> w : wanted.entrySet()) {
            try (Statement s = v.files.connection.createStatement();
                    ResultSet r = s.executeQuery(w.getKey())) {
                assertEquals(w.getValue(), r.getString(1), w.getKey());
            }
        }
        v.close();
    }

    @Test
    void theVaultKeepsWhatItSaid() throws Exception {
        SqliteDurableStore v =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        assertNull(v.load());
        v.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        CountDownLatch done = new CountDownLatch(3);
        v.save(
                new Change(3, "x", 1, 0, List.of(new LogEntry(2, 3, "two"), new LogEntry(3, 3, "three")), null),
                done::countDown);
        v.save(new Change(4, null, 2, 3, List.of(new LogEntry(3, 4, "other")), null), done::countDown);
        v.save(new Change(4, "y", 2, 0, List.of(), new Snapshot(2, 3, List.of("m"), "{}")), done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
        v.close();
        SqliteDurableStore again =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        PersistentState s = again.load();
        assertEquals(
                new PersistentState(
                        "abc", 4, "y", 2, new Snapshot(2, 3, List.of("m"), "{}"), List.of(new LogEntry(3, 4, "other"))),
                s);
        again.close();
    }

    /** SQLite rolls back by itself after some errors, a full disk among them, and not after others. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "PRAGMA max_page_count=5|PRAGMA max_page_count=100000",
                "CREATE TEMP TRIGGER t BEFORE INSERT ON log BEGIN SELECT RAISE(ABORT, 'no'); END|DROP TRIGGER t"
            })
    void afterAFailedWriteWritesHoldAgain(String fails, String holds) throws Exception {
        CountDownLatch done = new CountDownLatch(2);
        SqliteDurableStore[] vault = new SqliteDurableStore[1];
        List<String> paused = new ArrayList<>();
        SqliteDurableStore v = new SqliteDurableStore(
                new SyncedDirectory(dir), Runnable::run, System::nanoTime, EventLog.silent(), () -> {}, () -> {
                    paused.add(done.getCount() + " waiting, failing: " + vault[0].isFailing());
                    if (paused.size() == 3) {
                        try {
                            sql(vault[0].files.connection, holds);
                        } catch (SQLException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        vault[0] = v;
        v.initialize("abc", List.of());
        sql(v.files.connection, fails);
        v.save(new Change(1, "x", 0, 0, List.of(new LogEntry(1, 1, "long ".repeat(10_000))), null), done::countDown);
        v.save(new Change(2, "y", 1, 0, List.of(new LogEntry(2, 2, "short")), null), done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS), "writes hold again by themselves");
        assertEquals(
                List.of("2 waiting, failing: true", "2 waiting, failing: true", "2 waiting, failing: true"),
                paused,
                "nothing counts as durable while writes fail");
        assertFalse(v.isFailing());
        v.close();
        SqliteDurableStore again =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        assertEquals(2, again.load().currentTerm());
        assertEquals(2, again.load().entries().size());
        again.close();
    }

    // ---- lost disks

    private static final List<LogEntry> ENTRIES =
            List.of(new LogEntry(2, 1, "two"), new LogEntry(3, 2, "three".repeat(2000)), new LogEntry(4, 2, "four"));

    private static byte[] whole;

    /** A store with something of everything, all of it acknowledged, and closed. */
    @BeforeAll
    static void found(@TempDir Path at) throws Exception {
        SqliteDurableStore v = vault(new SyncedDirectory(at), EventLog.silent());
        v.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(v, new Change(2, "x", 3, 0, ENTRIES, null));
        keep(v, List.of(new StoredRegister("r", "1.a", "1.a", "v")));
        v.close();
        assertEquals(Set.of(DB), read(at).keySet());
        whole = Files.readAllBytes(at.resolve(DB));
    }

    private interface Damage {
        void to(Path db) throws Exception;
    }

    private static Damage words(String... words) {
        return db -> {
            try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + db)) {
                sql(c, words);
            }
        };
    }

    private static Damage bytes(Consumer<byte[]> change) {
        return db -> {
            byte[] all = Files.readAllBytes(db);
            change.accept(all);
            Files.write(db, all);
        };
    }

    private enum Loss {
        NO_DATABASE(db -> Files.writeString(db, "a letter to the operator ".repeat(400))),
        HEAD_GONE(bytes(b -> Arrays.fill(b, 0, SECTOR, (byte) 0))),
        PAGES_GONE(bytes(b -> Arrays.fill(b, 4096, b.length, (byte) 0))),
        A_SECTOR_GONE(bytes(b -> Arrays.fill(b, b.length - SECTOR, b.length, (byte) 0))),
        FREE_PAGES_AMISS(bytes(b -> b[39] = 50)),
        CUT_SHORT(db -> Files.write(db, Arrays.copyOf(Files.readAllBytes(db), 3 * 4096))),
        CUT_WITHIN_A_PAGE(db -> Files.write(db, Arrays.copyOf(Files.readAllBytes(db), 4096 + 100))),
        NOTHING_BUT_A_LOG(db -> Files.move(db, db.resolveSibling(WAL))),
        EMPTY_BESIDE_A_LOG(db -> {
            Files.move(db, db.resolveSibling(WAL));
            Files.createFile(db);
        }),
        OF_ANOTHER(words("PRAGMA application_id=77")),
        OF_ANOTHER_UNMARKED(words("CREATE TABLE notes(x)", "PRAGMA application_id=0", "PRAGMA user_version=0")),
        OF_ANOTHER_WITH_A_LOG(words(
                "DROP TABLE self",
                "DROP TABLE snapshot",
                "DROP TABLE register",
                "DROP TABLE log",
                "CREATE TABLE log(line TEXT)",
                "INSERT INTO log VALUES('x')",
                "PRAGMA application_id=0",
                "PRAGMA user_version=0")),
        NEWER(words("PRAGMA user_version=2")),
        HALF_THERE(words("DELETE FROM self")),
        HALF_THERE_UNMARKED(words("DELETE FROM self", "PRAGMA application_id=0", "PRAGMA user_version=0")),
        A_TABLE_GONE(words("DROP TABLE register")),
        A_COLUMN_GONE(words("ALTER TABLE register DROP COLUMN value")),
        A_GAP(words("DELETE FROM log WHERE idx=2")),
        AGREED_GONE(words("DELETE FROM log WHERE idx>2")),
        ENTRY_TORN(words("UPDATE log SET data='other' WHERE idx=4")),
        ENTRY_OF_ANOTHER_PLACE(words(
                "DELETE FROM log WHERE idx=2", "UPDATE log SET idx=2 WHERE idx=4", "DELETE FROM log WHERE idx=3")),
        TERMS_GO_BACK(
                words("UPDATE log SET term=0, sum=" + SqliteDatabaseFiles.checksum(4, 0, "four") + " WHERE idx=4")),
        TERM_TO_COME(
                words("UPDATE log SET term=9, sum=" + SqliteDatabaseFiles.checksum(4, 9, "four") + " WHERE idx=4")),
        VOTE_TORN(words("UPDATE self SET vote=NULL")),
        WORD_TORN(words("UPDATE register SET promised=NULL")),
        SNAPSHOT_TORN(words("INSERT INTO snapshot VALUES(1,1,0,'[]','{}',1)"));

        private final Damage damage;

        Loss(Damage damage) {
            this.damage = damage;
        }
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void aDamagedStoreIsALostDisk(Loss loss) throws Exception {
        Files.write(dir.resolve(DB), whole);
        loss.damage.to(dir.resolve(DB));
        String lost = Files.exists(dir.resolve(DB)) && Files.size(dir.resolve(DB)) > 0
                ? "helm.db.aside-1"
                : "helm.db.aside-1-wal";
        byte[] held = Files.readAllBytes(dir.resolve(lost.endsWith("wal") ? WAL : DB));
        for (int start = 0; start < 2; start++) {
            SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
            assertNull(v.load(), "never a part of it");
            assertEquals(List.of(), v.loadRegisters());
            assertTrue(v.hasQuarantinedDatabase());
            v.close();
        }
        assertTrue(
                said.toString()
                        .contains("ERROR B503 STORE_QUARANTINED node=n path=" + dir.resolve("helm.db.aside-1")
                                + " cause="),
                said::toString);
        assertEquals(1, said.toString().split("B503", -1).length - 1, "said once");
        assertTrue(Arrays.equals(held, Files.readAllBytes(dir.resolve(lost))), "as it was found");
        SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
        v.initialize("new", List.of());
        save(v, new Change(5, null, 0, 0, List.of(new LogEntry(1, 5, "anew")), null));
        v.close();
        v = vault(new SyncedDirectory(dir), log);
        assertEquals(new PersistentState("new", 5, null, 0, null, List.of(new LogEntry(1, 5, "anew"))), v.load());
        assertTrue(v.hasQuarantinedDatabase(), "and is remembered");
        v.close();
    }

    @Test
    void fewLostStoresAreKept() throws Exception {
        for (int i = 1; i < 5; i++) {
            Loss.NO_DATABASE.damage.to(dir.resolve(DB));
            Files.writeString(dir.resolve(WAL), "nor a log");
            vault(new SyncedDirectory(dir), log).close();
        }
        assertEquals(
                Set.of("helm.db.aside-3", "helm.db.aside-3-wal", "helm.db.aside-4", "helm.db.aside-4-wal"),
                read(dir).keySet());
    }

    /** Breaks an open store: its table of tables is unreadable from now on, and what is on the disk is as it was. */
    private static void ruin(SqliteDurableStore v) throws SQLException {
        sql(
                v.files.connection,
                "PRAGMA writable_schema=ON",
                "BEGIN",
                "UPDATE sqlite_schema SET rootpage=rootpage+90000 WHERE name IN('self','log')",
                "COMMIT",
                "PRAGMA writable_schema=RESET");
    }

    @Test
    void aStoreFoundDamagedLaterIsUsedNoMore() throws Exception {
        CountDownLatch broken = new CountDownLatch(1);
        Recorder disk = new Recorder(dir);
        SqliteDurableStore v =
                new SqliteDurableStore(disk, Runnable::run, System::nanoTime, log, broken::countDown, () -> {});
        v.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(v, new Change(2, "x", 3, 0, ENTRIES, null));
        PersistentState latest = new PersistentState(
                "abc",
                2,
                "x",
                3,
                null,
                Stream.concat(Stream.of(new LogEntry(1, 0, "first")), ENTRIES.stream())
                        .toList());
        Moment whole = disk.acknowledged();
        ruin(v);
        // On the disk it is whole, so that any older state of it would pass for one.
        Files.write(dir.resolve(WAL), whole.now.get(WAL));
        disk.acknowledged();
        disk.moments.clear();
        v.save(new Change(3, "y", 4, 0, List.of(), null), () -> said.writeBytes("acknowledged".getBytes()));
        assertTrue(broken.await(120, TimeUnit.SECONDS));
        assertTrue(v.isFailing(), "no vote and no lead from here on");
        v.save(new Change(4, "y", 4, 0, List.of(), null), () -> said.writeBytes("acknowledged".getBytes()));
        v.close();
        assertFalse(said.toString().contains("acknowledged"));
        assertTrue(said.toString().contains("B503"), said::toString);
        Seen aside = new Seen(null, List.of(), true);
        Random random = new Random(1);
        assertTrue(disk.moments.size() > 3);
        for (Moment m : disk.moments) {
            for (int i = 0; i < 8; i++) {
                Seen seen = open(m.lose(random));
                assertTrue(
                        seen.equals(aside) || seen.saved != null && seen.saved.equals(latest),
                        () -> "an old state of it: " + seen);
            }
        }
        disk.moments.clear();
        v = vault(disk, log);
        assertEquals(aside, new Seen(v.load(), v.loadRegisters(), v.hasQuarantinedDatabase()));
        v.initialize("new", List.of());
        Seen anew = new Seen(new PersistentState("new", 0, null, 0, null, List.of()), List.of(), true);
        for (Moment m : disk.moments) {
            for (int i = 0; i < 8; i++) {
                Seen seen = open(m.lose(random));
                assertTrue(seen.equals(aside) || seen.equals(anew), seen::toString);
            }
        }
        assertEquals(anew, open(disk.moment().lose(random)));
        v.close();
    }

    @Test
    void aFounderThatLostItsStoreDoesNotFoundAgain() throws Exception {
        Settings settings = Settings.parse("""
                node = "helm-1"
                machineClass = "core"
                ip = "10.0.0.1"
                zone = "a"
                portRange = [7000, 7010]
                seedPeers = ["10.0.0.1:8000", "10.0.0.2:8000", "10.0.0.3:8000"]
                bootstrap = true
                dataDir = "/none"
                target = "desk"
                [zones]
                a = "r"
                [listeners]
                control = "10.0.0.1:8000"
                [limits]
                memoryMb = 0
                """ + SimMesh.BOUNDS, "test");
        SimWorld.Machine m = new SimWorld(1).machine(settings.peerAddress());
        for (String wanted : List.of(RaftNode.FOUNDER_INCARNATION, RaftNode.FOUNDER_INCARNATION, "fresh")) {
            SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
            ControllerNode core = new ControllerNode(settings, v, "fresh", m, m, null, EventLog.silent());
            assertTrue(core.raft.localId().endsWith("#" + wanted), core.raft.localId());
            v.close();
            if (said.toString().contains("again")) {
                Loss.HEAD_GONE.damage.to(dir.resolve(DB));
            }
            said.writeBytes("again".getBytes());
        }
    }

    // ---- disks that do not work for a while

    @ParameterizedTest
    @CsvSource({
        "SQLITE_CORRUPT, true",
        "SQLITE_CORRUPT_INDEX, true",
        "SQLITE_NOTADB, true",
        "SQLITE_FORMAT, true",
        "SQLITE_IOERR_SHORT_READ, true",
        "SQLITE_IOERR, false",
        "SQLITE_IOERR_READ, false",
        "SQLITE_IOERR_FSYNC, false",
        "SQLITE_FULL, false",
        "SQLITE_CANTOPEN, false",
        "SQLITE_BUSY, false",
        "SQLITE_LOCKED, false",
        "SQLITE_READONLY, false",
        "SQLITE_READONLY_DBMOVED, false",
        "SQLITE_PERM, false",
        "SQLITE_NOMEM, false",
        "SQLITE_PROTOCOL, false",
        "SQLITE_ERROR, false"
    })
    void onlyDamageMakesADiskLost(SQLiteErrorCode code, boolean lost) {
        assertEquals(lost, SqliteDatabaseFiles.isUnusable(new SQLiteException("x", code)));
    }

    private enum Hitch {
        NO_FOLDER,
        LOCKED,
        FOLDER_IN_ITS_PLACE,
        FULL_FOR_THE_LOG,
        FULL_FOR_NAMES,
        NO_SYNC,
        FULL_WHILE_FOUNDING
    }

    @ParameterizedTest
    @EnumSource(Hitch.class)
    void aStartWaitsForADiskThatDoesNotWork(Hitch hitch) throws Exception {
        boolean founds = hitch == Hitch.FULL_WHILE_FOUNDING || hitch == Hitch.FULL_FOR_NAMES;
        if (!founds) {
            Files.write(dir.resolve(DB), whole);
        }
        Path away = dir.resolveSibling(dir.getFileName() + "-away");
        Connection other = null;
        switch (hitch) {
            case NO_FOLDER -> Files.move(dir, away);
            case LOCKED -> {
                other = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(DB));
                sql(other, "PRAGMA locking_mode=EXCLUSIVE", "BEGIN EXCLUSIVE");
            }
            case FOLDER_IN_ITS_PLACE -> {
                Files.move(dir.resolve(DB), away);
                Files.createDirectory(dir.resolve(DB));
            }
            default -> {}
        }
        boolean[] works = new boolean[1];
        SyncedDirectory folder = new SyncedDirectory(dir) {
            private void check(Hitch at) throws IOException {
                if (hitch == at && !works[0]) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            void createIfAbsent(String name) throws IOException {
                check(Hitch.FULL_FOR_THE_LOG);
                super.createIfAbsent(name);
            }

            @Override
            void move(String from, String to) throws IOException {
                check(Hitch.FULL_FOR_NAMES);
                super.move(from, to);
            }

            @Override
            void sync(String name) throws IOException {
                check(Hitch.FULL_WHILE_FOUNDING);
                super.sync(name);
            }

            @Override
            void sync() throws IOException {
                check(Hitch.NO_SYNC);
                super.sync();
            }
        };
        int[] pauses = new int[1];
        Connection holder = other;
        SqliteDurableStore v = new SqliteDurableStore(folder, Runnable::run, System::nanoTime, log, () -> {}, () -> {
            if (++pauses[0] < 3) {
                return;
            }
            works[0] = true;
            try {
                switch (hitch) {
                    case NO_FOLDER -> Files.move(away, dir);
                    case LOCKED -> holder.close();
                    case FOLDER_IN_ITS_PLACE -> {
                        Files.delete(dir.resolve(DB));
                        Files.move(away, dir.resolve(DB));
                    }
                    default -> {}
                }
            } catch (IOException | SQLException e) {
                throw new AssertionError(e);
            }
        });
        if (founds) {
            assertNull(v.load());
            v.initialize("abc", List.of());
        }
        assertEquals(3, pauses[0]);
        assertEquals("abc", v.load().incarnation());
        assertEquals(founds ? 0 : 4, v.load().entries().size());
        assertFalse(v.hasQuarantinedDatabase());
        v.close();
        assertEquals(
                "B501 B502",
                said.toString().replaceAll("(?s).*?(B50\\d)[^\\n]*\\n", "$1 ").trim(),
                said::toString);
    }

    // ---- the form before marks and sums

    private static final String[] UNMARKED = {
        "CREATE TABLE self(id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT, agreed INTEGER)",
        "CREATE TABLE log(idx INTEGER PRIMARY KEY, term INTEGER, data TEXT)",
        "CREATE TABLE register(seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT)",
        "CREATE TABLE snapshot(id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT)"
    };

    @Test
    void theUnmarkedFormIsTakenOver() throws Exception {
        words(UNMARKED).to(dir.resolve(DB));
        words(
                        "PRAGMA journal_mode=WAL",
                        "INSERT INTO self VALUES(1,'abc',3,NULL,8)",
                        "INSERT INTO snapshot VALUES(1,7,2,'[\"m\"]','{\"ä\":1}')",
                        "INSERT INTO log VALUES(8,3,'eight')",
                        "INSERT INTO register VALUES(5,'r','2.b',NULL,NULL)")
                .to(dir.resolve(DB));
        for (int start = 0; start < 2; start++) {
            SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
            assertEquals(
                    new PersistentState(
                            "abc",
                            3,
                            null,
                            8,
                            new Snapshot(7, 2, List.of("m"), "{\"ä\":1}"),
                            List.of(new LogEntry(8, 3, "eight"))),
                    v.load());
            assertEquals(List.of(new StoredRegister("r", "2.b", null, null)), v.loadRegisters());
            assertFalse(v.hasQuarantinedDatabase());
            v.close();
        }
        SqliteDurableStore v = vault(new SyncedDirectory(dir), log);
        assertThrows(IllegalStateException.class, () -> v.initialize("other", List.of()));
        keep(v, List.of(new StoredRegister("s", "1.a", null, null)));
        save(v, new Change(4, "y", 8, 0, List.of(new LogEntry(9, 4, "nine")), null));
        v.close();
        SqliteDurableStore again = vault(new SyncedDirectory(dir), log);
        assertEquals(
                List.of("r", "s"),
                again.loadRegisters().stream().map(StoredRegister::registerId).toList(),
                "numbers go on from the newest");
        assertEquals(9, again.load().entries().get(1).index());
        again.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4})
    void anUnmarkedFoundingThatWasNotEndedIsAnEmptyDisk(int tables) throws Exception {
        Files.createFile(dir.resolve(DB));
        Map<String, byte[]> left;
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(DB))) {
            sql(c, "PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=WAL");
            sql(c, Arrays.copyOf(UNMARKED, tables));
            left = read(dir);
        }
        Recorder disk = new Recorder(dir);
        for (Map.Entry<String, byte[]> f : left.entrySet()) {
            Files.write(dir.resolve(f.getKey()), f.getValue());
            disk.synced.put(f.getKey(), f.getValue());
            disk.names.add(f.getKey());
        }
        SqliteDurableStore v = vault(disk, log);
        Seen empty = new Seen(null, List.of(), false);
        assertEquals(empty, new Seen(v.load(), v.loadRegisters(), v.hasQuarantinedDatabase()));
        v.initialize("abc", List.of());
        Seen founded = new Seen(new PersistentState("abc", 0, null, 0, null, List.of()), List.of(), false);
        Random random = new Random(tables);
        for (Moment m : disk.moments) {
            for (int i = 0; i < 4; i++) {
                Seen seen = open(m.lose(random));
                assertTrue(seen.equals(empty) || seen.equals(founded), seen::toString);
            }
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(founded, open(disk.moment().lose(random)));
        }
        v.close();
    }
}
