package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
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
class SqliteDurableStoreTest {
    private static final String DB = SqliteDatabaseFiles.DATABASE;
    private static final String WAL = DB + "-wal";
    /** What a disk writes whole or not at all, nearly. */
    private static final int SECTOR = 512;

    @TempDir
    Path dir;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("n", new PrintStream(logOutput, true), EventLog.Level.INFO);
    private int imageCount;

    // ---- a disk that may lose power

    /** All that a disk holds. */
    private static Map<String, byte[]> read(Path directory) throws IOException {
        Map<String, byte[]> contents = new TreeMap<>();
        try (Stream<Path> all = Files.list(directory)) {
            for (Path p : all.toList()) {
                contents.put(p.getFileName().toString(), Files.readAllBytes(p));
            }
        }
        return contents;
    }

    /** What is on the disk at a moment, and what of it would outlast a loss of power for sure. */
    private record DiskState(Map<String, byte[]> files, Set<String> names, Map<String, byte[]> synced) {
        /** One of the states that a loss of power may leave. */
        Map<String, byte[]> afterPowerLoss(Random random) {
            Map<String, byte[]> remaining = new TreeMap<>();
            Set<String> fileNames = new TreeSet<>(files.keySet());
            fileNames.addAll(names);
            for (String fileName : fileNames) {
                if (files.containsKey(fileName) && names.contains(fileName) || random.nextBoolean()) {
                    byte[] syncedContent = synced.getOrDefault(fileName, new byte[0]);
                    remaining.put(
                            fileName,
                            files.containsKey(fileName)
                                    ? tornWrite(syncedContent, files.get(fileName), random)
                                    : syncedContent);
                }
            }
            return remaining;
        }
    }

    /** Of what was written since, each sector is there, missing, or torn; and so is the length of the file. */
    private static byte[] tornWrite(byte[] syncedContent, byte[] writtenContent, Random random) {
        if (Arrays.equals(syncedContent, writtenContent)) {
            return writtenContent;
        }
        int keepMode = random.nextInt(4);
        int length = random.nextBoolean()
                ? writtenContent.length
                : Math.min(syncedContent.length, writtenContent.length)
                        + random.nextInt(Math.abs(syncedContent.length - writtenContent.length) + 1);
        byte[] result = Arrays.copyOf(syncedContent, length);
        for (int sectorStart = 0; sectorStart < length; sectorStart += SECTOR) {
            int sectorEnd = Math.min(length, sectorStart + SECTOR);
            // Mostly there, mostly missing, or either; and now and then torn.
            boolean isWritten = keepMode == 0
                    ? random.nextInt(20) > 0
                    : keepMode == 1 ? random.nextInt(20) == 0 : random.nextBoolean();
            int writtenEnd = random.nextInt(10) == 0
                    ? sectorStart + random.nextInt(sectorEnd - sectorStart)
                    : isWritten ? sectorEnd : sectorStart;
            if (writtenEnd > sectorStart && sectorStart < writtenContent.length) {
                System.arraycopy(
                        writtenContent,
                        sectorStart,
                        result,
                        sectorStart,
                        Math.min(writtenEnd, writtenContent.length) - sectorStart);
            }
        }
        return result;
    }

    /** The real folder, which also knows what has been synced, and keeps the moment after each of its steps. */
    private static final class RecordingDirectory extends SyncedDirectory {
        private final List<DiskState> states = new ArrayList<>();
        private final Map<String, byte[]> synced = new TreeMap<>();
        private final Set<String> names = new HashSet<>();

        RecordingDirectory(Path path) {
            super(path);
        }

        DiskState state() throws IOException {
            return new DiskState(read(path), Set.copyOf(names), Map.copyOf(synced));
        }

        private void recordState() throws IOException {
            states.add(state());
        }

        /** After an acknowledgement: SQLite has synced both of its files. */
        DiskState markSynced() throws IOException {
            Map<String, byte[]> currentFiles = read(path);
            synced.put(DB, currentFiles.get(DB));
            synced.put(WAL, currentFiles.get(WAL));
            return state();
        }

        @Override
        void createIfAbsent(String name) throws IOException {
            super.createIfAbsent(name);
            recordState();
        }

        @Override
        void move(String from, String to) throws IOException {
            super.move(from, to);
            if (synced.containsKey(from)) {
                synced.put(to, synced.get(from));
            }
            recordState();
        }

        @Override
        void remove(String name) throws IOException {
            super.remove(name);
            recordState();
        }

