package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.DurableStore.Change;
import bramblespool.state.DurableStore.LogEntry;
import bramblespool.state.DurableStore.PersistentState;
import bramblespool.state.DurableStore.Snapshot;
import bramblespool.state.DurableStore.StoredRegister;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The durable store on a disk that loses power: what was acknowledged is there again, and nothing else but what was
 * being written.
 */
class SqliteDurableStorePowerLossTest extends StoreTestSupport {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void acknowledgedWritesSurvivePowerLoss(long seed) throws Exception {
        Random random = new Random(seed);
        RecordingDirectory disk = new RecordingDirectory(dir);
        SqliteDurableStore store = openStore(disk, log);
        ExpectedStore expected = new ExpectedStore();
        initialize(store, disk, expected, random);
        sql(store.files().connection(), "PRAGMA wal_autocheckpoint=12");
        DiskState before = disk.markSynced();
        int movedCount = 0;
        int restartedLogCount = 0;
        int lostCount = 0;
        int keptCount = 0;
        for (int step = 0; step < 40; step++) {
            StoreContents previous = expected.contents();
            writeSomething(store, expected, step, random);
            DiskState after = disk.markSynced();
            movedCount += Arrays.equals(before.files().get(DB), after.files().get(DB)) ? 0 : 1;
            restartedLogCount += Arrays.equals(logHead(before), logHead(after)) ? 0 : 1;
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

    /** Founds the store; a loss of power meanwhile leaves all of it or nothing. */
    private void initialize(SqliteDurableStore store, RecordingDirectory disk, ExpectedStore expected, Random random)
            throws Exception {
        assertTrue(store.isEmpty());
        store.initialize("abc", expected.saved.entries());
        StoreContents founded = expected.contents();
        for (DiskState state : disk.states) {
            for (int i = 0; i < 4; i++) {
                StoreContents contents = open(state.afterPowerLoss(random));
                assertTrue(
                        contents.saved() == null && !contents.isQuarantined() || contents.equals(founded),
                        contents::toString);
            }
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(founded, open(disk.state().afterPowerLoss(random)), "it was founded");
        }
    }

    private static void writeSomething(SqliteDurableStore store, ExpectedStore expected, int step, Random random)
            throws InterruptedException {
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
    }

    /** The head of the write-ahead log: another one where SQLite has begun the log anew. */
    private static byte[] logHead(DiskState state) {
        return Arrays.copyOf(state.files().get(WAL), 32);
    }

    /** The process is killed before its sync; the next one reads what was written, sends it on, and loses power. */
    private void assertKilledThenPowerLost(DiskState before, DiskState after, Random random, Set<StoreContents> allowed)
            throws Exception {
        Path path = createDirectory("killed");
        Files.write(path.resolve(DB), before.files().get(DB));
        Files.write(path.resolve(WAL), after.files().get(WAL));
        RecordingDirectory disk = new RecordingDirectory(path);
        disk.names.add(DB);
        disk.synced.putAll(before.synced());
        SqliteDurableStore store = openStore(disk, log);
        StoreContents loaded = StoreContents.of(store);
        assertTrue(allowed.contains(loaded));
        for (int i = 0; i < 3; i++) {
            assertEquals(loaded, open(disk.state().afterPowerLoss(random)), "it was read after a start");
        }
        store.close();
    }

    /**
     * A write goes to the log: first its head, if it begins anew, and a sync; then the rest, and a sync. Only then, now
     * and then, pages go to the database, and a sync. (Traced; see docs/control.md.)
     */
    private static DiskState stateDuringWrite(DiskState before, DiskState after, Random random) {
        byte[] oldLog = before.files().get(WAL);
        byte[] newLog = after.files().get(WAL);
        byte[] logAfterHead = oldLog.clone();
        boolean restartsLog =
                newLog.length >= 32 && !Arrays.equals(Arrays.copyOf(oldLog, 32), Arrays.copyOf(newLog, 32));
        if (restartsLog) {
            logAfterHead = Arrays.copyOf(logAfterHead, Math.max(32, logAfterHead.length));
            System.arraycopy(newLog, 0, logAfterHead, 0, 32);
        }
        byte[] oldDb = before.files().get(DB);
        byte[] newDb = after.files().get(DB);
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

        /** Entries appended, committed, truncated, covered by a snapshot. */
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
}
