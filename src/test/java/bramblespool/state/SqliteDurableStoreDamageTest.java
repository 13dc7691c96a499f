package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.coordination.controller.ControllerNode;
import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.testing.SimulatedMachine;
import bramblespool.testing.SimulatedMesh;
import bramblespool.testing.Simulator;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/** Damaged databases count as lost disks. */
class SqliteDurableStoreDamageTest extends StoreTestSupport {
    private static byte[] referenceStore;

    @BeforeAll
    static void createReferenceStoreOnce(@TempDir Path path) throws Exception {
        referenceStore = createReferenceStore(path);
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
        HEAD_GONE(byteDamage(b -> Arrays.fill(b, 0, DiskState.SECTOR, (byte) 0))),
        PAGES_GONE(byteDamage(b -> Arrays.fill(b, 4096, b.length, (byte) 0))),
        A_SECTOR_GONE(byteDamage(b -> Arrays.fill(b, b.length - DiskState.SECTOR, b.length, (byte) 0))),
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
        TERMS_GO_BACK(sqlDamage("UPDATE log SET term=0, sum=" + StoreSchema.checksum(4, 0, "four") + " WHERE idx=4")),
        TERM_TO_COME(sqlDamage("UPDATE log SET term=9, sum=" + StoreSchema.checksum(4, 9, "four") + " WHERE idx=4")),
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
            assertTrue(store.isEmpty(), "never a part of it");
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
    private void corruptOpenStore(SqliteDurableStore store, RecordingDirectory disk) throws Exception {
        DiskState intact = disk.markSynced();
        sql(
                store.files().connection(),
                "PRAGMA writable_schema=ON",
                "BEGIN",
                "UPDATE sqlite_schema SET rootpage=rootpage+90000 WHERE name IN('self','log')",
                "COMMIT",
                "PRAGMA writable_schema=RESET");
        // On the disk it is whole, so that any older state of it would pass for one.
        Files.write(dir.resolve(WAL), intact.files().get(WAL));
        disk.markSynced();
        disk.states.clear();
    }

    @Test
    void storeFoundDamagedLaterIsNoLongerUsed() throws Exception {
        CountDownLatch damaged = new CountDownLatch(1);
        RecordingDirectory disk = new RecordingDirectory(dir);
        SqliteDurableStore store =
                new SqliteDurableStore(disk, Runnable::run, System::nanoTime, log, damaged::countDown, () -> {});
        store.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(store, new Change(2, "x", 3, 0, ENTRIES, null));
        List<LogEntry> entries = Stream.concat(Stream.of(new LogEntry(1, 0, "first")), ENTRIES.stream())
                .toList();
        PersistentState latest = new PersistentState("abc", 2, "x", 3, null, entries);
        corruptOpenStore(store, disk);
        Runnable onDurable = () -> logOutput.writeBytes("acknowledged".getBytes(StandardCharsets.UTF_8));
        store.save(new Change(3, "y", 4, 0, List.of(), null), onDurable);
        assertTrue(damaged.await(120, TimeUnit.SECONDS));
        assertTrue(store.isFailing(), "no vote and no lead from here on");
        store.save(new Change(4, "y", 4, 0, List.of(), null), onDurable);
        store.close();
        assertFalse(logOutput.toString(StandardCharsets.UTF_8).contains("acknowledged"));
        assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("B503"), logOutput::toString);
        StoreContents lostContents = new StoreContents(null, List.of(), true);
        Random random = new Random(1);
        assertTrue(disk.states.size() > 3);
        assertEachStateHolds(
                disk,
                random,
                contents -> contents.equals(lostContents)
                        || contents.saved() != null && contents.saved().equals(latest));
        disk.states.clear();
        store = openStore(disk, log);
        assertEquals(lostContents, StoreContents.of(store));
        store.initialize("new", List.of());
        StoreContents refounded =
                new StoreContents(new PersistentState("new", 0, null, 0, null, List.of()), List.of(), true);
        assertEachStateHolds(disk, random, contents -> contents.equals(lostContents) || contents.equals(refounded));
        assertEquals(refounded, open(disk.state().afterPowerLoss(random)));
        store.close();
    }

    /** What may be left of each recorded state after a loss of power. */
    private void assertEachStateHolds(RecordingDirectory disk, Random random, Predicate<StoreContents> isAllowed)
            throws Exception {
        for (DiskState state : disk.states) {
            for (int i = 0; i < 8; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(isAllowed.test(contents), contents::toString);
            }
        }
    }

    @Test
    void founderThatLostItsStoreDoesNotFoundAgain() throws Exception {
        Settings settings = SettingsParser.parse("""
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
        SimulatedMachine machine = new Simulator(1).machine(settings.peerAddress());
        for (String wanted : List.of(RaftNode.FOUNDER_INCARNATION, RaftNode.FOUNDER_INCARNATION, "fresh")) {
            SqliteDurableStore store = openStore(new SyncedDirectory(dir), log);
            ControllerNode core = new ControllerNode(
                    settings,
                    new ControllerNode.Stores(store, machine.disk),
                    "fresh",
                    machine,
                    machine,
                    null,
                    EventLog.silent());
            assertTrue(core.raft().localId().endsWith("#" + wanted), core.raft().localId());
            store.close();
            if (logOutput.toString(StandardCharsets.UTF_8).contains("again")) {
                StoreDamage.HEAD_GONE.damage.apply(dir.resolve(DB));
            }
            logOutput.writeBytes("again".getBytes(StandardCharsets.UTF_8));
        }
    }

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
        assertEquals(lost, StoreDamagedException.isDamage(new SQLiteException("x", code)));
    }
}
