package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.StoredRegister;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;

/** What the tests of the durable store share: a directory of their own, a log that can be read, opened stores. */
abstract class StoreTestSupport {
    static final String DB = SqliteDatabaseFiles.DATABASE;
    static final String WAL = DB + "-wal";

    @TempDir
    Path dir;

    final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    final EventLog log = new EventLog("n", new PrintStream(logOutput, true), EventLog.Level.INFO);
    private int imageCount;

    /** All that a disk holds. */
    static Map<String, byte[]> read(Path directory) throws IOException {
        Map<String, byte[]> contents = new TreeMap<>();
        try (Stream<Path> all = Files.list(directory)) {
            for (Path p : all.toList()) {
                contents.put(p.getFileName().toString(), Files.readAllBytes(p));
            }
        }
        return contents;
    }

    /** A new directory beside the test's own. */
    Path createDirectory(String purpose) throws IOException {
        return Files.createDirectory(dir.resolveSibling(dir.getFileName() + "-" + purpose + imageCount++));
    }

    /** Opens a disk that holds this. */
    StoreContents open(Map<String, byte[]> files) throws Exception {
        Path path = createDirectory("image");
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Files.write(path.resolve(file.getKey()), file.getValue());
        }
        SqliteDurableStore store = openStore(new DirectoryImage(path), EventLog.silent());
        StoreContents contents = StoreContents.of(store);
        if (store.files().connection() != null) {
            sql(store.files().connection(), "PRAGMA synchronous=OFF");
        }
        store.close();
        for (String n : read(path).keySet()) {
            Files.delete(path.resolve(n));
        }
        Files.delete(path);
        return contents;
    }

    static SqliteDurableStore openStore(SyncedDirectory folder, EventLog log) {
        return new SqliteDurableStore(folder, Runnable::run, System::nanoTime, log, () -> {}, () -> {
            throw new AssertionError("it waits");
        });
    }

    static void sql(Connection connection, String... statements) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            for (String sqlText : statements) {
                statement.execute(sqlText);
            }
        }
    }

    static void save(SqliteDurableStore store, Change change) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.save(change, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    static void saveRegisters(SqliteDurableStore store, List<StoredRegister> registers) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.saveRegisters(registers, done::countDown);
        assertTrue(done.await(120, TimeUnit.SECONDS));
    }

    static final List<LogEntry> ENTRIES =
            List.of(new LogEntry(2, 1, "two"), new LogEntry(3, 2, "three".repeat(2000)), new LogEntry(4, 2, "four"));

    /** A store with something of everything, all of it acknowledged, and closed. */
    static byte[] createReferenceStore(Path path) throws Exception {
        SqliteDurableStore store = openStore(new SyncedDirectory(path), EventLog.silent());
        store.initialize("abc", List.of(new LogEntry(1, 0, "first")));
        save(store, new Change(2, "x", 3, 0, ENTRIES, null));
        saveRegisters(store, List.of(new StoredRegister("r", "1.a", "1.a", "v")));
        store.close();
        assertEquals(Set.of(DB), read(path).keySet());
        return Files.readAllBytes(path.resolve(DB));
    }
}