        @Override
        void sync(String name) throws IOException {
            recordState();
            super.sync(name);
            synced.put(name, Files.readAllBytes(path.resolve(name)));
            recordState();
        }

        @Override
        void sync() throws IOException {
            recordState();
            super.sync();
            names.clear();
            names.addAll(names());
            synced.keySet().retainAll(names);
            recordState();
        }
    }

    /** A folder whose syncs cost nothing: an image is only looked at. */
    private static final class DirectoryImage extends SyncedDirectory {
        DirectoryImage(Path path) {
            super(path);
        }

        @Override
        void sync(String name) {}

        @Override
        void sync() {}
    }

    private record StoreContents(PersistentState saved, List<StoredRegister> registers, boolean isSetAside) {}

    /** Opens a disk that holds this. */
    private StoreContents open(Map<String, byte[]> files) throws Exception {
        Path path = Files.createDirectory(dir.resolveSibling(dir.getFileName() + "-image" + imageCount++));
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(path.resolve(file.getKey()), file.getValue());
        }
        SqliteDurableStore store = openStore(new DirectoryImage(path), EventLog.silent());
        StoreContents contents = new StoreContents(store.load(), store.loadRegisters(), store.hasQuarantinedDatabase());
        if (store.files.connection != null) {
            sql(store.files.connection, "PRAGMA synchronous=OFF");
        }
        store.close();
        for (String n : read(path).keySet()) {
            Files.delete(path.resolve(n));
        }
        Files.delete(path);
        return contents;
    }

    private static SqliteDurableStore openStore(SyncedDirectory folder, EventLog log) {
        return new SqliteDurableStore(folder, Runnable::run, System::nanoTime, log, () -> {}, () -> {
            throw new AssertionError("it waits");
        });
    }

    private static void sql(Connection connection, String... statements) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            for (String sqlText : statements) {
                statement.execute(sqlText);
            }
        }
    }

    private static void save(SqliteDurableStore store, Change change) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.save(change, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    private static void saveRegisters(SqliteDurableStore store, List<StoredRegister> registers)
            throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.saveRegisters(registers, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    /** What a store that did all this must hold. */
    private static final class ExpectedStore {
        private PersistentState saved =
                new PersistentState("abc", 0, null, 0, null, List.of(new LogEntry(1, 0, "first")));
        private final List<StoredRegister> registers = new ArrayList<>();

        StoreContents contents() {
            return new StoreContents(saved, List.copyOf(registers), false);
        }

        long lastIndex() {
            return saved.entries().isEmpty()
                    ? saved.snapshot().index()
                    : saved.entries().get(saved.entries().size() - 1).index();
        }

        void apply(Change change) {
            List<LogEntry> entries = new ArrayList<>(saved.entries());
            if (change.truncateFrom() > 0) {
                entries.removeIf(e -> e.index() >= change.truncateFrom());
            }
            if (change.snapshot() != null) {
                entries.removeIf(e -> e.index() <= change.snapshot().index());
            }
            entries.addAll(change.appendedEntries());
            saved = new PersistentState(
                    "abc",
                    change.currentTerm(),
                    change.votedFor(),
                    change.commitIndex(),
                    change.snapshot() != null ? change.snapshot() : saved.snapshot(),
                    entries);
        }

        /** Entries added, agreed, taken back, folded. */
        Change nextChange(Random random) {
            long term = saved.currentTerm() + (random.nextInt(4) == 0 ? 1 : 0);
            long commit = saved.commitIndex() + random.nextInt((int) (lastIndex() - saved.commitIndex()) + 1);
            long truncateFrom =
                    term > saved.currentTerm() && lastIndex() > commit && random.nextBoolean() ? commit + 1 : 0;
            long snapshotIndex = saved.snapshot() == null ? 0 : saved.snapshot().index();
            Snapshot snapshot = null;
            if (commit > snapshotIndex + 6 && random.nextInt(3) == 0) {
                snapshot = new Snapshot(
                        commit,
                        saved.entries().get((int) (commit - snapshotIndex) - 1).term(),
                        List.of("m", "n"),
                        randomText(random, 9000));
            }
            List<LogEntry> append = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                append.add(new LogEntry(
                        (truncateFrom > 0 ? truncateFrom : lastIndex() + 1) + append.size(),
                        term,
                        randomText(random, 3000)));
            }
            return new Change(term, "v" + random.nextInt(3), commit, truncateFrom, append, snapshot);
        }

        private static String randomText(Random random, int maxLength) {
            return Integer.toString(random.nextInt(1 << 30), 36).repeat(1 + random.nextInt(maxLength / 6));
        }
    }

    /**
     * A write goes to the log: first its head, if it begins anew, and a sync; then the rest, and a sync. Only then, now
     * and then, pages go to the database, and a sync. (Traced; see docs/control.md.)
     */
    private static DiskState stateDuringWrite(DiskState before, DiskState after, Random random) {
        byte[] oldLog = before.files.get(WAL);
        byte[] newLog = after.files.get(WAL);
        byte[] logAfterHead = oldLog.clone();
        boolean restartsLog =
                newLog.length >= 32 && !Arrays.equals(Arrays.copyOf(oldLog, 32), Arrays.copyOf(newLog, 32));
        if (restartsLog) {
            logAfterHead = Arrays.copyOf(logAfterHead, Math.max(32, logAfterHead.length));
            System.arraycopy(newLog, 0, logAfterHead, 0, 32);
        }
        byte[] oldDb = before.files.get(DB);
        byte[] newDb = after.files.get(DB);
        int step =
                (restartsLog ? 0 : 1) + random.nextInt((Arrays.equals(oldDb, newDb) ? 2 : 3) - (restartsLog ? 0 : 1));
        return switch (step) {
            case 0 ->
                new DiskState(Map.of(DB, oldDb, WAL, logAfterHead), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, oldLog));
            case 1 ->
                new DiskState(Map.of(DB, oldDb, WAL, newLog), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, logAfterHead));
            default -> new DiskState(Map.of(DB, newDb, WAL, newLog), Set.of(DB, WAL), Map.of(DB, oldDb, WAL, newLog));
        };
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void acknowledgedWritesSurvivePowerLoss(long seed) throws Exception {
        Random random = new Random(seed);
        RecordingDirectory disk = new RecordingDirectory(dir);
        SqliteDurableStore store = openStore(disk, log);
        assertNull(store.load());
        ExpectedStore expected = new ExpectedStore();
        store.initialize("abc", expected.saved.entries());
        for (DiskState state : disk.states) {
            for (int i = 0; i < 4; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(
                        contents.saved == null && !contents.isSetAside || contents.equals(expected.contents()),
                        contents::toString);
            }
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(expected.contents(), open(disk.state().afterPowerLoss(random)), "it was founded");
        }
        sql(store.files.connection, "PRAGMA wal_autocheckpoint=12");
        DiskState before = disk.markSynced();
        int movedCount = 0;
        int restartedLogCount = 0;
        int lostCount = 0;
        int keptCount = 0;
        for (int step = 0; step < 40; step++) {
            StoreContents previous = expected.contents();
            if (random.nextInt(4) == 0) {
                List<StoredRegister> registers = List.of(
                        new StoredRegister("r" + step, "1.a", "1.a", ExpectedStore.randomText(random, 900)),
                        new StoredRegister("", null, null, "7"));
                expected.registers.addAll(registers);
                saveRegisters(store, registers);
            } else {
                Change change = expected.nextChange(random);
                expected.apply(change);
                save(store, change);
            }
            DiskState after = disk.markSynced();
            movedCount += Arrays.equals(before.files.get(DB), after.files.get(DB)) ? 0 : 1;
            restartedLogCount +=
                    Arrays.equals(Arrays.copyOf(before.files.get(WAL), 32), Arrays.copyOf(after.files.get(WAL), 32))
                            ? 0
                            : 1;
            for (int i = 0; i < 4; i++) {
                StoreContents contents =
                        open(stateDuringWrite(before, after, random).afterPowerLoss(random));
                lostCount += contents.equals(previous) ? 1 : 0;
                keptCount += contents.equals(expected.contents()) ? 1 : 0;
                assertTrue(
                        contents.equals(previous) || contents.equals(expected.contents()),
                        () -> "neither before nor after: " + contents);
            }
            assertEquals(expected.contents(), open(after.afterPowerLoss(random)), "it was acknowledged");
            if (step % 4 == 0) {
                assertKilledThenPowerLost(before, after, random, Set.of(previous, expected.contents()));
            }
            before = after;
        }
        store.close();
        assertTrue(
                movedCount > 3 && restartedLogCount > 3,
                "pages were moved " + movedCount + " times, the log begun " + restartedLogCount);
        assertTrue(lostCount > 20 && keptCount > 20, lostCount + " writes lost, " + keptCount + " there");
        assertEquals(expected.contents(), open(read(dir)));
    }

    /** The process is killed before its sync; the next one reads what was written, tells it, and loses power. */
    private void assertKilledThenPowerLost(DiskState before, DiskState after, Random random, Set<StoreContents> allowed)
            throws Exception {
        Path path = Files.createDirectory(dir.resolveSibling(dir.getFileName() + "-killed" + imageCount++));
        Files.write(path.resolve(DB), before.files.get(DB));
        Files.write(path.resolve(WAL), after.files.get(WAL));
        RecordingDirectory disk = new RecordingDirectory(path);
        disk.names.add(DB);
        disk.synced.putAll(before.synced);
        SqliteDurableStore store = openStore(disk, log);
        StoreContents loaded = new StoreContents(store.load(), store.loadRegisters(), store.hasQuarantinedDatabase());
        assertTrue(allowed.contains(loaded));
        for (int i = 0; i < 3; i++) {
            assertEquals(loaded, open(disk.state().afterPowerLoss(random)), "it was told after a start");
        }
        store.close();
    }

    @Test
    void sqliteSettingsMatchTracedSyncOrder() throws Exception {
        Files.write(dir.resolve(DB), referenceStore);
        SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
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
        for (Map.Entry<String, String> expected : wanted.entrySet()) {
            try (Statement statement = store.files.connection.createStatement();
                    ResultSet results = statement.executeQuery(expected.getKey())) {
                assertEquals(expected.getValue(), results.getString(1), expected.getKey());
            }
        }
        store.close();
    }

    @Test
    void acknowledgedStateIsLoadedAgain() throws Exception {
        SqliteDurableStore store =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        assertNull(store.load());
        store.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        CountDownLatch done = new CountDownLatch(3);
        store.save(
                new Change(3, "x", 1, 0, List.of(new LogEntry(2, 3, "two"), new LogEntry(3, 3, "three")), null),
                done::countDown);
        store.save(new Change(4, null, 2, 3, List.of(new LogEntry(3, 4, "other")), null), done::countDown);
        store.save(new Change(4, "y", 2, 0, List.of(), new Snapshot(2, 3, List.of("m"), "{}")), done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
        store.close();
        SqliteDurableStore reopened =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        PersistentState loaded = reopened.load();
        assertEquals(
                new PersistentState(
                        "abc", 4, "y", 2, new Snapshot(2, 3, List.of("m"), "{}"), List.of(new LogEntry(3, 4, "other"))),
                loaded);
        reopened.close();
    }

    /** SQLite rolls back by itself after some errors, a full disk among them, and not after others. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "PRAGMA max_page_count=5|PRAGMA max_page_count=100000",
                "CREATE TEMP TRIGGER t BEFORE INSERT ON log BEGIN SELECT RAISE(ABORT, 'no'); END|DROP TRIGGER t"
            })
    void writesAreDurableAgainAfterFailedWrite(String failingSql, String repairingSql) throws Exception {
        CountDownLatch done = new CountDownLatch(2);
        SqliteDurableStore[] storeHolder = new SqliteDurableStore[1];
        List<String> pauses = new ArrayList<>();
        SqliteDurableStore store = new SqliteDurableStore(
                new SyncedDirectory(dir), Runnable::run, System::nanoTime, EventLog.silent(), () -> {}, () -> {
                    pauses.add(done.getCount() + " waiting, failing: " + storeHolder[0].isFailing());
                    if (pauses.size() == 3) {
                        try {
                            sql(storeHolder[0].files.connection, repairingSql);
                        } catch (SQLException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        storeHolder[0] = store;
        store.initialize("abc", List.of());
        sql(store.files.connection, failingSql);
        store.save(
                new Change(1, "x", 0, 0, List.of(new LogEntry(1, 1, "long ".repeat(10_000))), null), done::countDown);
        store.save(new Change(2, "y", 1, 0, List.of(new LogEntry(2, 2, "short")), null), done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS), "writes hold again by themselves");
        assertEquals(
                List.of("2 waiting, failing: true", "2 waiting, failing: true", "2 waiting, failing: true"),
                pauses,
                "nothing counts as durable while writes fail");
        assertFalse(store.isFailing());
        store.close();
        SqliteDurableStore reopened =
                new SqliteDurableStore(dir.toString(), Runnable::run, System::nanoTime, EventLog.silent());
        assertEquals(2, reopened.load().currentTerm());
        assertEquals(2, reopened.load().entries().size());
        reopened.close();
    }

    // ---- lost disks

    private static final List<LogEntry> ENTRIES =
            List.of(new LogEntry(2, 1, "two"), new LogEntry(3, 2, "three".repeat(2000)), new LogEntry(4, 2, "four"));

    private static byte[] referenceStore;

    /** A store with something of everything, all of it acknowledged, and closed. */
    @BeforeAll
    static void createReferenceStore(@TempDir Path path) throws Exception {
        SqliteDurableStore store = openStore(new SyncedDirectory(path), EventLog.silent());
        store.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(store, new Change(2, "x", 3, 0, ENTRIES, null));
        saveRegisters(store, List.of(new StoredRegister("r", "1.a", "1.a", "v")));
        store.close();
        assertEquals(Set.of(DB), read(path).keySet());
        referenceStore = Files.readAllBytes(path.resolve(DB));
    }

    private interface Damage {
        void apply(Path db) throws Exception;
    }

    private static Damage sqlDamage(String... statements) {
        return db -> {
            try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + db)) {
                sql(connection, statements);
            }
        };
    }

    private static Damage byteDamage(Consumer<byte[]> edit) {
        return db -> {
            byte[] content = Files.readAllBytes(db);
            edit.accept(content);
            Files.write(db, content);
        };
    }

    private enum StoreDamage {
        NO_DATABASE(db -> Files.writeString(db, "a letter to the operator ".repeat(400))),
        HEAD_GONE(byteDamage(b -> Arrays.fill(b, 0, SECTOR, (byte) 0))),
        PAGES_GONE(byteDamage(b -> Arrays.fill(b, 4096, b.length, (byte) 0))),
        A_SECTOR_GONE(byteDamage(b -> Arrays.fill(b, b.length - SECTOR, b.length, (byte) 0))),
        FREE_PAGES_AMISS(byteDamage(b -> b[39] = 50)),
        CUT_SHORT(db -> Files.write(db, Arrays.copyOf(Files.readAllBytes(db), 3 * 4096))),
        CUT_WITHIN_A_PAGE(db -> Files.write(db, Arrays.copyOf(Files.readAllBytes(db), 4096 + 100))),
        NOTHING_BUT_A_LOG(db -> Files.move(db, db.resolveSibling(WAL))),
        EMPTY_BESIDE_A_LOG(db -> {
            Files.move(db, db.resolveSibling(WAL));
            Files.createFile(db);
        }),
        OF_ANOTHER(sqlDamage("PRAGMA application_id=77")),
        OF_ANOTHER_UNMARKED(sqlDamage("CREATE TABLE notes(x)", "PRAGMA application_id=0", "PRAGMA user_version=0")),
        OF_ANOTHER_WITH_A_LOG(sqlDamage(
                "DROP TABLE self",
                "DROP TABLE snapshot",
                "DROP TABLE register",
                "DROP TABLE log",
                "CREATE TABLE log(line TEXT)",
                "INSERT INTO log VALUES('x')",
                "PRAGMA application_id=0",
                "PRAGMA user_version=0")),
        NEWER(sqlDamage("PRAGMA user_version=2")),
        HALF_THERE(sqlDamage("DELETE FROM self")),
        HALF_THERE_UNMARKED(sqlDamage("DELETE FROM self", "PRAGMA application_id=0", "PRAGMA user_version=0")),
        A_TABLE_GONE(sqlDamage("DROP TABLE register")),
        A_COLUMN_GONE(sqlDamage("ALTER TABLE register DROP COLUMN value")),
        A_GAP(sqlDamage("DELETE FROM log WHERE idx=2")),
        AGREED_GONE(sqlDamage("DELETE FROM log WHERE idx>2")),
        ENTRY_TORN(sqlDamage("UPDATE log SET data='other' WHERE idx=4")),
        ENTRY_OF_ANOTHER_PLACE(sqlDamage(
                "DELETE FROM log WHERE idx=2", "UPDATE log SET idx=2 WHERE idx=4", "DELETE FROM log WHERE idx=3")),
        TERMS_GO_BACK(
                sqlDamage("UPDATE log SET term=0, sum=" + SqliteDatabaseFiles.checksum(4, 0, "four") + " WHERE idx=4")),
        TERM_TO_COME(
                sqlDamage("UPDATE log SET term=9, sum=" + SqliteDatabaseFiles.checksum(4, 9, "four") + " WHERE idx=4")),
        VOTE_TORN(sqlDamage("UPDATE self SET vote=NULL")),
        WORD_TORN(sqlDamage("UPDATE register SET promised=NULL")),
        SNAPSHOT_TORN(sqlDamage("INSERT INTO snapshot VALUES(1,1,0,'[]','{}',1)"));

        private final Damage damage;

        StoreDamage(Damage damageAction) {
            this.damage = damageAction;
        }
    }

    @ParameterizedTest
    @EnumSource(StoreDamage.class)
    void damagedStoreCountsAsLostDisk(StoreDamage damage) throws Exception {
        Files.write(dir.resolve(DB), referenceStore);
        damage.damage.apply(dir.resolve(DB));
        String setAsideName = Files.exists(dir.resolve(DB)) && Files.size(dir.resolve(DB)) > 0
                ? "helm.db.aside-1"
                : "helm.db.aside-1-wal";
        byte[] damagedContent = Files.readAllBytes(dir.resolve(setAsideName.endsWith("wal") ? WAL : DB));
        for (int start = 0; start < 2; start++) {
            SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
            assertNull(store.load(), "never a part of it");
            assertEquals(List.of(), store.loadRegisters());
            assertTrue(store.hasQuarantinedDatabase());
            store.close();
        }
        assertTrue(
                logOutput
                        .toString(StandardCharsets.UTF_8)
                        .contains("ERROR B503 STORE_QUARANTINED node=n path=" + dir.resolve("helm.db.aside-1")
                                + " cause="),
                logOutput::toString);
        assertEquals(1, logOutput.toString(StandardCharsets.UTF_8).split("B503", -1).length - 1, "said once");
        assertTrue(Arrays.equals(damagedContent, Files.readAllBytes(dir.resolve(setAsideName))), "as it was found");
        SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
        store.initialize("new", List.of());
        save(store, new Change(5, null, 0, 0, List.of(new LogEntry(1, 5, "anew")), null));
        store.close();
        store = openStore(new SyncedDirectory(dir), log);
        assertEquals(new PersistentState("new", 5, null, 0, null, List.of(new LogEntry(1, 5, "anew"))), store.load());
        assertTrue(store.hasQuarantinedDatabase(), "and is remembered");
        store.close();
    }

    @Test
    void onlyFewStoresSetAsideAreKept() throws Exception {
        for (int i = 1; i < 5; i++) {
            StoreDamage.NO_DATABASE.damage.apply(dir.resolve(DB));
            Files.writeString(dir.resolve(WAL), "nor a log");
            openStore(new SyncedDirectory(dir), log).close();
        }
        assertEquals(
                Set.of("helm.db.aside-3", "helm.db.aside-3-wal", "helm.db.aside-4", "helm.db.aside-4-wal"),
                read(dir).keySet());
    }

    /** Breaks an open store: its table of tables is unreadable from now on, and what is on the disk is as it was. */
    private static void corruptOpenStore(SqliteDurableStore store) throws SQLException {
        sql(
                store.files.connection,
                "PRAGMA writable_schema=ON",
                "BEGIN",
                "UPDATE sqlite_schema SET rootpage=rootpage+90000 WHERE name IN('self','log')",
                "COMMIT",
                "PRAGMA writable_schema=RESET");
    }

    @Test
    void storeFoundDamagedLaterIsNoLongerUsed() throws Exception {
        CountDownLatch damaged = new CountDownLatch(1);
        RecordingDirectory disk = new RecordingDirectory(dir);
        SqliteDurableStore store =
                new SqliteDurableStore(disk, Runnable::run, System::nanoTime, log, damaged::countDown, () -> {});
        store.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(store, new Change(2, "x", 3, 0, ENTRIES, null));
        PersistentState latest = new PersistentState(
                "abc",
                2,
                "x",
                3,
                null,
                Stream.concat(Stream.of(new LogEntry(1, 0, "first")), ENTRIES.stream())
                        .toList());
        DiskState intact = disk.markSynced();
        corruptOpenStore(store);
        // On the disk it is whole, so that any older state of it would pass for one.
        Files.write(dir.resolve(WAL), intact.files.get(WAL));
        disk.markSynced();
        disk.states.clear();
        store.save(
                new Change(3, "y", 4, 0, List.of(), null),
                () -> logOutput.writeBytes("acknowledged".getBytes(StandardCharsets.UTF_8)));
        assertTrue(damaged.await(120, TimeUnit.SECONDS));
        assertTrue(store.isFailing(), "no vote and no lead from here on");
        store.save(
                new Change(4, "y", 4, 0, List.of(), null),
                () -> logOutput.writeBytes("acknowledged".getBytes(StandardCharsets.UTF_8)));
        store.close();
        assertFalse(logOutput.toString(StandardCharsets.UTF_8).contains("acknowledged"));
        assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("B503"), logOutput::toString);
        StoreContents lostContents = new StoreContents(null, List.of(), true);
        Random random = new Random(1);
        assertTrue(disk.states.size() > 3);
        for (DiskState state : disk.states) {
            for (int i = 0; i < 8; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(
                        contents.equals(lostContents) || contents.saved != null && contents.saved.equals(latest),
                        () -> "an old state of it: " + contents);
            }
        }
        disk.states.clear();
        store = openStore(disk, log);
        assertEquals(
                lostContents, new StoreContents(store.load(), store.loadRegisters(), store.hasQuarantinedDatabase()));
        store.initialize("new", List.of());
        StoreContents refounded =
                new StoreContents(new PersistentState("new", 0, null, 0, null, List.of()), List.of(), true);
        for (DiskState state : disk.states) {
            for (int i = 0; i < 8; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(contents.equals(lostContents) || contents.equals(refounded), contents::toString);
            }
        }
        assertEquals(refounded, open(disk.state().afterPowerLoss(random)));
        store.close();
    }

    @Test
    void founderThatLostItsStoreDoesNotFoundAgain() throws Exception {
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
                """ + SimulatedMesh.BOUNDS, "test");
        Simulator.Machine machine = new Simulator(1).machine(settings.peerAddress());
        for (String wanted : List.of(RaftNode.FOUNDER_INCARNATION, RaftNode.FOUNDER_INCARNATION, "fresh")) {
            SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
            ControllerNode core =
                    new ControllerNode(settings, store, "fresh", machine, machine, null, EventLog.silent());
            assertTrue(core.raft().localId().endsWith("#" + wanted), core.raft().localId());
            store.close();
            if (logOutput.toString(StandardCharsets.UTF_8).contains("again")) {
                StoreDamage.HEAD_GONE.damage.apply(dir.resolve(DB));
            }
            logOutput.writeBytes("again".getBytes(StandardCharsets.UTF_8));
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
    void onlyDamageCountsAsLostDisk(SQLiteErrorCode code, boolean lost) {
        assertEquals(lost, SqliteDatabaseFiles.isUnusable(new SQLiteException("x", code)));
    }

    private enum DiskFailure {
        NO_FOLDER,
        LOCKED,
        FOLDER_IN_ITS_PLACE,
        FULL_FOR_THE_LOG,
        FULL_FOR_NAMES,
        NO_SYNC,
        FULL_WHILE_FOUNDING
    }

    @ParameterizedTest
    @EnumSource(DiskFailure.class)
    void startWaitsForFailingDisk(DiskFailure failure) throws Exception {
        boolean isFounding = failure == DiskFailure.FULL_WHILE_FOUNDING || failure == DiskFailure.FULL_FOR_NAMES;
        if (!isFounding) {
            Files.write(dir.resolve(DB), referenceStore);
        }
        Path movedAside = dir.resolveSibling(dir.getFileName() + "-away");
        Connection lockingConnection = null;
        switch (failure) {
            case NO_FOLDER -> Files.move(dir, movedAside);
            case LOCKED -> {
                lockingConnection = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(DB));
                sql(lockingConnection, "PRAGMA locking_mode=EXCLUSIVE", "BEGIN EXCLUSIVE");
            }
            case FOLDER_IN_ITS_PLACE -> {
                Files.move(dir.resolve(DB), movedAside);
                Files.createDirectory(dir.resolve(DB));
            }
            default -> {}
        }
        boolean[] isWorking = new boolean[1];
        SyncedDirectory directory = new SyncedDirectory(dir) {
            private void check(DiskFailure at) throws IOException {
                if (failure == at && !isWorking[0]) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            void createIfAbsent(String name) throws IOException {
                check(DiskFailure.FULL_FOR_THE_LOG);
                super.createIfAbsent(name);
            }

            @Override
            void move(String from, String to) throws IOException {
                check(DiskFailure.FULL_FOR_NAMES);
                super.move(from, to);
            }

            @Override
            void sync(String name) throws IOException {
                check(DiskFailure.FULL_WHILE_FOUNDING);
                super.sync(name);
            }

            @Override
            void sync() throws IOException {
                check(DiskFailure.NO_SYNC);
                super.sync();
            }
        };
        int[] pauses = new int[1];
        Connection connectionToClose = lockingConnection;
        SqliteDurableStore store =
                new SqliteDurableStore(directory, Runnable::run, System::nanoTime, log, () -> {}, () -> {
                    if (++pauses[0] < 3) {
                        return;
                    }
                    isWorking[0] = true;
                    try {
                        switch (failure) {
                            case NO_FOLDER -> Files.move(movedAside, dir);
                            case LOCKED -> connectionToClose.close();
                            case FOLDER_IN_ITS_PLACE -> {
                                Files.delete(dir.resolve(DB));
                                Files.move(movedAside, dir.resolve(DB));
                            }
                            default -> {}
                        }
                    } catch (IOException | SQLException e) {
                        throw new AssertionError(e);
                    }
                });
        if (isFounding) {
            assertNull(store.load());
            store.initialize("abc", List.of());
        }
        assertEquals(3, pauses[0]);
        assertEquals("abc", store.load().incarnation());
        assertEquals(isFounding ? 0 : 4, store.load().entries().size());
        assertFalse(store.hasQuarantinedDatabase());
        store.close();
        assertEquals(
                "B501 B502",
                logOutput
                        .toString(StandardCharsets.UTF_8)
                        .replaceAll("(?s).*?(B50\\d)[^\\n]*\\n", "$1 ")
                        .trim(),
                logOutput::toString);
    }

    // ---- the form before marks and sums

    private static final String[] UNMARKED_SCHEMA = {
        "CREATE TABLE self(id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT, agreed INTEGER)",
        "CREATE TABLE log(idx INTEGER PRIMARY KEY, term INTEGER, data TEXT)",
        "CREATE TABLE register(seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT)",
        "CREATE TABLE snapshot(id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT)"
    };

    @Test
    void unmarkedFormatIsMigrated() throws Exception {
        sqlDamage(UNMARKED_SCHEMA).apply(dir.resolve(DB));
        sqlDamage(
                        "PRAGMA journal_mode=WAL",
                        "INSERT INTO self VALUES(1,'abc',3,NULL,8)",
                        "INSERT INTO snapshot VALUES(1,7,2,'[\"m\"]','{\"ä\":1}')",
                        "INSERT INTO log VALUES(8,3,'eight')",
                        "INSERT INTO register VALUES(5,'r','2.b',NULL,NULL)")
                .apply(dir.resolve(DB));
        for (int start = 0; start < 2; start++) {
            SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
            assertEquals(
                    new PersistentState(
                            "abc",
                            3,
                            null,
                            8,
                            new Snapshot(7, 2, List.of("m"), "{\"ä\":1}"),
                            List.of(new LogEntry(8, 3, "eight"))),
                    store.load());
            assertEquals(List.of(new StoredRegister("r", "2.b", null, null)), store.loadRegisters());
            assertFalse(store.hasQuarantinedDatabase());
            store.close();
        }
        SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
        assertThrows(IllegalStateException.class, () -> store.initialize("other", List.of()));
        saveRegisters(store, List.of(new StoredRegister("s", "1.a", null, null)));
        save(store, new Change(4, "y", 8, 0, List.of(new LogEntry(9, 4, "nine")), null));
        store.close();
        SqliteDurableStore reopened = openStore(new SyncedDirectory(dir), log);
        assertEquals(
                List.of("r", "s"),
                reopened.loadRegisters().stream()
                        .map(StoredRegister::registerId)
                        .toList(),
                "numbers go on from the newest");
        assertEquals(9, reopened.load().entries().get(1).index());
        reopened.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4})
    void unfinishedUnmarkedFoundingCountsAsEmptyDisk(int tables) throws Exception {
        Files.createFile(dir.resolve(DB));
        Map<String, byte[]> remaining;
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(DB))) {
            sql(connection, "PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=WAL");
            sql(connection, Arrays.copyOf(UNMARKED_SCHEMA, tables));
            remaining = read(dir);
        }
        RecordingDirectory disk = new RecordingDirectory(dir);
        for (Map.Entry<String, byte[]> file : remaining.entrySet()) {
            Files.write(dir.resolve(file.getKey()), file.getValue());
            disk.synced.put(file.getKey(), file.getValue());
            disk.names.add(file.getKey());
        }
        SqliteDurableStore store = openStore(disk, log);
        StoreContents empty = new StoreContents(null, List.of(), false);
        assertEquals(empty, new StoreContents(store.load(), store.loadRegisters(), store.hasQuarantinedDatabase()));
        store.initialize("abc", List.of());
        StoreContents founded =
                new StoreContents(new PersistentState("abc", 0, null, 0, null, List.of()), List.of(), false);
        Random random = new Random(tables);
        for (DiskState state : disk.states) {
            for (int i = 0; i < 4; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(contents.equals(empty) || contents.equals(founded), contents::toString);
            }
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(founded, open(disk.state().afterPowerLoss(random)));
        }
        store.close();
    }
}
