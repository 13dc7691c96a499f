package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.ResultSet;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The durable store on a disk that works. */
class SqliteDurableStoreTest extends StoreTestSupport {
    private static byte[] referenceStore;

    @BeforeAll
    static void createReferenceStoreOnce(@TempDir Path path) throws Exception {
        referenceStore = createReferenceStore(path);
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
                "" + StoreSchema.APPLICATION_ID,
                "PRAGMA user_version",
                "1");
        for (Map.Entry<String, String> expected : wanted.entrySet()) {
            try (Statement statement = store.files().connection().createStatement();
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
        assertTrue(store.isEmpty());
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
}
