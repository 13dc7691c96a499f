package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The durable store on a disk that does not work for a while. */
class SqliteDurableStoreFailureTest extends StoreTestSupport {
    private static byte[] referenceStore;

    @BeforeAll
    static void createReferenceStoreOnce(@TempDir Path path) throws Exception {
        referenceStore = createReferenceStore(path);
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
                            sql(storeHolder[0].files().connection(), repairingSql);
                        } catch (SQLException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
        storeHolder[0] = store;
        store.initialize("abc", List.of());
        sql(store.files().connection(), failingSql);
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

    private enum DiskFailure {
        NO_FOLDER,
        LOCKED,
        FOLDER_IN_ITS_PLACE,
        FULL_FOR_THE_LOG,
        FULL_FOR_NAMES,
        NO_SYNC,
        FULL_WHILE_FOUNDING
    }

    /** A disk that fails at one point until it is repaired. */
    private static final class FailingDisk extends SyncedDirectory {
        private final DiskFailure failure;
        private final Path movedAside;
        private Connection lockingConnection;
        private boolean isRepaired;

        FailingDisk(Path path, DiskFailure failure) throws IOException, SQLException {
            super(path);
            this.failure = failure;
            this.movedAside = path.resolveSibling(path.getFileName() + "-away");
            switch (failure) {
                case NO_FOLDER -> Files.move(path, movedAside);
                case LOCKED -> {
                    lockingConnection = DriverManager.getConnection("jdbc:sqlite:" + path.resolve(DB));
                    sql(lockingConnection, "PRAGMA locking_mode=EXCLUSIVE", "BEGIN EXCLUSIVE");
                }
                case FOLDER_IN_ITS_PLACE -> {
                    Files.move(path.resolve(DB), movedAside);
                    Files.createDirectory(path.resolve(DB));
                }
                default -> {}
            }
        }

        void repair() {
            isRepaired = true;
            try {
                switch (failure) {
                    case NO_FOLDER -> Files.move(movedAside, path);
                    case LOCKED -> lockingConnection.close();
                    case FOLDER_IN_ITS_PLACE -> {
                        Files.delete(path.resolve(DB));
                        Files.move(movedAside, path.resolve(DB));
                    }
                    default -> {}
                }
            } catch (IOException | SQLException e) {
                throw new AssertionError(e);
            }
        }

        private void failAt(DiskFailure point) throws IOException {
            if (failure == point && !isRepaired) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        void createIfAbsent(String name) throws IOException {
            failAt(DiskFailure.FULL_FOR_THE_LOG);
            super.createIfAbsent(name);
        }

        @Override
        void move(String from, String to) throws IOException {
            failAt(DiskFailure.FULL_FOR_NAMES);
            super.move(from, to);
        }

        @Override
        void sync(String name) throws IOException {
            failAt(DiskFailure.FULL_WHILE_FOUNDING);
            super.sync(name);
        }

        @Override
        void sync() throws IOException {
            failAt(DiskFailure.NO_SYNC);
            super.sync();
        }
    }

    @ParameterizedTest
    @EnumSource(DiskFailure.class)
    void startWaitsForFailingDisk(DiskFailure failure) throws Exception {
        boolean isFounding = failure == DiskFailure.FULL_WHILE_FOUNDING || failure == DiskFailure.FULL_FOR_NAMES;
        if (!isFounding) {
            Files.write(dir.resolve(DB), referenceStore);
        }
        FailingDisk disk = new FailingDisk(dir, failure);
        int[] pauses = new int[1];
        SqliteDurableStore store = new SqliteDurableStore(disk, Runnable::run, System::nanoTime, log, () -> {}, () -> {
            if (++pauses[0] >= 3) {
                disk.repair();
            }
        });
        if (isFounding) {
            assertTrue(store.isEmpty());
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
}
