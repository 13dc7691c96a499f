package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import java.nio.file.Files;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Databases of the first form, without marks and checksums. */
class UnmarkedStoreFormatTest extends StoreTestSupport {
    private static final String[] UNMARKED_SCHEMA = {
        "CREATE TABLE self(id INTEGER PRIMARY KEY CHECK(id=1), incarnation TEXT, term INTEGER, vote TEXT,"
                + " agreed INTEGER)",
        "CREATE TABLE log(idx INTEGER PRIMARY KEY, term INTEGER, data TEXT)",
        "CREATE TABLE register(seq INTEGER PRIMARY KEY, id TEXT, promised TEXT, accepted TEXT, value TEXT)",
        "CREATE TABLE snapshot(id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER, voters TEXT, data TEXT)"
    };

    private void runSql(String... statements) throws SQLException {
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(DB))) {
            sql(connection, statements);
        }
    }

    @Test
    void unmarkedFormatIsMigrated() throws Exception {
        runSql(UNMARKED_SCHEMA);
        runSql(
                "PRAGMA journal_mode=WAL",
                "INSERT INTO self VALUES(1,'abc',3,NULL,8)",
                "INSERT INTO snapshot VALUES(1,7,2,'[\"m\"]','{\"ä\":1}')",
                "INSERT INTO log VALUES(8,3,'eight')",
                "INSERT INTO register VALUES(5,'r','2.b',NULL,NULL)");
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
        assertEquals(empty, StoreContents.of(store));
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
